"""One connection between a caller and an instance whose answers have faults."""

from __future__ import annotations

import random
import re
import socket
from typing import Protocol

import h11
import trio

from emulator.exchange_platform.instance_requests import TRY_HEADER, request_name
from emulator.soak.answer_copies import MAX_COPY_BYTES, SOON_SECONDS, AnswerCopy, draw_copy
from emulator.soak.answer_faults import (
    STOP_KINDS,
    AnswerEvent,
    AnswerFaults,
    CopyTime,
    EndlessForm,
    HeadDelivery,
    StopKind,
)
from emulator.soak.answer_reader import HEAD_END, AnswerReader, unframed_lines
from emulator.soak.answer_stops import AnswerStop
from emulator.soak.endless_answers import ENDLESS_PAUSE_SECONDS, ENDLESS_SECONDS, endless_bytes
from emulator.soak.proxies import CHUNK_BYTES, RESET_ON_CLOSE

BROKEN = (OSError, trio.BrokenResourceError, trio.ClosedResourceError)

SILENT_SECONDS = 1.0
"""Time for which a connection stays open and silent behind an answer that has stopped."""

CUT_SHARE = 0.3
"""Share of answers without a length that a reset cuts off."""

ID_LINE = re.compile(rb"(?i)\r\nattempt-id:[ \t]*([^\r\n]*)")
TRY_LINE = re.compile(rb"(?i)\r\n" + TRY_HEADER.encode() + rb":[ \t]*([^\r\n]*)")
"""Headers of a request that name it: its id, and the number of the try."""


class FaultSource(Protocol):
    """Decides which answers of an instance are faulty, and records events."""

    faults: AnswerFaults
    generator: random.Random

    def draw(self, share: float) -> bool:
        """Draw whether a fault occurs that has this share."""

    def begin_endless(self) -> bool:
        """Count an answer without end; return False if there are enough."""

    def end_endless(self) -> None:
        """Count the end of an answer without end."""

    def report(self, event: AnswerEvent) -> None:
        """Report an event of a connection."""


