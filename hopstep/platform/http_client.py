"""HTTP calls by ``httpcore``: a connection pool per address, and whether a request was sent."""

from __future__ import annotations

import contextlib
from collections import Counter
from collections.abc import AsyncIterator, Callable, Iterable
from typing import Any

import httpcore
import msgspec
import trio

from hopstep.ports.instance_calls import SendProof

SENDING_EVENT = "http11.send_request_headers.started"
"""Trace event of ``httpcore`` right before the first byte of a request is written."""

IDLE_SECONDS = 4.0
"""Seconds after which an idle connection isn't used again."""

MAX_CONNECTIONS = 512
"""Connections to one address."""

SHORT_READ_BYTES = 16 * 1024
"""Bytes in one read where memory is bounded: the library and the server hold a few copies of what
was read until a client has taken it."""


class HttpCall(msgspec.Struct, frozen=True):
    """One call.

    Attributes:
        address: ``ip:port``.
        method: HTTP method.
        target: Raw path and query.
        headers: All headers but the framing of the body.
        body: Complete body.
        connect_seconds: Longest wait for a connection.
        read_seconds: Longest wait for each read of the response; None for no limit.
    """

    address: str
    method: bytes
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    connect_seconds: float = 0.5
    read_seconds: float | None = None


class SendWithdrawnError(Exception):
    """A call was withdrawn before its connection was ready, and wasn't sent."""


class SendTrace:
    """Trace callback of ``httpcore`` for one call: records when its request is sent."""

    def __init__(
        self, proof: SendProof | None = None, may_send: Callable[[], bool] = lambda: True
    ) -> None:
        """Start with nothing sent.

        Args:
            proof: Marked as sent when the first byte may be written; a new one if None.
            may_send: Called right before that; False withdraws the call.
        """
        self.proof = proof or SendProof()
        self._may_send = may_send

    async def __call__(self, event: str, _details: dict[str, Any]) -> None:
        """Process one trace event.

        Raises:
            SendWithdrawnError: When ``may_send`` returns False.
        """
        if event != SENDING_EVENT:
            return
        if not self._may_send():
            raise SendWithdrawnError
        self.proof.sent = True


class ShortReadStream(httpcore.AsyncNetworkStream):
    """A connection that reads at most ``SHORT_READ_BYTES`` at once."""

    def __init__(self, stream: httpcore.AsyncNetworkStream) -> None:
        """Read from a stream.

        Args:
            stream: The library's stream.
        """
        self._stream = stream

    async def read(
        self,
        max_bytes: int,
        timeout: float | None = None,  # noqa: ASYNC109 - the library's signature
    ) -> bytes:
        """Read what has arrived, up to the limit."""
        return await self._stream.read(min(max_bytes, SHORT_READ_BYTES), timeout)

    async def write(
        self,
        buffer: bytes,
        timeout: float | None = None,  # noqa: ASYNC109 - the library's signature
    ) -> None:
        """Write all bytes."""
        await self._stream.write(buffer, timeout)

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()

    def get_extra_info(self, info: str) -> Any:
        """Return what the library asks about the connection."""
        return self._stream.get_extra_info(info)


class ShortReadBackend(httpcore.AsyncNetworkBackend):
    """Opens connections that read little at once."""

    def __init__(self) -> None:
        """Open connections by the library's own backend."""
        self._backend = httpcore.TrioBackend()

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,  # noqa: ASYNC109 - the library's signature
        local_address: str | None = None,
        socket_options: Iterable[httpcore.SOCKET_OPTION] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Open a connection."""
        stream = await self._backend.connect_tcp(host, port, timeout, local_address, socket_options)
        return ShortReadStream(stream)

    async def sleep(self, seconds: float) -> None:
        """Wait before another try to connect."""
        await self._backend.sleep(seconds)


class HttpClient:
    """Connection pools, one for each address."""

    def __init__(self, *, short_reads: bool = False) -> None:
        """Start without any connection.

        Args:
            short_reads: Whether to read at most ``SHORT_READ_BYTES`` at once.
        """
        self._backend = ShortReadBackend() if short_reads else None
        self._pools: dict[str, httpcore.AsyncConnectionPool] = {}
        self._active: Counter[str] = Counter()
        self._used_at: dict[str, float] = {}

    @contextlib.asynccontextmanager
    async def open(self, call: HttpCall, trace: SendTrace) -> AsyncIterator[httpcore.Response]:
        """Send a call and yield its response; an early exit closes the connection."""
        host, _, port = call.address.rpartition(":")
        url = httpcore.URL(scheme=b"http", host=host.encode(), port=int(port), target=call.target)
        headers = list(call.headers)
        if call.body or call.method not in (b"GET", b"HEAD", b"DELETE"):
            headers.append((b"content-length", str(len(call.body)).encode()))
        timeout = {"connect": call.connect_seconds, "read": call.read_seconds}
        request = httpcore.Request(
            call.method,
            url,
            headers=headers,
            content=call.body,
            extensions={"timeout": timeout, "trace": trace},
        )
        await self._drop_if_unused(call.address)
        self._active[call.address] += 1
        try:
            response = await self._pool(call.address).handle_async_request(request)
            try:
                yield response
            finally:
                await response.aclose()
        finally:
            self._active[call.address] -= 1

    async def _drop_if_unused(self, address: str) -> None:
        """Close connections that have been idle for longer than ``IDLE_SECONDS``.

        The library measures that by a clock that stops while the machine is suspended.
        """
        now = trio.current_time()
        if now - self._used_at.get(address, now) > IDLE_SECONDS:
            await self.drop_idle(address)
        self._used_at[address] = now

    async def accepts_connections(self, address: str, seconds: float) -> bool | None:
        """Return whether an address accepts a new connection; None when that stays unknown.

        Args:
            address: ``ip:port``.
            seconds: Longest wait.
        """
        host, _, port = address.rpartition(":")
        with trio.move_on_after(seconds), trio.socket.socket() as socket:
            try:
                await socket.connect((host, int(port)))
            except ConnectionRefusedError:
                return False
            except OSError:
                return None
            return True
        return None

    def idle_addresses(self) -> set[str]:
        """Return the addresses whose pool has no call in progress."""
        return {address for address in self._pools if not self._active[address]}

    async def drop_idle(self, address: str) -> None:
        """Close the idle connections of an address; calls on busy ones continue."""
        pool = self._pools.get(address)
        for connection in pool.connections if pool is not None else ():
            if connection.is_idle():
                await connection.aclose()

    async def forget(self, address: str) -> None:
        """Close the pool of an address; its calls in progress fail."""
        self._active.pop(address, None)
        self._used_at.pop(address, None)
        pool = self._pools.pop(address, None)
        if pool is not None:
            await pool.aclose()

    async def aclose(self) -> None:
        """Close all pools."""
        for address in list(self._pools):
            await self.forget(address)

    def _pool(self, address: str) -> httpcore.AsyncConnectionPool:
        """Return the pool of an address."""
        pool = self._pools.get(address)
        if pool is None:
            pool = self._pools[address] = httpcore.AsyncConnectionPool(
                max_connections=MAX_CONNECTIONS,
                max_keepalive_connections=MAX_CONNECTIONS,
                keepalive_expiry=IDLE_SECONDS,
                network_backend=self._backend,
            )
        return pool
