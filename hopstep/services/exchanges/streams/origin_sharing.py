"""Sends records of origins to the nodes that keep them, and asks those for the origin of a stream.

Datagrams may be lost: a record goes to several nodes, and a question is repeated to those that
haven't answered.
"""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterable, Iterator

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
from hopstep.services.exchanges.streams.origin_inquiry import Inquiry
from hopstep.services.exchanges.streams.origin_messages import read_record, report_record

ROUND_SECONDS = (0.03, 0.1, 0.1)
"""Times after which nodes that haven't answered are asked again, at last given up. Answers take a
few milliseconds within a region; the first round is short since nodes that have died are asked
too."""

MAX_UPDATE_ORIGINS = 200
"""Records in one message: some 16 kB."""

MAX_UNSENT = 4_096
"""Records that wait to be sent; further ones are kept by this node alone."""


class UnsentRecord(msgspec.Struct, frozen=True):
    """A record that waits to be sent.

    Attributes:
        record: The record.
        for_store: Whether one of the nodes that keep it writes it to the store.
    """

    record: OriginRecord
    for_store: bool


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
        self._unsent: list[UnsentRecord] = []
        self._unwritten: list[OriginRecord] = []
        self._substitution = 0
        self._filled = trio.Event()
        self._inquiries: dict[int, Inquiry] = {}

    def put(self, records: Iterable[OriginRecord], *, for_store: bool = True) -> None:
        """Send records to the nodes that keep them, as soon as the running task yields.

        Args:
            records: The records.
            for_store: Whether one of those nodes writes them to the store.
        """
        self._unsent += [UnsentRecord(record, for_store) for record in records]
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
        unsent, self._unsent = self._unsent, []
        writer = self._holders.writer()
        parts: dict[tuple[str, StoreWrite], list[OriginRecord]] = {}
        for each in unsent:
            for name in self._holders.keepers(each.record.key):
                is_written = each.for_store and name == writer
                write = StoreWrite.WRITER if is_written else StoreWrite.NONE
                parts.setdefault((name, write), []).append(each.record)
        for (name, write), kept in parts.items():
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

    @contextlib.contextmanager
    def open(self, key: bytes, service: str) -> Iterator[Inquiry]:
        """Open a question for the origin of a stream; answers are taken until it is closed.

        Args:
            key: Key of the stream.
            service: Service whose instances may have begun it; empty for several.
        """
        names = self._holders.asked(key)
        self._number += 1
        asked_at = trio.current_time()
        others = self._knowledge.count_nodes() - 1
        inquiry = Inquiry(self._number, key, service, asked_at, set(names), len(names), others)
        self._inquiries[inquiry.number] = inquiry
        try:
            yield inquiry
        finally:
            del self._inquiries[inquiry.number]

    async def ask(self, inquiry: Inquiry, is_enough: Callable[[Inquiry], bool]) -> None:
        """Ask other nodes, until one has a record, all have answered, or ``ROUND_SECONDS`` end.

        Args:
            inquiry: The question.
            is_enough: Whether the answers so far decide; asked from the end of the first round.
        """
        decides: Callable[[Inquiry], bool] = _never
        for round_seconds in ROUND_SECONDS:
            for name in sorted(inquiry.missing):
                await self._send(_query(inquiry), name)
            with trio.move_on_after(round_seconds):
                while inquiry.is_open and not decides(inquiry):
                    await inquiry.progress.wait()
            if not inquiry.is_open or is_enough(inquiry):
                return
            decides = is_enough

    async def ask_to_read(self, inquiry: Inquiry, name: str) -> None:
        """Ask a node to read the store and to answer then."""
        inquiry.readers.add(name)
        await self._send(_query(inquiry, needs_reading=True), name)

    async def answer(
        self, sender: str, query: OriginQuery, record: OriginRecord | None, claim: VersionClaim
    ) -> None:
        """Answer another node's question."""
        origin = report_record(record, trio.current_time()) if record is not None else None
        await self._send(OriginAnswer(query.number, origin, claim), sender)

    def take_answer(self, sender: str, answer: OriginAnswer) -> None:
        """Apply another node's answer."""
        inquiry = self._inquiries.get(answer.number)
        if inquiry is None or not inquiry.expects(sender):
            return
        inquiry.take_claim(answer.claim, sender)
        if answer.origin is not None:
            inquiry.take_record(read_record(answer.origin, trio.current_time()), sender)
        inquiry.notify()

    async def _send(self, message: NodeMessage, name: str) -> None:
        """Send a message to a node, if it is registered."""
        record = self._knowledge.nodes.get(name)
        if record is None:
            return
        try:
            await self._exchange.send(message, record)
        except MessageTooLongError:
            emit(ORIGINS_NOT_SENT, receiver=name, message=type(message).__name__)


def _never(_inquiry: Inquiry) -> bool:
    """Let a round go on, whatever the answers are."""
    return False


def _query(inquiry: Inquiry, *, needs_reading: bool = False) -> OriginQuery:
    """Return the message that asks a node."""
    return OriginQuery(inquiry.number, inquiry.key, inquiry.service, needs_reading)
