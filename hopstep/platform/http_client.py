"""HTTP calls over kept connections: a pool of ``httpcore`` for each address and way to it."""

from __future__ import annotations

import contextlib
from collections import Counter
from collections.abc import AsyncIterator

import httpcore
import trio

from hopstep.domain.connection_reuse import SingleUseAddresses
from hopstep.platform.http_call import HttpCall, PoolName, SendTrace, TunnelRoute
from hopstep.platform.http_connection import (
    CALL_EXTENSION,
    ConnectionOptions,
    HttpConnection,
    PendingCall,
)
from hopstep.platform.tunnel_backend import TunnelBackend
from hopstep.ports.surplus_answers import SurplusBytes, SurplusListener, ignore_surplus
from hopstep.ports.tunnels import TunnelOpener

IDLE_SECONDS = 4.0
"""Seconds after which an idle connection isn't used again."""

MAX_CONNECTIONS = 512
"""Connections to one address."""

READ_BYTES = 64 * 1024
"""Bytes in one read."""

SHORT_READ_BYTES = 16 * 1024
"""Bytes in one read where memory is bounded: the library and the server hold a few copies of what
was read until a client has taken it."""


class HttpPool(httpcore.AsyncConnectionPool):
    """A pool of kept connections to one address."""

    def __init__(self, backend: httpcore.AsyncNetworkBackend, options: ConnectionOptions) -> None:
        """Create a pool without any connection.

        Args:
            backend: Opens its connections.
            options: What all of them have in common.
        """
        super().__init__(max_connections=MAX_CONNECTIONS, max_keepalive_connections=MAX_CONNECTIONS)
        self._backend = backend
        self._options = options

    def create_connection(self, origin: httpcore.Origin) -> httpcore.AsyncConnectionInterface:
        """Return a new connection, which its first call opens."""
        return HttpConnection(origin, self._backend, self._options)


