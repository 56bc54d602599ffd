"""Nodes ask a relay of their zone for what has changed; any node answers.

Without any answer a node reads the store itself and chooses by its own traffic.
"""

from __future__ import annotations

import math
from collections import OrderedDict

import msgspec
import trio

from hopstep import log_events
from hopstep.domain.exchanges.directory_feed import FeedEntry
from hopstep.domain.exchanges.freshness import FreshnessLimits
from hopstep.domain.exchanges.nodes import FORM_WITH_ERAS
from hopstep.domain.exchanges.store_contents import ContentsPosition
from hopstep.domain.rendezvous import hash_name
from hopstep.domain.store_place import NOWHERE, UNTOLD_ERA, StorePlace
from hopstep.logs import emit
from hopstep.ports.node_exchange import (
    Hints,
    MessageTooLongError,
    NodeExchange,
    NodeMessage,
    Received,
    RelayAnswer,
    RelayDigest,
    RelayedEntry,
    RelayQuery,
    ToldEntry,
    UrgentNews,
)
from hopstep.ports.serving_directory import ConfigurationPublished, DirectoryEntry
from hopstep.services.exchanges.directory.directory_follower import DirectoryFollower
from hopstep.services.exchanges.directory.knowledge import ServingKnowledge
from hopstep.services.exchanges.directory.news import STORE_SOURCE
from hopstep.services.exchanges.instances.store_watch import CacheStoreWatch
from hopstep.services.exchanges.pause_watch import PauseWatch
from hopstep.services.exchanges.peers.document_exchange import DocumentExchange
from hopstep.services.exchanges.peers.fleet_hints import FleetHints
from hopstep.services.exchanges.peers.load_sharing import LoadSharing
from hopstep.services.exchanges.peers.news_spreading import NewsSpreading
from hopstep.services.exchanges.peers.urgent_box import UrgentBox
from hopstep.services.quarantine.quarantine import Quarantine

SEEK_NODES = 2
"""Nodes elsewhere that one without the store asks at a time: some of them may be without it too."""

MAX_ENTRIES = 40
"""Most changes in an answer."""

MAX_PENDING = 256
"""Queries that may still be answered: 15 a second of a node without the store, for 17 s."""

MILLISECONDS = 1_000
UNKNOWN_AGE_MS = -1
NEVER_MS = -1
"""Silence of a node that nobody with the store has ever told anything."""


