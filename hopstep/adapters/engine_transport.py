"""HTTP connections to engines: one pool for each engine, and paced reads.

A pool scans all of its connections for each request, so with one pool for all engines the cost
of each request would grow with the number of open streams. Reads are delayed while the process
is busy, so that the tokens that arrive in that time are read, decoded and passed on together
(see ``hopstep.adapters.pacing``).
"""

from __future__ import annotations

import ssl
from collections.abc import Callable, Iterable
from typing import Any

import httpcore
import httpx
import trio

from hopstep.adapters.call_ids import send_with_id
from hopstep.adapters.kept_connections import make_transport

UNPACED_READS = 2
"""Reads after a request that are never delayed: the response headers and the first token."""

Pause = Callable[[], float]
"""Returns the seconds that a stream waits before a read; 0 for none."""


class PacedStream(httpcore.AsyncNetworkStream):
    """A connection that delays its reads after the first ones of a response."""

    def __init__(self, stream: httpcore.AsyncNetworkStream, pause: Pause) -> None:
        """Wrap a connection.

        Args:
            stream: The connection.
            pause: Returns the seconds to wait before a read.
        """
        self._stream = stream
        self._pause = pause
        self._reads = 0

    async def read(  # noqa: ASYNC109 - signature set by httpcore
        self,
        max_bytes: int,
        timeout: float | None = None,  # noqa: ASYNC109
    ) -> bytes:
        """Read the available bytes, after the pause."""
        self._reads += 1
        seconds = self._pause() if self._reads > UNPACED_READS else 0.0
        if seconds:
            await trio.sleep(seconds)
        return await self._stream.read(max_bytes, timeout)

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:  # noqa: ASYNC109
        """Write; the first reads after this aren't delayed."""
        self._reads = 0
        await self._stream.write(buffer, timeout)

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,  # noqa: ASYNC109
    ) -> httpcore.AsyncNetworkStream:
        """Return the connection under TLS."""
        stream = await self._stream.start_tls(ssl_context, server_hostname, timeout)
        return PacedStream(stream, self._pause)

    def get_extra_info(self, info: str) -> Any:
        """Return a property of the underlying connection."""
        return self._stream.get_extra_info(info)


class PacedBackend(httpcore.AsyncNetworkBackend):
    """Opens paced connections."""

    def __init__(self, pause: Pause) -> None:
        """Store the pause for new connections.

        Args:
            pause: Returns the seconds to wait before a read.
        """
        self._backend = httpcore.TrioBackend()
        self._pause = pause

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,  # noqa: ASYNC109
        local_address: str | None = None,
        socket_options: Iterable[httpcore.SOCKET_OPTION] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Open a connection."""
        stream = await self._backend.connect_tcp(host, port, timeout, local_address, socket_options)
        return PacedStream(stream, self._pause)


class EngineTransport(httpx.AsyncBaseTransport):
    """Sends each request over the connection pool of its engine."""

    def __init__(
        self, limits: httpx.Limits, ssl_context: ssl.SSLContext | None, pause: Pause
    ) -> None:
        """Configure the transport; connections are opened on demand.

        Args:
            limits: Limits of each pool.
            ssl_context: For HTTPS; None for plain HTTP.
            pause: Returns the seconds that a stream waits before a read.
        """
        self._limits = limits
        self._ssl_context = ssl_context
        self._backend = PacedBackend(pause)
        self._pools: dict[bytes, httpx.AsyncHTTPTransport] = {}

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        """Send one request with an id."""
        pool = self._pools.get(request.url.netloc)
        if pool is None:
            pool = self._pools[request.url.netloc] = self._make_pool()
        return await send_with_id(pool, request)

    async def aclose(self) -> None:
        """Close every connection."""
        for pool in self._pools.values():
            await pool.aclose()

    def _make_pool(self) -> httpx.AsyncHTTPTransport:
        """Return a pool over paced connections."""
        return make_transport(self._limits, self._ssl_context, self._backend)
