"""Callers that send requests behind each other on connections that they keep and then half-close.

A caller sends one request, two in one segment, or one in pieces, the next round at once after the
last answer, and may close its sending side behind its last request.
"""

from __future__ import annotations

import contextlib

import h11
import msgspec
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
from emulator.soak.request_records import SentRequest

MAX_ROUNDS = 8
PAIR_SHARE = 0.4
PIECES_SHARE = 0.3
HALF_CLOSE_SHARE = 0.5
MAX_PIECES = 4
PIECE_SECONDS = (0.0, 0.1)
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


class PipeliningCallers(ConnectionCallers):
    """A number of callers with one connection each."""

    rest_seconds = (0.0, 0.2)

    async def _use(self, stream: trio.SocketStream, node: NodeLinks) -> None:
        """Send a few rounds of requests on one connection, until it is closed."""
        rounds = self._generator.randint(1, MAX_ROUNDS)
        half_closes = self._generator.random() < HALF_CLOSE_SHARE
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
                    rest = await read_response(stream, call.protocol, call.request, rest)
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
        cuts = self._generator.randint(1, MAX_PIECES - 1)
        for piece in cut(self._generator, data, cuts):
            await stream.send_all(piece)
            await trio.sleep(self._generator.uniform(*PIECE_SECONDS))


def _is_kept(protocol: h11.Connection) -> bool:
    """Return whether the response keeps the connection."""
    return protocol.their_state is h11.DONE