class _Pending(msgspec.Struct, frozen=True):
    """A query that isn't answered yet, with the time at which it was sent."""

    node: str
    sent_at: float
    asks_hints: bool


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
        self._pending: OrderedDict[int, _Pending] = OrderedDict()
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
        self._pending[self._number] = _Pending(node, trio.current_time(), hints is not None)
        while len(self._pending) > MAX_PENDING:
            self._pending.popitem(last=False)
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
            case UrgentNews():
                self._sharing.take_news(received.sender, message.prompts, message.loading)
                self._quarantine.take(message.crashes)
                await self._news.pass_on(received.sender, message)

    async def _answer(self, asker: str, query: RelayQuery) -> None:
        """Answer a query; what doesn't fit into a datagram is left to the store."""
        answer = self._make_answer(asker, query)
        if not await self._send(answer, asker):
            short = RelayAnswer(
                query.number,
                query.revision,
                query.revision,
                UNKNOWN_AGE_MS,
                beyond_reach=True,
                silence_ms=answer.silence_ms,
                after_era=query.era,
                era=query.era,
            )
            await self._send(short, asker)
        if self._knowledge.is_settling and query.configuration > answer.configuration:
            await self._ask(asker)

    def _make_answer(self, asker: str, query: RelayQuery) -> RelayAnswer:
        """Return the answer to a query."""
        knowledge = self._knowledge
        now = trio.current_time()
        answer = RelayAnswer(
            number=query.number,
            after=query.revision,
            revision=query.revision,
            age_ms=UNKNOWN_AGE_MS,
            contents=self._store_watch.news_after(query.contents),
            silence_ms=_silence_ms(now, knowledge.contact.heard_at),
            after_era=query.era,
            era=query.era,
            keys_age_ms=_age_or_unknown(now, knowledge.keys.confirmed_at),
            configuration=self._documents.configuration_version,
            newer=self._documents.newer_than(query),
        )
        if query.hints is not None:
            hints, position = self._hints.for_asker(asker, query, query.hints)
            identity = self._sharing.log.identity
            answer = msgspec.structs.replace(answer, feed=identity, position=position, hints=hints)
        asked_after = self._placed(asker, query.place)
        if asked_after > knowledge.place:
            return answer
        changes = knowledge.feed.after(asked_after)
        if changes is None:
            return msgspec.structs.replace(answer, beyond_reach=knowledge.place != NOWHERE)
        part = _first_part(changes)
        complete = len(part) == len(changes)
        reached = knowledge.place if complete else part[-1].place
        return msgspec.structs.replace(
            answer,
            revision=reached.revision,
            era=reached.era,
            age_ms=_age_ms(now, knowledge.history.reached_at),
            complete=complete,
            entries=tuple(
                RelayedEntry(ToldEntry.of(e.change), _age_ms(now, e.since)) for e in part
            ),
            newer=self._documents.not_among(answer.newer, part),
        )

    def _placed(self, node: str, place: StorePlace) -> StorePlace:
        """Return the place that a node means, which tells no era if its version knows none.

        As long as this node has seen one era only, that is the one.
        """
        record = self._knowledge.nodes.get(node)
        told = record is not None and record.form >= FORM_WITH_ERAS
        if told or place == NOWHERE or self._knowledge.place == NOWHERE:
            return place
        era = UNTOLD_ERA if self._knowledge.history.was_restored else self._knowledge.place.era
        return StorePlace(era, place.revision)

    async def _take_answer(self, sender: str, answer: RelayAnswer) -> None:
        """Take an answer, dated by the time at which its query was sent."""
        pending = self._pending.pop(answer.number, None)
        if pending is None or pending.node != sender:
            return
        self._knowledge.node_heard_at = trio.current_time()
        if pending.asks_hints and sender == self._knowledge.relays.relay():
            self._hints.take_answer(sender, answer.hints, pending.sent_at)
            self._store_watch.take(answer.contents)
            self._feed, self._position = answer.feed, answer.position
        heard_at = _heard_at(answer, pending)
        lost = trio.current_time() - heard_at > self._limits.silence
        self._knowledge.relays.note_store(sender, lost=lost)
        self._reconsider()
        if answer.beyond_reach:
            self._follower.read_once()
        self._documents.take(answer, sender, pending.sent_at)
        await self._take_changes(sender, answer, pending, heard_at)
        self._confirm_keys(answer, pending.sent_at)

    async def _take_changes(
        self, sender: str, answer: RelayAnswer, pending: _Pending, heard_at: float
    ) -> None:
        """Take the changes of an answer if they follow what is known."""
        if answer.age_ms == UNKNOWN_AGE_MS:
            return
        reached = self._placed(sender, answer.place)
        if self._placed(sender, answer.after_place) > self._knowledge.place:
            return
        if reached < self._knowledge.place and reached.era < self._knowledge.place.era:
            return
        self._knowledge.contact.note_return(heard_at)
        self._take_entries(answer, pending, reached)
        if answer.complete:
            self._knowledge.contact.note_told(heard_at)
        else:
            await self._ask(sender)

    def _take_entries(self, answer: RelayAnswer, query: _Pending, reached: StorePlace) -> None:
        """Take the changes of an answer; a part of them confirms nothing."""
        knowledge, sent_at = self._knowledge, query.sent_at
        knowledge.enter(reached, query.node)
        entries = (
            _feed_entry(
                relayed.entry.read(self._era_of(query.node, relayed.entry)),
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

    def _era_of(self, node: str, entry: ToldEntry) -> int:
        """Return the era that a node means by an entry; see ``_placed``."""
        return self._placed(node, StorePlace(entry.era, entry.revision)).era

    async def _send(self, message: NodeMessage, name: str) -> bool:
        """Send a message to a node if it is registered; return False when it is too long."""
        record = self._knowledge.nodes.get(name)
        try:
            if record is not None:
                await self._exchange.send(message, record)
        except MessageTooLongError:
            return False
        return True


def _feed_entry(entry: DirectoryEntry, since: float) -> FeedEntry[DirectoryEntry]:
    """Return an entry with the time after which it was made."""
    return FeedEntry(entry.key, entry.place, entry, since, entry.removed)


def _age_ms(now: float, since: float) -> int:
    """Return an age in whole milliseconds, rounded up."""
    return int((now - since) * MILLISECONDS) + 1


def _age_or_unknown(now: float, since: float) -> int:
    """Return an age in whole milliseconds, rounded up; ``UNKNOWN_AGE_MS`` for an infinite one."""
    return _age_ms(now, since) if math.isfinite(since) else UNKNOWN_AGE_MS


def _silence_ms(now: float, heard_at: float) -> int:
    """Return a time since the store last answered; ``NEVER_MS`` for never."""
    return _age_ms(now, heard_at) if math.isfinite(heard_at) else NEVER_MS


def _heard_at(answer: RelayAnswer, query: _Pending) -> float:
    """Return when the store last answered the node that sent an answer, or those it heard from."""
    if answer.silence_ms == NEVER_MS:
        return -float("inf")
    return query.sent_at - answer.silence_ms / MILLISECONDS


def _first_part(changes: list[FeedEntry[DirectoryEntry]]) -> list[FeedEntry[DirectoryEntry]]:
    """Return the changes of one answer: up to a bound, and a configuration as the last one."""
    part: list[FeedEntry[DirectoryEntry]] = []
    for entry in changes[:MAX_ENTRIES]:
        part.append(entry)
        if isinstance(entry.change.change, ConfigurationPublished):
            break
    return part
