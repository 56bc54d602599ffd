"""Tells other nodes configuration and weights by their own versions, whatever the store shows.

In the moment of a restore the copy that the store shows is older than what nodes know. A node that
starts then, or that reads the copy, learns the newer documents from any node that has them.
"""

from __future__ import annotations

from collections.abc import Iterable

import trio

from hopstep.domain.exchanges.directory_feed import FeedEntry
from hopstep.domain.exchanges.instances import NamedWeights
from hopstep.ports.node_exchange import RelayAnswer, RelayedEntry, RelayQuery, ReportedEntry
from hopstep.ports.serving_directory import (
    ConfigurationPublished,
    DirectoryEntry,
    WeightsPublished,
)
from hopstep.services.exchanges.directory.knowledge import ServingKnowledge

MILLISECONDS = 1_000
NO_KEY = ""
"""Key of a document that is told by its version: its place in the store doesn't count."""


class DocumentExchange:
    """Compares versions, and tells and takes the newer documents."""

    def __init__(self, knowledge: ServingKnowledge) -> None:
        """Use a node's knowledge."""
        self._knowledge = knowledge

    @property
    def configuration_version(self) -> int:
        """Version of the configuration in force; 0 before the first."""
        current = self._knowledge.current
        return current.version if current is not None else 0

    def newer_than(self, query: RelayQuery) -> tuple[RelayedEntry, ...]:
        """Return the documents that a node lacks by what its query says."""
        newer: list[ConfigurationPublished | WeightsPublished] = []
        current = self._knowledge.current
        if current is not None and 0 < query.configuration < current.version:
            newer.append(ConfigurationPublished(current))
        weights = self._knowledge.weights
        if query.weights not in (0, weights.digest):
            models = weights.models()
            newer += [WeightsPublished(NamedWeights(m, weights.newest(m))) for m in models]
        return tuple(self._told(change) for change in newer)

    def not_among(
        self, newer: tuple[RelayedEntry, ...], part: Iterable[FeedEntry[DirectoryEntry]]
    ) -> tuple[RelayedEntry, ...]:
        """Return the documents that aren't told anyway, as changes of the directory."""
        told = [entry.change.change for entry in part]
        return tuple(relayed for relayed in newer if relayed.entry.change not in told)

    def take(self, answer: RelayAnswer, source: str, sent_at: float) -> None:
        """Take the newer documents of an answer.

        Args:
            answer: The answer.
            source: Who gave it.
            sent_at: When its query was sent.
        """
        entries = []
        for relayed in answer.newer:
            entry = relayed.entry.read(relayed.entry.era)
            since = sent_at - relayed.age_ms / MILLISECONDS
            entries.append(FeedEntry(entry.key, entry.position, entry, since))
        self._knowledge.take_documents(entries, source)

    def _told(self, change: ConfigurationPublished | WeightsPublished) -> RelayedEntry:
        """Return a document as it is told, with the longest time since it was written."""
        now = trio.current_time()
        since = now
        if isinstance(change, WeightsPublished):
            since = self._knowledge.weights.newest_since(change.weights.model)
        return RelayedEntry(ReportedEntry(NO_KEY, 0, change), int((now - since) * MILLISECONDS) + 1)
