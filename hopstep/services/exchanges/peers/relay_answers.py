"""Builds a node's answers to queries for changes and hints."""

from __future__ import annotations

import msgspec
import trio

from hopstep.domain.exchanges.directory_change_log import LoggedChange
from hopstep.domain.store_position import NO_POSITION
from hopstep.ports.node_exchange import RelayAnswer, RelayedEntry, RelayQuery, ReportedEntry
from hopstep.ports.serving_directory import ConfigurationPublished, DirectoryEntry
from hopstep.services.exchanges.directory.knowledge import ServingKnowledge
from hopstep.services.exchanges.instances.store_watch import CacheStoreWatch
from hopstep.services.exchanges.peers.document_exchange import DocumentExchange
from hopstep.services.exchanges.peers.fleet_hints import FleetHints
from hopstep.services.exchanges.peers.load_sharing import LoadSharing
from hopstep.services.exchanges.peers.message_ages import (
    MILLISECONDS,
    UNKNOWN_AGE_MS,
    age_ms,
    age_or_unknown,
    silence_ms,
)
from hopstep.services.exchanges.peers.reported_positions import ReportedPositions

MAX_ENTRIES = 40
"""Most changes in one answer."""


class RelayAnswers:
    """Builds answers from the node's view."""

    def __init__(
        self,
        knowledge: ServingKnowledge,
        documents: DocumentExchange,
        hints: FleetHints,
        sharing: LoadSharing,
        store_watch: CacheStoreWatch,
    ) -> None:
        """Use the parts that an answer is built from.

        Args:
            knowledge: Changes of the directory.
            documents: Documents that are ordered by version.
            hints: Hints on instances, quotas and permits.
            sharing: Provides the identity of this process's log of segment updates.
            store_watch: Contents of the cache stores.
        """
        self._knowledge = knowledge
        self._documents = documents
        self._hints = hints
        self._sharing = sharing
        self._store_watch = store_watch
        self._positions = ReportedPositions(knowledge)

    def make(self, asker: str, query: RelayQuery) -> RelayAnswer:
        """Return the answer to a query.

        Args:
            asker: Name of the querying node.
            query: Its query.
        """
        knowledge = self._knowledge
        now = trio.current_time()
        answer = RelayAnswer(
            number=query.number,
            after=query.revision,
            revision=query.revision,
            age_ms=UNKNOWN_AGE_MS,
            contents=self._store_watch.updates_after(query.contents),
            store_response_age_ms=silence_ms(now, knowledge.contact.last_answer_at),
            after_era=query.era,
            era=query.era,
            keys_age_ms=age_or_unknown(now, knowledge.keys.confirmed_at),
            configuration=self._documents.configuration_version,
            newer=self._documents.newer_than(query),
            relisting_ms=round((knowledge.contact.relisting_seconds(now) or 0.0) * MILLISECONDS),
        )
        if query.hints is not None:
            hints, position = self._hints.for_asker(asker, query, query.hints)
            identity = self._sharing.log.identity
            answer = msgspec.structs.replace(answer, feed=identity, position=position, hints=hints)
        asked_after = self._positions.read(asker, query.store_position)
        if asked_after > knowledge.store_position:
            return answer
        changes = knowledge.feed.after(asked_after)
        if changes is None:
            return msgspec.structs.replace(
                answer, must_read_store=knowledge.store_position != NO_POSITION
            )
        part = _first_part(changes)
        complete = len(part) == len(changes)
        reached = knowledge.store_position if complete else part[-1].position
        return msgspec.structs.replace(
            answer,
            revision=reached.revision,
            era=reached.era,
            age_ms=age_ms(now, knowledge.history.reached_at),
            complete=complete,
            entries=tuple(
                RelayedEntry(ReportedEntry.of(e.change), age_ms(now, e.since)) for e in part
            ),
            newer=self._documents.excluding(answer.newer, part),
        )

    @staticmethod
    def replace_too_long(query: RelayQuery, answer: RelayAnswer) -> RelayAnswer:
        """Return the reply for an answer that is too long: the asker has to read the store."""
        return RelayAnswer(
            query.number,
            query.revision,
            query.revision,
            UNKNOWN_AGE_MS,
            must_read_store=True,
            store_response_age_ms=answer.store_response_age_ms,
            after_era=query.era,
            era=query.era,
        )


def _first_part(changes: list[LoggedChange[DirectoryEntry]]) -> list[LoggedChange[DirectoryEntry]]:
    """Return the changes for one answer: at most ``MAX_ENTRIES``; a configuration ends the part."""
    part: list[LoggedChange[DirectoryEntry]] = []
    for entry in changes[:MAX_ENTRIES]:
        part.append(entry)
        if isinstance(entry.change.change, ConfigurationPublished):
            break
    return part
