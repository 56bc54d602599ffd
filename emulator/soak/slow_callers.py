"""Callers that send heads and bodies in pieces, on connections that they keep.

The connection rests between two requests, and is used again at any moment of its node's stop.
"""

from __future__ import annotations

import contextlib
from collections.abc import Iterator

import h11
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
from emulator.soak.request_records import RequestKind, SentRequest

REST_SECONDS = (0.0, 2.5)
"""Time between the end of a response and the caller's next request, shortest and longest."""

UPLOAD_SECONDS = (0.1, 0.2, 0.4, 0.7, 2.0)
DEADLINE_SECONDS = (1.0, 1.5, PATIENCE_SECONDS)
"""Deadlines, counted from the sending; short ones end within the drain of a stopping node."""

PADDINGS = (0, 1_500, 6_000, 6_000, 30_000)
LARGE_PADDING = 5_000_000
"""Padding of a body over the nodes' default limit."""

LARGE_SHARE = 0.04
SLOW_KINDS = (*KINDS, RequestKind.UNSAFE, RequestKind.UNSAFE, RequestKind.SAFE)
WORK_MS = (20, 300, 500)
MAX_PIECES = 5
CHUNKED_SHARE = 0.3
READ_BYTES = 65_536
CONNECT_SECONDS = 1.0


class SlowCallers(CallerGroup):
    """A number of callers with one connection each."""

    async def _keep_calling(self) -> None:
        """Open a new connection whenever the last one has ended."""
        while True:
            nodes = self._readiness.usable(self._deployment.nodes)
            with contextlib.suppress(OSError, trio.TooSlowError):
                await self._use(self._generator.choice(nodes))
            await trio.sleep(self._generator.uniform(*REST_SECONDS))

    async def _use(self, node: NodeLinks) -> None:
        """Send requests sequentially on one connection until it is closed."""
        host, _, port = node.clients.address.rpartition(":")
        with trio.fail_after(CONNECT_SECONDS):
            stream = await trio.open_tcp_stream(host, int(port))
        protocol = h11.Connection(h11.CLIENT)
        async with stream:
            while True:
                request = self._draw(node)
                with trio.move_on_after(PATIENCE_SECONDS + LATEST_ANSWER_SECONDS):
                    await self._send(stream, protocol, request)
                request.ended_at = trio.current_time()
                if not _is_reusable(protocol):
                    return
                protocol.start_next_cycle()
                await trio.sleep(self._generator.uniform(*REST_SECONDS))

    def _draw(self, node: NodeLinks) -> SentRequest:
        """Return a new random request."""
        generator = self._generator
        request = draw_request(self._deployment, generator, generator.choice(SLOW_KINDS), node)
        request.sent_slowly = True
        request.deadline_at = request.sent_at + generator.choice(DEADLINE_SECONDS)
        request.work_ms = generator.choice(WORK_MS)
        is_large = generator.random() < LARGE_SHARE
        request.padding = LARGE_PADDING if is_large else generator.choice(PADDINGS)
        return request

    async def _send(
        self, stream: trio.SocketStream, protocol: h11.Connection, request: SentRequest
    ) -> None:
        """Send a request in pieces, and read as much of the response as arrives."""
        seconds = self._generator.uniform(0.0, self._generator.choice(UPLOAD_SECONDS))
        pieces = list(self._pieces(protocol, request))
        try:
            for number, piece in enumerate(pieces):
                if number:
                    await trio.sleep(seconds / (len(pieces) - 1))
                await stream.send_all(piece)
            request.complete_at = trio.current_time()
            await self._read(stream, protocol, request)
        except (trio.BrokenResourceError, trio.ClosedResourceError, h11.ProtocolError):
            return

    def _pieces(self, protocol: h11.Connection, request: SentRequest) -> Iterator[bytes]:
        """Yield the bytes of a request, cut at random places of its head and body."""
        body = body_of(request)
        is_chunked = self._generator.random() < CHUNKED_SHARE
        length = (
            ("Transfer-Encoding", "chunked") if is_chunked else ("Content-Length", str(len(body)))
        )
        head = h11.Request(
            method="POST", target=path_of(request), headers=[*headers_of(request).items(), length]
        )
        data = protocol.send(head) or b""
        for part in self._cut(body):
            data += protocol.send(h11.Data(data=part)) or b""
        data += protocol.send(h11.EndOfMessage()) or b""
        yield from self._cut(data)

    def _cut(self, data: bytes) -> Iterator[bytes]:
        """Yield a few pieces of some bytes."""
        cuts = self._generator.randint(0, MAX_PIECES - 1)
        places = sorted(self._generator.randrange(len(data)) for _ in range(cuts))
        for start, end in zip((0, *places), (*places, len(data)), strict=True):
            if start < end:
                yield data[start:end]

    async def _read(
        self, stream: trio.SocketStream, protocol: h11.Connection, request: SentRequest
    ) -> None:
        """Read a response until its end or that of the connection."""
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
                return
            elif isinstance(event, h11.ConnectionClosed):
                return


def _is_reusable(protocol: h11.Connection) -> bool:
    """Return whether both ends have sent all of their last messages, and keep the connection."""
    return protocol.our_state is h11.DONE and protocol.their_state is h11.DONE
