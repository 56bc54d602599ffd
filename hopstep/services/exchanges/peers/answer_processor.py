"""Applies answers of other nodes: changes of the directory, documents, the age of keys."""

from __future__ import annotations

from hopstep.domain.store_position import StorePosition
from hopstep.ports.node_exchange import RelayAnswer
from hopstep.services.exchanges.directory.change_origin import feed_entry
from hopstep.services.exchanges.directory.knowledge import ServingKnowledge
from hopstep.services.exchanges.peers.document_exchange import DocumentExchange
from hopstep.services.exchanges.peers.message_ages import (
    MILLISECONDS,
    UNKNOWN_AGE_MS,
    store_last_answer_at,
)
from hopstep.services.exchanges.peers.pending_queries import PendingQuery
from hopstep.services.exchanges.peers.reported_positions import ReportedPositions


class AnswerProcessor:
    """Applies answers to the node's view; ages count from when the queries were sent."""

    def __init__(self, knowledge: ServingKnowledge, documents: DocumentExchange) -> None:
        """Use a node's view.

        Args:
            knowledge: Receives changes.
            documents: Receives documents that are ordered by version.
        """
        self._knowledge = knowledge
        self._documents = documents
        self._positions = ReportedPositions(knowledge)

    def process(self, answer: RelayAnswer, query: PendingQuery) -> bool:
        """Apply an answer; return whether the answering node has more changes."""
        self._documents.take(answer, query.node, query.sent_at)
        has_more = self._apply_changes(answer, query)
        self._confirm_keys(answer, query.sent_at)
        return has_more

    def _apply_changes(self, answer: RelayAnswer, query: PendingQuery) -> bool:
        """Apply changes that follow the node's position; return whether there are more."""
        knowledge = self._knowledge
        if answer.age_ms == UNKNOWN_AGE_MS:
            return False
        reached = self._positions.read(query.node, answer.store_position)
        if self._positions.read(query.node, answer.after_store_position) > knowledge.store_position:
            return False
        if reached.era < knowledge.store_position.era:
            return False
        store_answered_at = store_last_answer_at(answer, query.sent_at)
        knowledge.contact.note_outage_end(store_answered_at)
        if answer.relisting_ms:
            relisted_at = query.sent_at + answer.relisting_ms / MILLISECONDS
            knowledge.contact.note_reported_relisting(relisted_at)
        self._apply_entries(answer, query, reached)
        if answer.complete:
            knowledge.contact.note_reported(store_answered_at)
        return not answer.complete

    def _apply_entries(
        self, answer: RelayAnswer, query: PendingQuery, reached: StorePosition
    ) -> None:
        """Apply the changes of an answer; the age is confirmed only by a complete one."""
        knowledge, sent_at = self._knowledge, query.sent_at
        knowledge.enter_era(reached, query.node)
        entries = (
            feed_entry(
                relayed.entry.read(self._positions.era_of(query.node, relayed.entry)),
                sent_at - relayed.age_ms / MILLISECONDS,
            )
            for relayed in answer.entries
        )
        knowledge.apply_entries(entries, query.node)
        newest_at = sent_at - answer.age_ms / MILLISECONDS
        knowledge.history.advance(reached, newest_at if answer.complete else -float("inf"))

    def _confirm_keys(self, answer: RelayAnswer, sent_at: float) -> None:
        """Apply the answering node's age of keys, if this node's configuration is as new."""
        age_ms = answer.keys_age_ms
        if age_ms == UNKNOWN_AGE_MS and answer.complete:
            # From a version without eras, which reports a single age.
            age_ms = answer.age_ms if not self._knowledge.history.was_restored else UNKNOWN_AGE_MS
        is_as_new = self._documents.configuration_version >= answer.configuration
        if age_ms != UNKNOWN_AGE_MS and is_as_new:
            self._knowledge.confirm_keys(sent_at - age_ms / MILLISECONDS)