class HttpClient:
    """Connection pools, one for each address and way to it."""

    def __init__(
        self,
        *,
        short_reads: bool = False,
        tunnels: TunnelOpener | None = None,
        on_surplus: SurplusListener = ignore_surplus,
    ) -> None:
        """Start without any connection.

        Args:
            short_reads: Whether to read at most ``SHORT_READ_BYTES`` at once.
            tunnels: Opens the tunnels of calls that have a route; None when no call has one.
            on_surplus: Called with bytes that belong to no call in progress.
        """
        self._options = ConnectionOptions(
            idle_seconds=IDLE_SECONDS,
            read_bytes=SHORT_READ_BYTES if short_reads else READ_BYTES,
            on_surplus=self.note_surplus,
            is_single_use=self._is_single_use,
        )
        self._on_surplus = on_surplus
        self._single_use = SingleUseAddresses()
        self._tunnels = tunnels
        self._pools: dict[PoolName, HttpPool] = {}
        self._active: Counter[PoolName] = Counter()
        self._used_at: dict[PoolName, float] = {}

    @contextlib.asynccontextmanager
    async def open(self, call: HttpCall, trace: SendTrace) -> AsyncIterator[httpcore.Response]:
        """Send a call and yield its response; an early exit closes the connection.

        Raises:
            TunnelError: When the call's route doesn't lead to its address.
        """
        host, _, port = call.address.rpartition(":")
        url = httpcore.URL(scheme=b"http", host=host.encode(), port=int(port), target=call.target)
        headers = list(call.headers)
        if call.body or call.method not in (b"GET", b"HEAD", b"DELETE"):
            headers.append((b"content-length", str(len(call.body)).encode()))
        request = httpcore.Request(
            call.method,
            url,
            headers=headers,
            extensions={CALL_EXTENSION: PendingCall(call, trace)},
        )
        name = call.pool_name
        await self._drop_if_unused(name)
        pool = self._pool(name)
        self._active[name] += 1
        try:
            response = await pool.handle_async_request(request)
            try:
                yield response
            finally:
                await response.aclose()
        finally:
            if self._pools.get(name) is pool:
                self._active[name] -= 1
                self._used_at[name] = trio.current_time()

    def note_surplus(self, found: SurplusBytes) -> None:
        """Note bytes that belong to no call in progress: the address gets new connections."""
        self._single_use.note_surplus(found.address, trio.current_time())
        self._on_surplus(found)

    def _is_single_use(self, address: str) -> bool:
        """Return whether connections to an address may carry one call only now."""
        return self._single_use.includes(address, trio.current_time())

    async def _drop_if_unused(self, name: PoolName) -> None:
        """Close the connections of a pool that was idle for longer than ``IDLE_SECONDS``."""
        now = trio.current_time()
        if now - self._used_at.get(name, now) > IDLE_SECONDS:
            await self._drop_idle_of(name)
        self._used_at[name] = now

    async def accepts_connections(self, address: str, seconds: float) -> bool | None:
        """Return whether an address accepts a new connection; None when that stays unknown.

        Args:
            address: ``ip:port``.
            seconds: Longest wait.
        """
        host, _, port = address.rpartition(":")
        with trio.move_on_after(seconds):
            try:
                with trio.socket.socket() as socket:
                    await socket.connect((host, int(port)))
            except ConnectionRefusedError:
                return False
            except OSError:
                return None
            return True
        return None

    async def try_tunnel(self, route: TunnelRoute) -> None:
        """Open a tunnel and close it again.

        Raises:
            TunnelError: When none came about.
        """
        if self._tunnels is not None:
            tunnel = await self._tunnels.open(route.gateway, route.target)
            await tunnel.aclose()

    def idle_addresses(self) -> set[str]:
        """Return the addresses whose pools have no call in progress."""
        active = {name.address for name in self._pools if self._active[name]}
        return {name.address for name in self._pools} - active

    async def drop_idle(self, address: str) -> None:
        """Close the idle connections of an address; calls on busy ones continue."""
        for name in self._pools_of(address):
            await self._drop_idle_of(name)

    async def drop_unused_tunnels(self) -> None:
        """Close the pools of tunnels that no call has used for ``IDLE_SECONDS``."""
        oldest = trio.current_time() - IDLE_SECONDS
        for name in list(self._pools):
            is_unused = not self._active[name] and self._used_at.get(name, 0.0) < oldest
            if name.route is not None and is_unused:
                await self._forget_pool(name)

    async def forget(self, address: str) -> None:
        """Close the pools of an address; its calls in progress fail."""
        for name in self._pools_of(address):
            await self._forget_pool(name)

    async def aclose(self) -> None:
        """Close all pools."""
        for name in list(self._pools):
            await self._forget_pool(name)

    async def _drop_idle_of(self, name: PoolName) -> None:
        """Close the idle connections of a pool."""
        pool = self._pools.get(name)
        for connection in pool.connections if pool is not None else ():
            if connection.is_idle():
                await connection.aclose()

    async def _forget_pool(self, name: PoolName) -> None:
        """Close a pool; its calls in progress fail."""
        self._active.pop(name, None)
        self._used_at.pop(name, None)
        pool = self._pools.pop(name, None)
        if pool is not None:
            await pool.aclose()

    def _pools_of(self, address: str) -> list[PoolName]:
        """Return the names of the pools of an address."""
        return [name for name in self._pools if name.address == address]

    def _pool(self, name: PoolName) -> HttpPool:
        """Return a pool by its name."""
        pool = self._pools.get(name)
        if pool is None:
            pool = self._pools[name] = HttpPool(self._backend_of(name.route), self._options)
        return pool

    def _backend_of(self, route: TunnelRoute | None) -> httpcore.AsyncNetworkBackend:
        """Return what opens the connections of a pool."""
        if route is None or self._tunnels is None:
            return httpcore.TrioBackend()
        return TunnelBackend(self._tunnels, route.gateway, route.target)
