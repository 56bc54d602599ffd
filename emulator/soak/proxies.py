"""Loopback proxies that harm connections and datagrams from outside the processes at their ends."""

from __future__ import annotations

import enum
import random
import socket
import struct

import trio

CHUNK_BYTES = 65_536
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Value of ``SO_LINGER`` with which a close resets the connection."""

LOOPBACK = "127.0.0.1"


class LinkState(enum.StrEnum):
    """What a link does."""

    OPEN = "open"
    SILENT = "silent"
    ONE_WAY = "one_way"
    RESET = "reset"


class _Connection:
    """What a connection has stopped to pass on."""

    def __init__(self) -> None:
        self.blocked_to_target = False
        self.blocked_from_target = False

    def is_blocked(self, back: bool) -> bool:
        """Return whether a direction passes nothing more."""
        return self.blocked_from_target if back else self.blocked_to_target


class TcpProxy:
    """Forwards connections to one target; faults are fields that may change at any time.

    A silent link holds what comes in both directions, a one-way link what comes back; what was held
    is delivered late once the link passes again. A resetting link ends all connections. Apart from
    the link, connections that are open may be silenced for good, while new ones work.
    """

    def __init__(self, target: str) -> None:
        """Forward to a target.

        Args:
            target: ``ip:port``.
        """
        self.address = ""
        self.target = target
        self.delay_seconds = 0.0
        self._state = LinkState.OPEN
        self._open: set[_Connection] = set()
        self._changed = trio.Event()
        self._scope = trio.CancelScope()

    @property
    def state(self) -> LinkState:
        """What the link does now."""
        return self._state

    def set_state(self, state: LinkState) -> None:
        """Change what the link does, for open connections too."""
        self._state = state
        self._changed.set()
        self._changed = trio.Event()

    def block_established(self, *, back_only: bool = False) -> int:
        """Let the connections that are open now pass nothing more, and return how many they are.

        Args:
            back_only: Only what comes back from the target is held.
        """
        for connection in self._open:
            connection.blocked_from_target = True
            connection.blocked_to_target = connection.blocked_to_target or not back_only
        return len(self._open)

    async def run(
        self, port: int = 0, *, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Listen and forward until cancelled; starts with the bound address."""
        listeners = await trio.open_tcp_listeners(port, host=LOOPBACK)
        self.address = f"{LOOPBACK}:{listeners[0].socket.getsockname()[1]}"
        with self._scope:
            await trio.serve_listeners(
                self._carry, listeners, task_status=_Started(task_status, self.address)
            )

    def close(self) -> None:
        """Close the port and end all connections, as at the end of the process behind it."""
        self._scope.cancel()

    async def _carry(self, client: trio.SocketStream) -> None:
        """Carry one connection."""
        host, _, port = self.target.rpartition(":")
        try:
            if self._state is LinkState.RESET:
                raise trio.BrokenResourceError
            server = await trio.open_tcp_stream(host, int(port))
        except (OSError, trio.BrokenResourceError):
            _reset(client)
            return
        connection = _Connection()
        self._open.add(connection)
        try:
            async with client, server, trio.open_nursery() as nursery:
                scope = nursery.cancel_scope
                nursery.start_soon(self._pump, client, server, connection, False, scope)
                nursery.start_soon(self._pump, server, client, connection, True, scope)
                nursery.start_soon(self._watch_reset, client, server, scope)
        finally:
            self._open.discard(connection)

    async def _pump(
        self,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        connection: _Connection,
        back: bool,
        scope: trio.CancelScope,
    ) -> None:
        """Forward one direction; a broken end resets the other one."""
        try:
            async for data in source:
                if connection.is_blocked(back):
                    continue
                await self._wait_open(back)
                if self.delay_seconds:
                    await trio.sleep(self.delay_seconds)
                await sink.send_all(data)
            if connection.is_blocked(back):
                return
            await self._wait_open(back)
            await sink.send_eof()
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            _reset(sink)
            scope.cancel()
            return
        if back:
            scope.cancel()

    async def _wait_open(self, back: bool) -> None:
        """Wait until the link passes bytes in a direction."""
        while self._state is LinkState.SILENT or (back and self._state is LinkState.ONE_WAY):
            await self._changed.wait()

    async def _watch_reset(
        self, client: trio.SocketStream, server: trio.SocketStream, scope: trio.CancelScope
    ) -> None:
        """End the connection once the link resets."""
        while self._state is not LinkState.RESET:
            await self._changed.wait()
        _reset(client)
        _reset(server)
        scope.cancel()


class _Started:
    """Passes the address on when the listeners are open."""

    def __init__(self, status: trio.TaskStatus[str], address: str) -> None:
        self._status = status
        self._address = address

    def started(self, _listeners: object = None) -> None:
        """Note that the listeners are open."""
        self._status.started(self._address)


def _reset(stream: trio.SocketStream) -> None:
    """Close a connection with a reset."""
    try:
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        stream.socket.close()
    except (OSError, trio.ClosedResourceError):
        return


class UdpProxy:
    """Forwards datagrams to one target; loses, delays and cuts them."""

    def __init__(self, target: str, generator: random.Random) -> None:
        """Forward to a target.

        Args:
            target: ``ip:port``.
            generator: Draws losses and delays.
        """
        self.address = ""
        self.target = target
        self.loss = 0.0
        self.delay_seconds = 0.0
        self.cut = False
        self._generator = generator

    async def run(self, *, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED) -> None:
        """Forward until cancelled; starts with the bound address."""
        incoming = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
        await incoming.bind((LOOPBACK, 0))
        self.address = f"{LOOPBACK}:{incoming.getsockname()[1]}"
        with incoming:
            task_status.started(self.address)
            async with trio.open_nursery() as nursery:
                while True:
                    data, _ = await incoming.recvfrom(CHUNK_BYTES)
                    if self.cut or self._generator.random() < self.loss:
                        continue
                    nursery.start_soon(self._forward, incoming, data)

    async def _forward(self, outgoing: trio.socket.SocketType, data: bytes) -> None:
        """Deliver a datagram, late if so ordered."""
        if self.delay_seconds:
            await trio.sleep(self.delay_seconds * self._generator.random())
        host, _, port = self.target.rpartition(":")
        try:
            await outgoing.sendto(data, (host, int(port)))
        except OSError:
            return
