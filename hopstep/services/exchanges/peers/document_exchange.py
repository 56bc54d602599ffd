"""Exchanges configuration and weights between nodes by version, whatever the store shows.

Just after a restore the store shows a backup that is older than the documents of nodes. A node that
starts then, or that reads the backup, gets the newer documents from any node that has them.
"""

from __future__ import annotations

from collections.abc import Iterable

import trio

from hopstep.domain.exchanges.directory_change_log import LoggedChange
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
"""Key of a document that is ordered by version, without a store position."""


class DocumentExchange:
    """Compares versions, and sends and applies newer documents."""

    def __init__(self, knowledge: ServingKnowledge) -> None:
        """Use a node's view."""
        self._knowledge = knowledge

    @property
    def configuration_version(self) -> int:
        """Version of the configuration in force; 0 before the first."""
        current = self._knowledge.current
        return current.version if current is not None else 0

    def newer_than(self, query: RelayQuery) -> tuple[RelayedEntry, ...]:
        """Return the documents of which a querying node has an older version."""
        newer: list[ConfigurationPublished | WeightsPublished] = []
        current = self._knowledge.current
        if current is not None and 0 < query.configuration < current.version:
            newer.append(ConfigurationPublished(current))
        weights = self._knowledge.weights
        if query.weights not in (0, weights.digest):
            models = weights.models()
            newer += [WeightsPublished(NamedWeights(m, weights.newest(m))) for m in models]
        return tuple(self._relayed(change) for change in newer)

    def excluding(
        self, newer: tuple[RelayedEntry, ...], part: Iterable[LoggedChange[DirectoryEntry]]
    ) -> tuple[RelayedEntry, ...]:
        """Return the documents that aren't already in the answer as changes of the directory."""
        included = [entry.change.change for entry in part]
        return tuple(relayed for relayed in newer if relayed.entry.change not in included)

    def take(self, answer: RelayAnswer, source: str, sent_at: float) -> None:
        """Apply the newer documents of an answer.

        Args:
            answer: The answer.
            source: Name of the node that sent it.
            sent_at: When its query was sent.
        """
        entries = []
        for relayed in answer.newer:
            entry = relayed.entry.read(relayed.entry.era)
            since = sent_at - relayed.age_ms / MILLISECONDS
            entries.append(LoggedChange(entry.key, entry.position, entry, since))
        self._knowledge.apply_documents(entries, source)

    def _relayed(self, change: ConfigurationPublished | WeightsPublished) -> RelayedEntry:
        """Return a document as it is sent, with an upper bound of its age."""
        now = trio.current_time()
        since = now
        if isinstance(change, WeightsPublished):
            since = self._knowledge.weights.newest_since(change.weights.model)
        return RelayedEntry(ReportedEntry(NO_KEY, 0, change), int((now - since) * MILLISECONDS) + 1)
