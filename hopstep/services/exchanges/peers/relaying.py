"""Queries a relay of the node's zone for changes, and answers the queries of other nodes.

A node that gets no answer reads the store itself, and chooses instances by its own traffic alone.
"""

from __future__ import annotations

import math

import trio

from hopstep.domain.exchanges.freshness import FreshnessLimits
from hopstep.domain.exchanges.store_contents import ContentsPosition
from hopstep.domain.rendezvous import hash_name
from hopstep.error_reports import describe_unexpected
from hopstep.log_events.configuration import DIRECTORY_SOURCE_CHANGED
from hopstep.logs import emit
from hopstep.ports.node_exchange import (
    Hints,
    MessageTooLongError,
    NodeExchange,
    NodeMessage,
    Received,
    RelayAnswer,
    RelayDigest,
    RelayQuery,
    UrgentUpdates,
)
from hopstep.ports.origin_messages import OriginAnswer, OriginQuery, OriginUpdate
from hopstep.rejected_messages import RejectedMessages
from hopstep.services.exchanges.directory.change_origin import STORE_SOURCE
from hopstep.services.exchanges.directory.directory_follower import DirectoryFollower
from hopstep.services.exchanges.directory.knowledge import ServingKnowledge
from hopstep.services.exchanges.instances.store_watch import CacheStoreWatch
from hopstep.services.exchanges.pause_watch import PauseWatch
from hopstep.services.exchanges.peers.answer_processor import AnswerProcessor
from hopstep.services.exchanges.peers.document_exchange import DocumentExchange
from hopstep.services.exchanges.peers.fleet_hints import FleetHints
from hopstep.services.exchanges.peers.load_sharing import LoadSharing
from hopstep.services.exchanges.peers.message_ages import store_last_answer_at
from hopstep.services.exchanges.peers.pending_queries import PendingQueries, PendingQuery
from hopstep.services.exchanges.peers.relay_answers import RelayAnswers
from hopstep.services.exchanges.peers.update_broadcast import UpdateBroadcast
from hopstep.services.exchanges.peers.urgent_queue import UrgentQueue
from hopstep.services.exchanges.streams.stream_origins import StreamOrigins
from hopstep.services.quarantine.quarantine import Quarantine

STORE_SEARCH_NODES = 2
"""Nodes that are queried at a time while the store is lost; some may have lost it too."""


