"""Callers that send heads and bodies in pieces, on connections that they keep.

The connection rests between two requests, and is used again at any moment of its node's stop.
"""

from __future__ import annotations

from collections.abc import Iterator

import h11
import trio

from emulator.soak.callers import (
    KINDS,
    LATEST_ANSWER_SECONDS,
    PATIENCE_SECONDS,
    body_of,
    draw_request,
    headers_of,
    path_of,
)
from emulator.soak.connection_callers import ConnectionCallers, cut, read_response
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


class SlowCallers(ConnectionCallers):
    """A number of callers with one connection each."""

    rest_seconds = REST_SECONDS

    async def _use(self, stream: trio.SocketStream, node: NodeLinks) -> None:
        """Send requests sequentially on one connection until it is closed."""
        protocol = h11.Connection(h11.CLIENT)
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
            await read_response(stream, protocol, request)
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
        return cut(self._generator, data, self._generator.randint(0, MAX_PIECES - 1))


def _is_reusable(protocol: h11.Connection) -> bool:
    """Return whether both ends have sent all of their last messages, and keep the connection."""
    return protocol.our_state is h11.DONE and protocol.their_state is h11.DONE
