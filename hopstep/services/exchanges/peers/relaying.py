"""Nodes ask a relay of their zone for what has changed; any node answers.

Without any answer a node reads the store itself and chooses by its own traffic.
"""

from __future__ import annotations

import math

import trio

from hopstep import log_events
from hopstep.domain.exchanges.freshness import FreshnessLimits
from hopstep.domain.exchanges.store_contents import ContentsPosition
from hopstep.domain.rendezvous import hash_name
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
from hopstep.services.exchanges.directory.directory_follower import DirectoryFollower
from hopstep.services.exchanges.directory.knowledge import ServingKnowledge
from hopstep.services.exchanges.directory.news import STORE_SOURCE
from hopstep.services.exchanges.instances.store_watch import CacheStoreWatch
from hopstep.services.exchanges.pause_watch import PauseWatch
from hopstep.services.exchanges.peers.answer_taking import AnswerTaking
from hopstep.services.exchanges.peers.document_exchange import DocumentExchange
from hopstep.services.exchanges.peers.fleet_hints import FleetHints
from hopstep.services.exchanges.peers.load_sharing import LoadSharing
from hopstep.services.exchanges.peers.message_ages import store_heard_at
from hopstep.services.exchanges.peers.news_spreading import NewsSpreading
from hopstep.services.exchanges.peers.pending_queries import PendingQueries, PendingQuery
from hopstep.services.exchanges.peers.relay_answers import RelayAnswers
from hopstep.services.exchanges.peers.urgent_box import UrgentBox
from hopstep.services.quarantine.quarantine import Quarantine

SEEK_NODES = 2
"""Nodes elsewhere that one without the store asks at a time: some of them may be without it too."""


class Relaying:
    """Asks, answers, and sends digests."""

    def __init__(
        self,
        knowledge: ServingKnowledge,
        sharing: LoadSharing,
        store_watch: CacheStoreWatch,
        follower: DirectoryFollower,
        urgent: UrgentBox,
        quarantine: Quarantine,
        hints: FleetHints,
        exchange: NodeExchange,
        pauses: PauseWatch,
        limits: FreshnessLimits,
    ) -> None:
        """Join the parts.

        Args:
            knowledge: What is asked for and told.
            sharing: Loads and news of instances.
            store_watch: What the cache stores keep.
            follower: Reads the store when no node can tell.
            urgent: What all nodes are told at once.
            quarantine: Requests under which instances have ended.
            hints: What is told of instances, quotas and permits.
            exchange: Datagrams.
            pauses: The node's tick.
            limits: How long the store or a relay may be silent.
        """
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
        self._number = 0
        self._turn = hash_name(knowledge.name)
        self._pending = PendingQueries()
        self._answers = RelayAnswers(knowledge, self._documents, hints, sharing, store_watch)
        self._taking = AnswerTaking(knowledge, self._documents)
        self._feed = ""
        self._position = 0
        self._source = STORE_SOURCE
        self._news = NewsSpreading(knowledge, sharing, urgent, quarantine, exchange)

    async def run(self) -> None:
        """Ask and answer until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._tell)
            nursery.start_soon(self._news.run)
            nursery.start_soon(self._hear)

    async def _tell(self) -> None:
        """Send queries or digests with each look of the node at its clock, every 0.2 s."""
        while True:
            await self._pauses.wait_look()
            await self._send_due()
            self._sharing.refresh()
            self._knowledge.node_book.expire()
            self._reconsider()

    def _reconsider(self) -> None:
        """Have those look again that work only while no relay does it for them."""
        if self._follower.reads:
            self._follower.reconsider()
        if not self._knowledge.relays.relay():
            self._store_watch.reconsider()

    async def _send_due(self) -> None:
        """Send what is due now."""
        relays = self._knowledge.relays
        relay = relays.relay()
        self._note_source(STORE_SOURCE if self._follower.reads else relay)
        if relay:
            await self._ask(relay, self._hints.of_node(), self._store_watch.positions())
        else:
            await self._send_digests()
        probed = relays.probe(trio.current_time())
        if probed:
            await self._ask(probed)
        if self._follower.has_lost_store or self._knowledge.is_settling:
            await self._ask_elsewhere()

    async def _ask_elsewhere(self) -> None:
        """Ask nodes that may have another way to the store, each time others."""
        self._turn += 1
        for node in self._knowledge.relays.elsewhere(self._turn, SEEK_NODES):
            await self._ask(node)

    def _note_source(self, source: str) -> None:
        """Log whom this node asks for the directory, when that has changed."""
        if source == self._source:
            return
        age = self._knowledge.keys.age_seconds
        emit(
            log_events.DIRECTORY_SOURCE_CHANGED,
            source=source,
            previous=self._source,
            age_seconds=round(age, 3) if math.isfinite(age) else -1.0,
        )
        self._source = source

    async def _ask(
        self, node: str, hints: Hints | None = None, contents: tuple[ContentsPosition, ...] = ()
    ) -> None:
        """Send a query to a node."""
        self._number += 1
        pending = PendingQuery(node, trio.current_time(), hints is not None)
        self._pending.add(self._number, pending)
        self._knowledge.relays.note_asked(node)
        place = self._knowledge.place
        query = RelayQuery(
            self._number,
            place.revision,
            self._feed,
            self._position,
            hints,
            contents,
            place.era,
            self._documents.configuration_version,
            self._knowledge.weights.digest,
        )
        await self._send(query, node)

    async def _send_digests(self) -> None:
        """Tell other relays of this node and those that ask it."""
        self._number += 1
        digest = RelayDigest(self._number, self._hints.of_group())
        for node in self._knowledge.relays.digest_targets():
            self._knowledge.relays.note_asked(node)
            await self._send(digest, node)

    async def _hear(self) -> None:
        """Take messages."""
        while True:
            received = await self._exchange.receive(self._knowledge.nodes)
            self._knowledge.relays.note_heard(received.sender)
            await self._take(received)

    async def _take(self, received: Received) -> None:
        """Take one message."""
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
                self._sharing.take_news(received.sender, message.prompts, message.loading)
                self._quarantine.take(message.crashes)
                await self._news.pass_on(received.sender, message)

    async def _answer(self, asker: str, query: RelayQuery) -> None:
        """Answer a query; what doesn't fit into a datagram is left to the store."""
        answer = self._answers.make(asker, query)
        if not await self._send(answer, asker):
            await self._send(self._answers.too_long(query, answer), asker)
        if self._knowledge.is_settling and query.configuration > answer.configuration:
            await self._ask(asker)

    async def _take_answer(self, sender: str, answer: RelayAnswer) -> None:
        """Take an answer, dated by the time at which its query was sent."""
        pending = self._pending.take(answer.number, sender)
        if pending is None:
            return
        self._knowledge.node_heard_at = trio.current_time()
        if pending.asks_hints and sender == self._knowledge.relays.relay():
            self._hints.take_answer(sender, answer.hints, pending.sent_at)
            self._store_watch.take(answer.contents)
            self._feed, self._position = answer.feed, answer.position
        silence = trio.current_time() - store_heard_at(answer, pending.sent_at)
        self._knowledge.relays.note_store(sender, lost=silence > self._limits.silence)
        self._reconsider()
        if answer.must_read_store:
            self._follower.read_once()
        if self._taking.take(answer, pending):
            await self._ask(sender)

    async def _send(self, message: NodeMessage, name: str) -> bool:
        """Send a message to a node if it is registered; return False when it is too long."""
        record = self._knowledge.nodes.get(name)
        try:
            if record is not None:
                await self._exchange.send(message, record)
        except MessageTooLongError:
            return False
        return True
