"""Callers that send requests behind each other on connections that they keep and then half-close.

A caller sends one request, two in one segment, or one in pieces, the next round at once after the
last answer, and may close its sending side behind its last request.
"""

from __future__ import annotations

import contextlib
from collections.abc import Iterator

import h11
import msgspec
import trio

from emulator.soak.caller_group import CallerGroup
from emulator.soak.callers import (
    KINDS,
    LATEST_ANSWER_SECONDS,
    PATIENCE_SECONDS,
    body_of,
    draw_request,
    headers_of,
    path_of,
)
from emulator.soak.links import NodeLinks
from emulator.soak.request_records import SentRequest

REST_SECONDS = (0.0, 0.2)
"""Time between two connections of a caller, shortest and longest."""

MAX_ROUNDS = 8
PAIR_SHARE = 0.4
PIECES_SHARE = 0.3
HALF_CLOSE_SHARE = 0.5
MAX_PIECES = 4
PIECE_SECONDS = (0.0, 0.1)
READ_BYTES = 65_536
CONNECT_SECONDS = 1.0
BROKEN = (trio.BrokenResourceError, trio.ClosedResourceError, h11.ProtocolError)


class Call(msgspec.Struct):
    """A request on a connection, with what reads its response.

    Attributes:
        request: The request.
        protocol: State of the connection for this request alone.
        data: Bytes of the request.
    """

    request: SentRequest
    protocol: h11.Connection
    data: bytes


class PipeliningCallers(CallerGroup):
    """A number of callers with one connection each."""

    async def _keep_calling(self) -> None:
        """Open a new connection whenever the last one has ended."""
        while True:
            nodes = self._readiness.usable(self._deployment.nodes)
            with contextlib.suppress(OSError, trio.TooSlowError):
                await self._use(self._generator.choice(nodes))
            await trio.sleep(self._generator.uniform(*REST_SECONDS))

    async def _use(self, node: NodeLinks) -> None:
        """Send a few rounds of requests on one connection, until it is closed."""
        host, _, port = node.clients.address.rpartition(":")
        with trio.fail_after(CONNECT_SECONDS):
            stream = await trio.open_tcp_stream(host, int(port))
        rounds = self._generator.randint(1, MAX_ROUNDS)
        half_closes = self._generator.random() < HALF_CLOSE_SHARE
        async with stream:
            for number in range(rounds):
                is_last = half_closes and number == rounds - 1
                if not await self._send_round(stream, node, is_last):
                    return

    async def _send_round(
        self, stream: trio.SocketStream, node: NodeLinks, half_closes: bool
    ) -> bool:
        """Send one or two requests, and read their responses.

        Returns:
            Whether the connection may carry another round.
        """
        count = 2 if self._generator.random() < PAIR_SHARE else 1
        calls = [self._draw(node) for _ in range(count)]
        with contextlib.suppress(*BROKEN):
            await self._send(stream, b"".join(call.data for call in calls))
            if half_closes:
                await stream.send_eof()
        rest = b""
        for number, call in enumerate(calls):
            with trio.move_on_after(PATIENCE_SECONDS + LATEST_ANSWER_SECONDS):
                with contextlib.suppress(*BROKEN):
                    rest = await _read(stream, call, rest)
            now = trio.current_time()
            call.request.ended_at = now
            if not call.request.whole or not _is_kept(call.protocol):
                for later in calls[number + 1 :]:
                    later.request.ended_at = now
                    later.request.behind_last = call.request.whole
                return False
        return not half_closes

    def _draw(self, node: NodeLinks) -> Call:
        """Return a new random request."""
        kind = self._generator.choice(KINDS)
        request = draw_request(self._deployment, self._generator, kind, node)
        body = body_of(request)
        protocol = h11.Connection(h11.CLIENT)
        headers = [*headers_of(request).items(), ("Content-Length", str(len(body)))]
        head = h11.Request(method="POST", target=path_of(request), headers=headers)
        data = protocol.send(head) or b""
        data += protocol.send(h11.Data(data=body)) or b""
        data += protocol.send(h11.EndOfMessage()) or b""
        return Call(request, protocol, data)

    async def _send(self, stream: trio.SocketStream, data: bytes) -> None:
        """Send bytes in one segment, or in a few pieces with pauses."""
        if self._generator.random() >= PIECES_SHARE:
            await stream.send_all(data)
            return
        for piece in self._cut(data):
            await stream.send_all(piece)
            await trio.sleep(self._generator.uniform(*PIECE_SECONDS))

    def _cut(self, data: bytes) -> Iterator[bytes]:
        """Yield a few pieces of some bytes."""
        cuts = self._generator.randint(1, MAX_PIECES - 1)
        places = sorted(self._generator.randrange(len(data)) for _ in range(cuts))
        for start, end in zip((0, *places), (*places, len(data)), strict=True):
            if start < end:
                yield data[start:end]


async def _read(stream: trio.SocketStream, call: Call, data: bytes) -> bytes:
    """Read a response until its end or that of the connection; return the bytes behind it.

    Args:
        stream: The caller's connection.
        call: The request.
        data: Bytes that were read behind the response before.
    """
    request, protocol = call.request, call.protocol
    if data:
        protocol.receive_data(data)
    while True:
        event = protocol.next_event()
        if event is h11.NEED_DATA:
            protocol.receive_data(await stream.receive_some(READ_BYTES))
        elif isinstance(event, h11.Response):
            found = {name.lower(): value for name, value in event.headers}
            request.head_at = trio.current_time()
            request.status = event.status_code
            request.stamp = found.get(b"response-stamp", b"").decode()
        elif isinstance(event, h11.Data):
            request.body += event.data
        elif isinstance(event, h11.EndOfMessage):
            request.whole = True
            return protocol.trailing_data[0]
        elif isinstance(event, h11.ConnectionClosed):
            return b""


def _is_kept(protocol: h11.Connection) -> bool:
    """Return whether the response keeps the connection."""
    return protocol.their_state is h11.DONE