class Relaying:
    """Sends queries, answers and digests, and applies those that are received."""

    def __init__(
        self,
        knowledge: ServingKnowledge,
        sharing: LoadSharing,
        store_watch: CacheStoreWatch,
        follower: DirectoryFollower,
        urgent: UrgentQueue,
        quarantine: Quarantine,
        hints: FleetHints,
        exchange: NodeExchange,
        pauses: PauseWatch,
        limits: FreshnessLimits,
        origins: StreamOrigins,
    ) -> None:
        """Connect the parts.

        Args:
            knowledge: The node's view, which is queried and reported.
            sharing: Loads and segment updates of instances.
            store_watch: Contents of the cache stores.
            follower: Reads the store when no node provides the changes.
            urgent: Updates that are sent to all nodes at once.
            quarantine: Requests under which instances have crashed.
            hints: Hints on instances, quotas and permits.
            exchange: Sends and receives datagrams.
            pauses: Provides the periodic tick.
            limits: How long the store or a relay may be unresponsive.
            origins: Receives messages about the origins of streams.
        """
        self._origins = origins
        self._knowledge = knowledge
        self._sharing = sharing
        self._store_watch = store_watch
        self._follower = follower
        self._quarantine = quarantine
        self._hints = hints
        self._exchange = exchange
        self._pauses = pauses
        self._limits = limits
        self._documents = DocumentExchange(knowledge)
        self._rejected = RejectedMessages()
        self._number = 0
        self._turn = hash_name(knowledge.name)
        self._pending = PendingQueries()
        self._answers = RelayAnswers(knowledge, self._documents, hints, sharing, store_watch)
        self._answer_processor = AnswerProcessor(knowledge, self._documents)
        self._log_identity = ""
        self._log_position = 0
        self._source = STORE_SOURCE
        self._broadcast = UpdateBroadcast(knowledge, sharing, urgent, quarantine, exchange)

    async def run(self) -> None:
        """Send and receive messages until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_periodically)
            nursery.start_soon(self._broadcast.run)
            nursery.start_soon(self._receive)

    async def _send_periodically(self) -> None:
        """Send queries or digests with each tick of the pause watch, every 0.2 s."""
        while True:
            await self._pauses.wait_check()
            await self._send_due()
            self._sharing.refresh()
            self._knowledge.registered_nodes.expire()
            self._reconsider()

    def _reconsider(self) -> None:
        """Let the readers check again that work only while no relay serves this node."""
        if self._follower.reads_store:
            self._follower.reconsider()
        if not self._knowledge.relays.relay():
            self._store_watch.reconsider()

    async def _send_due(self) -> None:
        """Send the queries or digests that are due."""
        relays = self._knowledge.relays
        relay = relays.relay()
        self._log_source(STORE_SOURCE if self._follower.reads_store else relay)
        if relay:
            await self._query(relay, self._hints.of_node(), self._store_watch.positions())
        else:
            await self._send_digests()
        probed = relays.probe(trio.current_time())
        if probed:
            await self._query(probed)
        if self._follower.has_lost_store or self._knowledge.is_settling:
            await self._query_elsewhere()

    async def _query_elsewhere(self) -> None:
        """Query nodes that may reach the store over another route, different ones each time."""
        self._turn += 1
        for node in self._knowledge.relays.readers_elsewhere(self._turn, STORE_SEARCH_NODES):
            await self._query(node)

    def _log_source(self, source: str) -> None:
        """Log the source of the directory's changes if it is another one than before."""
        if source == self._source:
            return
        age = self._knowledge.keys.age_seconds
        emit(
            DIRECTORY_SOURCE_CHANGED,
            source=source,
            previous=self._source,
            age_seconds=round(age, 3) if math.isfinite(age) else -1.0,
        )
        self._source = source

    async def _query(
        self, node: str, hints: Hints | None = None, contents: tuple[ContentsPosition, ...] = ()
    ) -> None:
        """Send a query to a node."""
        self._number += 1
        pending = PendingQuery(node, trio.current_time(), hints is not None)
        self._pending.add(self._number, pending)
        self._knowledge.relays.note_asked(node)
        position = self._knowledge.store_position
        query = RelayQuery(
            self._number,
            position.revision,
            self._log_identity,
            self._log_position,
            hints,
            contents,
            position.era,
            self._documents.configuration_version,
            self._knowledge.weights.digest,
        )
        await self._send(query, node)

    async def _send_digests(self) -> None:
        """Send the hints of this relay's group to the other relays."""
        self._number += 1
        digest = RelayDigest(self._number, self._hints.of_group())
        for node in self._knowledge.relays.digest_targets():
            self._knowledge.relays.note_asked(node)
            await self._send(digest, node)

    async def _receive(self) -> None:
        """Receive messages until cancelled."""
        while True:
            received = await self._exchange.receive(self._knowledge.nodes)
            self._knowledge.relays.note_message(received.sender)
            await self._take_or_reject(received)

    async def _take_or_reject(self, received: Received) -> None:
        """Apply one message; whatever reading its values raises rejects this message only."""
        try:
            await self._take(received)
        except Exception as error:
            self._rejected.note(describe_unexpected(error))

    async def _take(self, received: Received) -> None:
        """Apply one message."""
        message = received.message
        match message:
            case RelayQuery():
                if message.hints is not None:
                    self._hints.take_from_member(received.sender, message.hints)
                await self._answer(received.sender, message)
            case RelayAnswer():
                await self._take_answer(received.sender, message)
            case RelayDigest():
                self._hints.take_digest(received.sender, message.number, message.hints)
            case UrgentUpdates():
                self._sharing.apply_urgent(received.sender, message.prompts, message.loading)
                self._sharing.suspicions.apply(message.suspected)
                self._quarantine.merge_reports(message.crashes)
                await self._broadcast.forward(received.sender, message)
            case OriginUpdate() | OriginQuery() | OriginAnswer():
                await self._origins.take(received.sender, message)

    async def _answer(self, asker: str, query: RelayQuery) -> None:
        """Answer a query; if that is too long for a datagram, refer the asker to the store."""
        answer = self._answers.make(asker, query)
        if not await self._send(answer, asker):
            await self._send(self._answers.replace_too_long(query, answer), asker)
        if self._knowledge.is_settling and query.configuration > answer.configuration:
            await self._query(asker)

    async def _take_answer(self, sender: str, answer: RelayAnswer) -> None:
        """Apply an answer; ages count from the sending of its query."""
        pending = self._pending.take(answer.number, sender)
        if pending is None:
            return
        self._knowledge.last_answer_at = trio.current_time()
        if pending.asks_hints and sender == self._knowledge.relays.relay():
            self._hints.take_answer(sender, answer.hints, pending.sent_at)
            self._store_watch.apply_updates(answer.contents)
            self._log_identity, self._log_position = answer.feed, answer.position
        unanswered_seconds = trio.current_time() - store_last_answer_at(answer, pending.sent_at)
        self._knowledge.relays.note_store(sender, lost=unanswered_seconds > self._limits.silence)
        self._reconsider()
        if answer.must_read_store:
            self._follower.read_once()
        if self._answer_processor.process(answer, pending):
            await self._query(sender)

    async def _send(self, message: NodeMessage, name: str) -> bool:
        """Send a message to a node if it is registered; return False if it is too long."""
        record = self._knowledge.nodes.get(name)
        try:
            if record is not None:
                await self._exchange.send(message, record)
        except MessageTooLongError:
            return False
        return True
