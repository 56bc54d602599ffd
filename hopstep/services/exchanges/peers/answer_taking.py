"""Takes what other nodes answer: changes of the directory, documents, the age of keys."""

from __future__ import annotations

from hopstep.domain.store_place import StorePlace
from hopstep.ports.node_exchange import RelayAnswer
from hopstep.services.exchanges.directory.knowledge import ServingKnowledge
from hopstep.services.exchanges.directory.news import feed_entry
from hopstep.services.exchanges.peers.document_exchange import DocumentExchange
from hopstep.services.exchanges.peers.message_ages import (
    MILLISECONDS,
    UNKNOWN_AGE_MS,
    store_heard_at,
)
from hopstep.services.exchanges.peers.pending_queries import PendingQuery
from hopstep.services.exchanges.peers.told_places import ToldPlaces


class AnswerTaking:
    """Puts answers into a node's knowledge, dated by when their queries were sent."""

    def __init__(self, knowledge: ServingKnowledge, documents: DocumentExchange) -> None:
        """Use a node's knowledge.

        Args:
            knowledge: Takes changes.
            documents: Takes documents that are told by version.
        """
        self._knowledge = knowledge
        self._documents = documents
        self._places = ToldPlaces(knowledge)

    def take(self, answer: RelayAnswer, query: PendingQuery) -> bool:
        """Take an answer; return whether the node has more to tell."""
        self._documents.take(answer, query.node, query.sent_at)
        more = self._take_changes(answer, query)
        self._confirm_keys(answer, query.sent_at)
        return more

    def _take_changes(self, answer: RelayAnswer, query: PendingQuery) -> bool:
        """Take the changes of an answer if they follow what is known."""
        knowledge = self._knowledge
        if answer.age_ms == UNKNOWN_AGE_MS:
            return False
        reached = self._places.read(query.node, answer.store_position)
        if self._places.read(query.node, answer.after_store_position) > knowledge.place:
            return False
        if reached.era < knowledge.place.era:
            return False
        heard_at = store_heard_at(answer, query.sent_at)
        knowledge.contact.note_return(heard_at)
        self._take_entries(answer, query, reached)
        if answer.complete:
            knowledge.contact.note_told(heard_at)
        return not answer.complete

    def _take_entries(self, answer: RelayAnswer, query: PendingQuery, reached: StorePlace) -> None:
        """Take the changes of an answer; a part of them confirms nothing."""
        knowledge, sent_at = self._knowledge, query.sent_at
        knowledge.enter(reached, query.node)
        entries = (
            feed_entry(
                relayed.entry.read(self._places.era_of(query.node, relayed.entry)),
                sent_at - relayed.age_ms / MILLISECONDS,
            )
            for relayed in answer.entries
        )
        knowledge.take_entries(entries, query.node)
        placed_at = sent_at - answer.age_ms / MILLISECONDS
        knowledge.history.reach(reached, placed_at if answer.complete else -float("inf"))

    def _confirm_keys(self, answer: RelayAnswer, sent_at: float) -> None:
        """Take how old the answering node's knowledge of keys is, if this node knows as much."""
        age_ms = answer.keys_age_ms
        if age_ms == UNKNOWN_AGE_MS and answer.complete:
            # Of a version before eras, which tells one age.
            age_ms = answer.age_ms if not self._knowledge.history.was_restored else UNKNOWN_AGE_MS
        knows_as_much = self._documents.configuration_version >= answer.configuration
        if age_ms != UNKNOWN_AGE_MS and knows_as_much:
            self._knowledge.confirm_keys(sent_at - age_ms / MILLISECONDS)
