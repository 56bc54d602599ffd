"""A proxy in front of one instance whose answers are repeated, cut off, or followed by no end.

It reads the instance's answers with the rules of HTTP/1.1 and passes the bytes on unchanged. A
faulty answer is passed on twice, stops in its head or body, or is replaced by bytes that go on
until the caller closes the connection.
"""

from __future__ import annotations

import enum
import random
import socket
from collections.abc import Callable

import h11
import msgspec
import trio

from emulator.soak.proxies import CHUNK_BYTES, LOOPBACK, RESET_ON_CLOSE

BROKEN = (OSError, trio.BrokenResourceError, trio.ClosedResourceError)

MAX_COPY_BYTES = 65_536
"""Longer answers are never repeated."""

STOP_BYTES = 300
"""Answers that stop in their head do so before this byte; an instance's head has some 250 bytes."""

BODY_STOP_BYTES = 40
"""Answers that stop in their body do so before this byte of it; short bodies have some 20 bytes."""

SILENT_SECONDS = 1.0
"""Time for which a connection stays open and silent behind an answer that has stopped."""

SOON_SECONDS = 0.05
LATE_SECONDS = 2.0

HEAD_END = b"\r\n\r\n"
FRAMING = (b"content-length:", b"transfer-encoding:", b"connection:")
"""First bytes of the header lines that tell where an answer ends."""

CUT_SHARE = 0.3
"""Share of answers without a length that a reset cuts off."""

ENDLESS_PIECE_BYTES = 8_192
ENDLESS_PAUSE_SECONDS = 0.004
ENDLESS_SECONDS = 6.0
"""Bytes without end come at some 2 MB/s, and end after this time if the caller doesn't close."""

MAX_ENDLESS = 2
"""Answers without end at a time over all instances, which bounds the load of the machine."""


class CopyTime(enum.StrEnum):
    """When the copy of an answer is sent.

    ``AT_ONCE`` is in one write with the end of the answer, ``NEXT`` as the next request arrives and
    before its answer, ``SPLIT`` half at once and half as the next request arrives. ``CUT`` stops in
    the head of the copy, and the next answer follows right behind it.
    """

    AT_ONCE = "at once"
    SOON = "soon"
    LATE = "late"
    NEXT = "next"
    SPLIT = "split"
    CUT = "cut"


COPY_TIMES = (*CopyTime, *(CopyTime.NEXT,) * 2, *(CopyTime.CUT,) * 2)
"""Times that are drawn. Nodes see most other copies before they use the connection again, and then
use each connection to that instance once only, for some seconds."""


class StopKind(enum.StrEnum):
    """What follows an answer that has stopped; ``AGAIN`` is the same answer from its beginning."""

    CLOSE = "close"
    RESET = "reset"
    SILENCE = "silence"
    AGAIN = "again"


STOP_KINDS = (*StopKind, StopKind.AGAIN, StopKind.AGAIN)
"""Kinds that are drawn; only in the last one do bytes follow that might be taken for the rest."""


class EndlessForm(enum.StrEnum):
    """What comes without end."""

    GARBAGE = "garbage"
    HEADER_LINE = "header line"
    HEADER_LINES = "header lines"
    INFORMATIONAL = "informational responses"
    BODY = "body"
    CHUNKS = "chunks"
    SURPLUS = "surplus"


class AnswerFaults(msgspec.Struct):
    """Shares (0 to 1) of an instance's answers that are faulty.

    Attributes:
        repeated: Whole answers that are sent twice.
        stopped: Answers that stop in their head or body.
        endless: Answers that are replaced or followed by bytes without end.
        unframed: Answers with a length that are sent without one and end with their connection.
    """

    repeated: float = 0.0
    stopped: float = 0.0
    endless: float = 0.0
    unframed: float = 0.0


class AnswerEvent(msgspec.Struct, frozen=True):
    """An answer that was passed on whole, or a fault of one.

    Attributes:
        at: Time of the event.
        connection: Number of the connection at its instance.
        what: ``answer`` for a whole answer, otherwise the kind of fault.
        status: HTTP status; 0 if no head was read.
        attempt_id: Id in the answer; empty for none.
        stamp: Signature in the answer; empty for none.
    """

    at: float
    connection: int
    what: str
    status: int = 0
    attempt_id: str = ""
    stamp: str = ""


