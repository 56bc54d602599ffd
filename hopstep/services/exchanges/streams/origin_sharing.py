"""Sends records of origins to the nodes that keep them, and asks those for the origin of a stream.

Datagrams may be lost: a record goes to several nodes, and a question is repeated to those that
haven't answered.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

import msgspec
import trio

from hopstep.domain.exchanges.streams.origin_records import OriginRecord
from hopstep.domain.exchanges.streams.version_claims import VersionClaim
from hopstep.log_events.requests import ORIGINS_NOT_SENT
from hopstep.logs import emit
from hopstep.ports.node_exchange import MessageTooLongError, NodeExchange, NodeMessage
from hopstep.ports.origin_messages import OriginAnswer, OriginQuery, OriginUpdate, StoreWrite
from hopstep.services.exchanges.directory.knowledge import ServingKnowledge
from hopstep.services.exchanges.streams.origin_holders import OriginHolders
from hopstep.services.exchanges.streams.origin_messages import read_record, report_record

ROUND_SECONDS = (0.03, 0.1, 0.1)
"""Times after which nodes that haven't answered are asked again, at last given up. Answers take a
few milliseconds within a region; the first round is short since nodes that have died are asked
too."""

MAX_UPDATE_ORIGINS = 200
"""Records in one message: some 16 kB."""

MAX_UNSENT = 4_096
"""Records that wait to be sent; further ones are kept by this node alone."""


class Inquiry(msgspec.Struct, eq=False):
    """A question for the origin of a stream.

    Attributes:
        missing: Nodes that haven't answered yet.
        asked: Number of nodes that were asked.
        record: The origin, once a node knows it.
        node: Node that knows it; empty for none.
        claims: What the others that answered know of the service's software versions.
        progress: Set with each answer.
    """

    missing: set[str]
    asked: int
    record: OriginRecord | None = None
    node: str = ""
    claims: list[VersionClaim] = []
    progress: trio.Event = msgspec.field(default_factory=trio.Event)

    def take_record(self, record: OriginRecord, node: str) -> None:
        """Keep a record that a node has answered, the one that began last of several."""
        if self.record is None or record.began_at > self.record.began_at:
            self.record = record
            self.node = node


class OriginSharing:
    """Messages between nodes about the origins of streams."""

    def __init__(
        self, knowledge: ServingKnowledge, holders: OriginHolders, exchange: NodeExchange
    ) -> None:
        """Start without records to send. Must be called inside the event loop.

        Args:
            knowledge: The registered nodes.
            holders: Chooses the nodes that keep and know a record.
            exchange: Sends datagrams.
        """
        self._knowledge = knowledge
        self._holders = holders
        self._exchange = exchange
        self._number = 0
        self._unsent: list[OriginRecord] = []
        self._unwritten: list[OriginRecord] = []
        self._substitution = 0
        self._filled = trio.Event()
        self._inquiries: dict[int, Inquiry] = {}

    def put(self, records: Iterable[OriginRecord]) -> None:
        """Send records to the nodes that keep them, as soon as the running task yields."""
        self._unsent += records
        del self._unsent[MAX_UNSENT:]
        if self._unsent:
            self._filled.set()

    def put_unwritten(self, records: Iterable[OriginRecord]) -> None:
        """Send records that this node can't write to the store to nodes that may."""
        self._unwritten += records
        del self._unwritten[MAX_UNSENT:]
        if self._unwritten:
            self._filled.set()

    async def run(self) -> None:
        """Send records until cancelled."""
        while True:
            await self._filled.wait()
            self._filled = trio.Event()
            await self._send_to_keepers()
            await self._send_to_substitutes()

    async def _send_to_keepers(self) -> None:
        """Send new records to the nodes that keep them, the writer among them."""
        records, self._unsent = self._unsent, []
        by_node: dict[str, list[OriginRecord]] = {}
        for record in records:
            for name in self._holders.keepers(record.key):
                by_node.setdefault(name, []).append(record)
        writer = self._holders.writer()
        for name, kept in by_node.items():
            write = StoreWrite.WRITER if name == writer else StoreWrite.NONE
            await self._send_records(name, kept, write)

    async def _send_to_substitutes(self) -> None:
        """Send the records that this node can't write to others that may, others each time."""
        records, self._unwritten = self._unwritten, []
        if not records:
            return
        self._substitution += 1
        for name in self._holders.substitutes(self._substitution):
            await self._send_records(name, records, StoreWrite.SUBSTITUTE)

    async def _send_records(
        self, name: str, records: list[OriginRecord], store_write: StoreWrite
    ) -> None:
        """Send records to one node."""
        now = trio.current_time()
        for first in range(0, len(records), MAX_UPDATE_ORIGINS):
            part = records[first : first + MAX_UPDATE_ORIGINS]
            self._number += 1
            origins = tuple(report_record(record, now) for record in part)
            await self._send(OriginUpdate(self._number, origins, store_write), name)

    async def ask(self, key: bytes, service: str, is_enough: Callable[[Inquiry], bool]) -> Inquiry:
        """Ask other nodes for the origin of a stream.

        Args:
            key: Key of the stream.
            service: Service whose instances may have begun it.
            is_enough: Whether the answers so far decide, asked after each round.

        Returns:
            The answers: a record, all answers without one, or what came within ``ROUND_SECONDS``.
        """
        names = self._holders.asked(key)
        inquiry = Inquiry(set(names), len(names))
        self._number += 1
        number = self._number
        self._inquiries[number] = inquiry
        try:
            for round_seconds in ROUND_SECONDS:
                for name in sorted(inquiry.missing):
                    await self._send(OriginQuery(number, key, service), name)
                with trio.move_on_after(round_seconds):
                    while inquiry.missing and inquiry.record is None:
                        await inquiry.progress.wait()
                if inquiry.record is not None or not inquiry.missing or is_enough(inquiry):
                    break
        finally:
            del self._inquiries[number]
        return inquiry

    async def answer(
        self, sender: str, query: OriginQuery, record: OriginRecord | None, claim: VersionClaim
    ) -> None:
        """Answer another node's question."""
        origin = report_record(record, trio.current_time()) if record is not None else None
        await self._send(OriginAnswer(query.number, origin, claim), sender)

    def take_answer(self, sender: str, answer: OriginAnswer) -> None:
        """Apply another node's answer."""
        inquiry = self._inquiries.get(answer.number)
        if inquiry is None or sender not in inquiry.missing:
            return
        inquiry.missing.discard(sender)
        inquiry.claims.append(answer.claim)
        if answer.origin is not None:
            inquiry.take_record(read_record(answer.origin, trio.current_time()), sender)
        inquiry.progress.set()
        inquiry.progress = trio.Event()

    async def _send(self, message: NodeMessage, name: str) -> None:
        """Send a message to a node, if it is registered."""
        record = self._knowledge.nodes.get(name)
        if record is None:
            return
        try:
            await self._exchange.send(message, record)
        except MessageTooLongError:
            emit(ORIGINS_NOT_SENT, receiver=name, message=type(message).__name__)
