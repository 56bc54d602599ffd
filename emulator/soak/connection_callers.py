"""Callers with one connection each, on which they write and read HTTP/1.1 themselves."""

from __future__ import annotations

import abc
import contextlib
import random
from collections.abc import Iterator

import h11
import trio

from emulator.soak.caller_group import CallerGroup
from emulator.soak.links import NodeLinks
from emulator.soak.request_records import SentRequest

READ_BYTES = 65_536
CONNECT_SECONDS = 1.0


class ConnectionCallers(CallerGroup):
    """A number of callers that open a new connection whenever their last one has ended."""

    rest_seconds: tuple[float, float]
    """Time between two connections of a caller, shortest and longest."""

    async def _keep_calling(self) -> None:
        """Open one connection after the other, until cancelled."""
        while True:
            nodes = self._readiness.usable(self._deployment.nodes)
            with contextlib.suppress(OSError, trio.TooSlowError):
                await self._connect_and_use(self._generator.choice(nodes))
            await trio.sleep(self._generator.uniform(*self.rest_seconds))

    async def _connect_and_use(self, node: NodeLinks) -> None:
        """Open a connection to a node, and close it after its use."""
        host, _, port = node.clients.address.rpartition(":")
        with trio.fail_after(CONNECT_SECONDS):
            stream = await trio.open_tcp_stream(host, int(port))
        async with stream:
            await self._use(stream, node)

    @abc.abstractmethod
    async def _use(self, stream: trio.SocketStream, node: NodeLinks) -> None:
        """Send requests on a connection until it is closed, or has carried enough."""


def cut(generator: random.Random, data: bytes, cuts: int) -> Iterator[bytes]:
    """Yield some bytes in pieces, none of which is empty.

    Args:
        generator: Draws the places.
        data: The bytes.
        cuts: Most places at which they are cut.
    """
    places = sorted(generator.randrange(len(data)) for _ in range(cuts))
    for start, end in zip((0, *places), (*places, len(data)), strict=True):
        if start < end:
            yield data[start:end]


async def read_response(
    stream: trio.SocketStream, protocol: h11.Connection, request: SentRequest, data: bytes = b""
) -> bytes:
    """Read a response until its end or that of the connection; return the bytes behind it.

    Args:
        stream: The caller's connection.
        protocol: State of the connection.
        request: The request; what arrives is recorded in it.
        data: Bytes that were read before.
    """
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