class _AnswerReader:
    """Reads one answer and keeps its bytes."""

    def __init__(self) -> None:
        self.whole = False
        self.keeps_connection = True
        self.recorded = b""
        self.surplus = b""
        self.status = 0
        self.fields: dict[bytes, bytes] = {}
        self._protocol = h11.Connection(h11.CLIENT, max_incomplete_event_size=1 << 20)
        self._protocol.send(h11.Request(method="GET", target="/", headers=[("Host", "x")]))
        self._protocol.send(h11.EndOfMessage())

    def read(self, data: bytes) -> bytes:
        """Return those of the bytes that belong to the answer.

        Raises:
            h11.RemoteProtocolError: If they are no answer, or end one early.
        """
        self._protocol.receive_data(data)
        while True:
            event = self._protocol.next_event()
            if isinstance(event, h11.Response):
                self.status = event.status_code
                self.fields = dict(event.headers)
                self.keeps_connection = self.fields.get(b"connection", b"").lower() != b"close"
            if isinstance(event, h11.EndOfMessage):
                self.whole = True
                self.surplus = self._protocol.trailing_data[0]
                break
            if event in (h11.NEED_DATA, h11.PAUSED) or isinstance(event, h11.ConnectionClosed):
                break
        own = data[: len(data) - len(self.surplus)]
        self.recorded += own
        return own


class _Stop(msgspec.Struct, frozen=True):
    """Where an answer stops: a byte of the answer, or one of its body."""

    is_in_body: bool
    byte: int

    @classmethod
    def draw(cls, generator: random.Random) -> _Stop:
        """Return a random stop, in the body as often as in the head."""
        if generator.random() < 0.5:
            return cls(is_in_body=True, byte=generator.randrange(BODY_STOP_BYTES))
        return cls(is_in_body=False, byte=generator.randrange(1, STOP_BYTES))

    def position(self, recorded: bytes) -> int | None:
        """Return the number of bytes that are sent before it; None if that isn't known yet."""
        if not self.is_in_body:
            return self.byte
        head_bytes = recorded.find(HEAD_END)
        return None if head_bytes < 0 else head_bytes + len(HEAD_END) + self.byte