class FaultyConnection:
    """One connection between a caller and an instance."""

    def __init__(
        self,
        source: FaultSource,
        number: int,
        client: trio.SocketStream,
        server: trio.SocketStream,
    ) -> None:
        """Forward nothing yet.

        Args:
            source: Decides which answers are faulty.
            number: Number of the connection at its instance.
            client: Stream of the caller.
            server: Stream of the instance.
        """
        self._source = source
        self._generator = source.generator
        self._number = number
        self._client = client
        self._server = server
        # Held while an answer or a copy is being written, as copies never cut into answers.
        self._writing = trio.Lock()
        self._due: tuple[AnswerCopy, AnswerReader] | None = None
        self._surplus = b""
        # Whether the next answer's head is joined to a part of another, or stands behind a refusal
        # without an id, which may be its own.
        self._hides_next_head = False
        self._asked = ""

    async def run(self) -> None:
        """Forward both directions until either ends."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._pass_requests)
            nursery.start_soon(self._pass_answers)

    async def _pass_requests(self) -> None:
        """Pass requests on; a copy that is due is sent before the request can be answered."""
        try:
            async for data in self._client:
                await self._send_due()
                self._asked = _name(data) or self._asked
                await self._server.send_all(data)
        except BROKEN:
            pass
        self._nursery.cancel_scope.cancel()

    async def _pass_answers(self) -> None:
        """Pass answers on until the connection ends."""
        try:
            while await self._pass_answer():
                pass
        except (*BROKEN, h11.RemoteProtocolError):
            pass
        self._nursery.cancel_scope.cancel()

    async def _pass_answer(self) -> bool:
        """Pass one answer on; return whether another may follow on the connection."""
        data = self._surplus or await self._server.receive_some(CHUNK_BYTES)
        if not data:
            return False
        reader, faults = AnswerReader(), self._source.faults
        async with self._writing:
            if self._source.draw(faults.endless) and self._source.begin_endless():
                try:
                    await self._send_endless(reader, data)
                finally:
                    self._source.end_endless()
                return False
            if self._source.draw(faults.unframed):
                await self._send_unframed(reader, data)
                return False
            is_stopped = self._source.draw(faults.stopped)
            stop = AnswerStop.draw(self._generator) if is_stopped else None
            return await self._send_until(stop, reader, data)

    async def _send_until(self, stop: AnswerStop | None, reader: AnswerReader, data: bytes) -> bool:
        """Send an answer as it arrives; return whether another may follow on the connection.

        Args:
            stop: Where the answer stops; None if nowhere. Answers that end before it are whole.
            reader: Reads the answer.
            data: First bytes of the answer.
        """
        while True:
            sent = len(reader.recorded)
            own = reader.read(data)
            last = stop.bytes_before(reader.recorded, sent) if stop is not None else None
            if last is not None:
                await self._stop(reader, sent, own[:last])
                return False
            if reader.whole or not data:
                break
            await self._client.send_all(own)
            data = await self._server.receive_some(CHUNK_BYTES)
        self._surplus = reader.surplus
        await self._finish(reader, own)
        return reader.keeps_connection and bool(data)

    async def _finish(self, reader: AnswerReader, last: bytes) -> None:
        """Send the end of an answer, and its copy now or later."""
        may_repeat = reader.keeps_connection and len(reader.recorded) <= MAX_COPY_BYTES
        is_repeated = may_repeat and self._source.draw(self._source.faults.repeated)
        self._report("answer", reader, self._head_sent(reader.recorded))
        if is_repeated:
            await self._send_with_copy(reader, last, draw_copy(reader.recorded, self._generator))
        else:
            await self._client.send_all(last)

    async def _send_with_copy(self, reader: AnswerReader, last: bytes, copy: AnswerCopy) -> None:
        """Send the end of an answer and what its copy has now, and keep the rest for later."""
        if copy.time is CopyTime.AT_ONCE:
            self._report_copy(f"copy {copy.time}", reader)
        await self._client.send_all(last + copy.with_end)
        if copy.at_next_request:
            self._due = copy, reader
        if copy.delay_seconds is not None:
            self._nursery.start_soon(self._send_later, copy.delay_seconds, reader)

    async def _send_due(self) -> None:
        """Send the copy that waits for the next request."""
        if self._due is not None:
            (copy, reader), self._due = self._due, None
            async with self._writing:
                self._report_copy(copy.name, reader)
                self._hides_next_head = self._hides_next_head or copy.time is CopyTime.CUT
                await self._client.send_all(copy.at_next_request)

    async def _send_later(self, seconds: float, reader: AnswerReader) -> None:
        """Send the copy of an answer after a time, between answers."""
        await trio.sleep(seconds)
        try:
            async with self._writing:
                self._report_copy(f"copy {seconds:.3f} s late", reader)
                await self._client.send_all(reader.recorded)
        except BROKEN:
            self._nursery.cancel_scope.cancel()

    async def _stop(self, reader: AnswerReader, sent: int, last: bytes) -> None:
        """Send the last bytes of an answer that stops, and end the connection.

        Args:
            reader: Reads the answer.
            sent: Number of its bytes that have been sent.
            last: Its last bytes.
        """
        kind = self._generator.choice(STOP_KINDS)
        self._report(f"stopped, {kind}", reader, self._head_sent(reader.recorded[:sent] + last))
        await self._client.send_all(last)
        if kind is StopKind.AGAIN:
            await self._read_whole(reader, await self._more(reader))
            await self._client.send_all(reader.recorded)
        if kind is StopKind.SILENCE:
            await trio.sleep(self._generator.uniform(0.0, SILENT_SECONDS))
        if kind is StopKind.RESET:
            self._reset_on_close()

    async def _send_unframed(self, reader: AnswerReader, data: bytes) -> None:
        """Send an answer whose end is that of its connection; a reset shows that it is cut."""
        await self._read_whole(reader, data)
        if not reader.whole or b"content-length" not in reader.fields:
            await self._client.send_all(reader.recorded)
            return
        lines = unframed_lines(reader.recorded)
        start = b"\r\n".join([*lines, b"Connection: close", b"", b""])
        body = reader.recorded.partition(HEAD_END)[2]
        is_cut = self._generator.random() < CUT_SHARE
        what = "unframed, reset" if is_cut else "unframed"
        self._report(what, reader, self._head_sent(start))
        if is_cut:
            body = body[: self._generator.randrange(0, len(body) + 1)]
        await self._client.send_all(start + body)
        if is_cut:
            await trio.sleep(self._generator.uniform(0.0, SOON_SECONDS))
            self._reset_on_close()

    async def _send_endless(self, reader: AnswerReader, data: bytes) -> None:
        """Send bytes without end in place of an answer, or behind it."""
        form = self._generator.choice(list(EndlessForm))
        await self._read_whole(reader, data)
        start, piece = endless_bytes(form, reader.recorded, self._generator)
        self._report(f"endless {form}", reader, self._head_sent(start))
        with trio.move_on_after(ENDLESS_SECONDS):
            await self._client.send_all(start)
            while True:
                await self._client.send_all(piece)
                await trio.sleep(ENDLESS_PAUSE_SECONDS)
        self._reset_on_close()

    async def _read_whole(self, reader: AnswerReader, data: bytes) -> None:
        """Read an answer to its end before any of it is sent, or as much of it as is kept."""
        while data and not reader.whole and len(reader.recorded) < MAX_COPY_BYTES:
            reader.read(data)
            data = await self._more(reader)

    async def _more(self, reader: AnswerReader) -> bytes:
        """Return more bytes of an answer; none if it is whole or its connection has ended."""
        return b"" if reader.whole else await self._server.receive_some(CHUNK_BYTES)

    def _reset_on_close(self) -> None:
        """Let the close of the caller's stream reset its connection."""
        self._client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)

    def _head_sent(self, sent: bytes) -> HeadDelivery:
        """Return what the caller has of an answer's head once these of its bytes are sent."""
        is_whole = HEAD_END in sent and not self._hides_next_head
        return HeadDelivery.WHOLE if is_whole else HeadDelivery.CUT

    def _report_copy(self, what: str, reader: AnswerReader) -> None:
        """Report that a copy, or a part of one, is about to be sent."""
        self._hides_next_head = self._hides_next_head or b"attempt-id" not in reader.fields
        self._report(what, reader, HeadDelivery.COPY)

    def _report(self, what: str, reader: AnswerReader, head: HeadDelivery) -> None:
        """Report an event of this connection."""
        fields = reader.fields
        self._source.report(
            AnswerEvent(
                trio.current_time(),
                self._number,
                what,
                reader.status,
                fields.get(b"attempt-id", b"").decode("latin-1"),
                fields.get(b"response-stamp", b"").decode("latin-1"),
                head,
                self._asked,
            )
        )


def _name(data: bytes | bytearray) -> str:
    """Return the name of a request that begins in some bytes; empty for none."""
    attempt_id, try_number = ID_LINE.search(data), TRY_LINE.search(data)
    if attempt_id is None:
        return ""
    number = try_number[1].decode("latin-1") if try_number is not None else ""
    return request_name(attempt_id[1].decode("latin-1"), number)