class FaultyAnswerProxy:
    """Forwards connections to one instance; the shares of faults may change at any time."""

    _endless_count = 0

    def __init__(
        self,
        target: str,
        generator: random.Random,
        on_event: Callable[[AnswerEvent], None] = lambda _event: None,
    ) -> None:
        """Forward without faults.

        Args:
            target: ``ip:port`` of the instance.
            generator: Draws faults.
            on_event: Called for each whole answer and each fault.
        """
        self.faults = AnswerFaults()
        self.generator = generator
        self._target = target
        self._on_event = on_event
        self._connections = 0
        self._scope = trio.CancelScope()

    async def run(
        self, address: str, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Listen and forward until cancelled.

        Args:
            address: ``ip:port`` to listen at.
            task_status: Reports that the port is open.
        """
        port = int(address.rpartition(":")[2])
        listeners = await trio.open_tcp_listeners(port, host=LOOPBACK)
        with self._scope:
            task_status.started()
            await trio.serve_listeners(self._forward, listeners)

    def close(self) -> None:
        """Close the port and end all connections."""
        self._scope.cancel()

    def draw(self, share: float) -> bool:
        """Draw whether a fault occurs that has this share."""
        return share > 0 and self.generator.random() < share

    def begin_endless(self) -> bool:
        """Count an answer without end; return False if there are enough."""
        if FaultyAnswerProxy._endless_count >= MAX_ENDLESS:
            return False
        FaultyAnswerProxy._endless_count += 1
        return True

    def end_endless(self) -> None:
        """Count the end of an answer without end."""
        FaultyAnswerProxy._endless_count -= 1

    def report(self, connection: int, what: str, reader: _AnswerReader) -> None:
        """Report an event of a connection."""
        fields = reader.fields
        self._on_event(
            AnswerEvent(
                trio.current_time(),
                connection,
                what,
                reader.status,
                fields.get(b"attempt-id", b"").decode("latin-1"),
                fields.get(b"response-stamp", b"").decode("latin-1"),
            )
        )

    async def _forward(self, client: trio.SocketStream) -> None:
        """Forward one connection until it ends."""
        self._connections += 1
        host, _, port = self._target.rpartition(":")
        try:
            async with client, await trio.open_tcp_stream(host, int(port)) as server:
                await _FaultyConnection(self, self._connections, client, server).run()
        except BROKEN:
            return


class _FaultyConnection:
    """One connection between a caller and an instance."""

    def __init__(
        self,
        proxy: FaultyAnswerProxy,
        number: int,
        client: trio.SocketStream,
        server: trio.SocketStream,
    ) -> None:
        self._proxy = proxy
        self._generator = proxy.generator
        self._number = number
        self._client = client
        self._server = server
        # Held while an answer or a copy is being written, as copies never cut into answers.
        self._writing = trio.Lock()
        self._due: tuple[bytes, _AnswerReader, str] | None = None
        self._surplus = b""

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
        reader = _AnswerReader()
        data = self._surplus or await self._server.receive_some(CHUNK_BYTES)
        if not data:
            return False
        faults, generator = self._proxy.faults, self._generator
        async with self._writing:
            if self._proxy.draw(faults.endless) and self._proxy.begin_endless():
                try:
                    await self._send_endless(reader, data)
                finally:
                    self._proxy.end_endless()
                return False
            if self._proxy.draw(faults.unframed):
                await self._send_unframed(reader, data)
                return False
            stop = _Stop.draw(generator) if self._proxy.draw(faults.stopped) else None
            while True:
                sent = len(reader.recorded)
                own = reader.read(data)
                stop_at = stop.position(reader.recorded) if stop is not None else None
                if stop_at is not None and sent <= stop_at < len(reader.recorded):
                    await self._stop(reader, own[: stop_at - sent])
                    return False
                if reader.whole or not data:
                    break
                await self._client.send_all(own)
                data = await self._server.receive_some(CHUNK_BYTES)
            self._surplus = reader.surplus
            await self._finish(reader, own)
        return reader.keeps_connection and bool(data)

    async def _finish(self, reader: _AnswerReader, last: bytes) -> None:
        """Send the end of an answer, and its copy now or later."""
        may_repeat = reader.keeps_connection and len(reader.recorded) <= MAX_COPY_BYTES
        copies = may_repeat and self._proxy.draw(self._proxy.faults.repeated)
        self._proxy.report(self._number, "answer", reader)
        if not copies:
            await self._client.send_all(last)
            return
        copy = reader.recorded
        time = self._generator.choice(COPY_TIMES)
        if time is CopyTime.AT_ONCE:
            self._proxy.report(self._number, f"copy {time}", reader)
            await self._client.send_all(last + copy)
            return
        if time is CopyTime.SPLIT:
            half = self._generator.randrange(1, len(copy))
            await self._client.send_all(last + copy[:half])
            self._due = copy[half:], reader, "second half of a copy"
            return
        await self._client.send_all(last)
        if time is CopyTime.NEXT:
            self._due = copy, reader, "copy at the next request"
            return
        if time is CopyTime.CUT:
            head_bytes = copy.index(HEAD_END)
            self._due = copy[: self._generator.randrange(1, head_bytes)], reader, "cut copy"
            return
        longest = SOON_SECONDS if time is CopyTime.SOON else LATE_SECONDS
        self._nursery.start_soon(self._send_later, self._generator.uniform(0.0, longest), reader)

    async def _send_due(self) -> None:
        """Send the copy that waits for the next request."""
        if self._due is not None:
            (copy, reader, what), self._due = self._due, None
            async with self._writing:
                self._proxy.report(self._number, what, reader)
                await self._client.send_all(copy)

    async def _send_later(self, seconds: float, reader: _AnswerReader) -> None:
        """Send the copy of an answer after a time, between answers."""
        await trio.sleep(seconds)
        try:
            async with self._writing:
                self._proxy.report(self._number, f"copy {seconds:.3f} s late", reader)
                await self._client.send_all(reader.recorded)
        except BROKEN:
            self._nursery.cancel_scope.cancel()

    async def _stop(self, reader: _AnswerReader, last: bytes) -> None:
        """Send the last bytes of an answer that stops, and end the connection."""
        kind = self._generator.choice(STOP_KINDS)
        self._proxy.report(self._number, f"stopped, {kind}", reader)
        await self._client.send_all(last)
        if kind is StopKind.AGAIN:
            await self._read_whole(reader, await self._more(reader))
            await self._client.send_all(reader.recorded)
        if kind is StopKind.SILENCE:
            await trio.sleep(self._generator.uniform(0.0, SILENT_SECONDS))
        if kind is StopKind.RESET:
            self._client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)

    async def _read_whole(self, reader: _AnswerReader, data: bytes) -> None:
        """Read an answer to its end before any of it is sent, or as much of it as is kept."""
        while data and not reader.whole and len(reader.recorded) < MAX_COPY_BYTES:
            reader.read(data)
            data = await self._more(reader)

    async def _more(self, reader: _AnswerReader) -> bytes:
        """Return more bytes of an answer; none if it is whole or its connection has ended."""
        return b"" if reader.whole else await self._server.receive_some(CHUNK_BYTES)

    async def _send_unframed(self, reader: _AnswerReader, data: bytes) -> None:
        """Send an answer whose end is that of its connection; a reset shows that it is cut."""
        await self._read_whole(reader, data)
        if not reader.whole or b"content-length" not in reader.fields:
            await self._client.send_all(reader.recorded)
            return
        head, _, body = reader.recorded.partition(HEAD_END)
        lines = [line for line in head.split(b"\r\n") if not line.lower().startswith(FRAMING)]
        start = b"\r\n".join([*lines, b"Connection: close", b"", b""])
        is_cut = self._generator.random() < CUT_SHARE
        self._proxy.report(self._number, "unframed, reset" if is_cut else "unframed", reader)
        if is_cut:
            body = body[: self._generator.randrange(0, len(body) + 1)]
        await self._client.send_all(start + body)
        if is_cut:
            await trio.sleep(self._generator.uniform(0.0, SOON_SECONDS))
            self._client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)

    async def _send_endless(self, reader: _AnswerReader, data: bytes) -> None:
        """Send bytes without end in place of an answer, or behind it."""
        form = self._generator.choice(list(EndlessForm))
        await self._read_whole(reader, data)
        self._proxy.report(self._number, f"endless {form}", reader)
        start, piece = _endless_bytes(form, reader.recorded, self._generator)
        with trio.move_on_after(ENDLESS_SECONDS):
            await self._client.send_all(start)
            while True:
                await self._client.send_all(piece)
                await trio.sleep(ENDLESS_PAUSE_SECONDS)
        self._client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)


def _endless_bytes(
    form: EndlessForm, answer: bytes, generator: random.Random
) -> tuple[bytes, bytes]:
    """Return the bytes that begin an answer without end, and those that follow again and again."""
    head, _, _body = answer.partition(HEAD_END)
    lines = [line for line in head.split(b"\r\n") if not line.lower().startswith(FRAMING)]
    filler = b"a" * ENDLESS_PIECE_BYTES
    if form is EndlessForm.GARBAGE:
        return b"", generator.randbytes(ENDLESS_PIECE_BYTES)
    if form is EndlessForm.HEADER_LINE:
        return b"\r\n".join([*lines, b"X-Filler: "]), filler
    if form is EndlessForm.HEADER_LINES:
        line = b"X-Filler: a\r\n"
        return b"\r\n".join([*lines, b""]), line * (ENDLESS_PIECE_BYTES // len(line))
    if form is EndlessForm.INFORMATIONAL:
        response = b"HTTP/1.1 100 Continue\r\n\r\n"
        return b"", response * (ENDLESS_PIECE_BYTES // len(response))
    if form is EndlessForm.BODY:
        return b"\r\n".join([*lines, b"Content-Length: 1000000000000", b"", b""]), filler
    if form is EndlessForm.CHUNKS:
        chunk = b"%x\r\n%b\r\n" % (len(filler), filler)
        return b"\r\n".join([*lines, b"Transfer-Encoding: chunked", b"", b""]), chunk
    return answer, filler
