"""Loopback proxies that inject network faults between processes."""

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
    """State of a link.

    ``SILENT`` delivers nothing, ``ONE_WAY`` nothing from the target, ``RESET`` resets connections.
    """

    OPEN = "open"
    SILENT = "silent"
    ONE_WAY = "one_way"
    RESET = "reset"


class _Connection:
    """Directions in which a connection is blocked for good."""

    def __init__(self) -> None:
        self.blocked_to_target = False
        self.blocked_from_target = False

    def is_blocked(self, back: bool) -> bool:
        """Return whether a direction is blocked."""
        return self.blocked_from_target if back else self.blocked_to_target


class TcpProxy:
    """Forwards connections to one target; faults may be changed at any time.

    A silent link holds back data in both directions, a one-way link data from the target; it is
    delivered once the link is open again. A resetting link ends all connections. Independently of
    the link's state, open connections may be blocked for good, while new ones work.
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
        """Current state of the link."""
        return self._state

    def set_state(self, state: LinkState) -> None:
        """Change the state of the link, for open connections too."""
        self._state = state
        self._changed.set()
        self._changed = trio.Event()

    def block_established(self, *, back_only: bool = False) -> int:
        """Block the currently open connections for good, and return their number.

        Args:
            back_only: Block only data from the target.
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
                self._forward_connection, listeners, task_status=_Started(task_status, self.address)
            )

    def close(self) -> None:
        """Close the port and end all connections, as if the target's process had ended."""
        self._scope.cancel()

    async def _forward_connection(self, client: trio.SocketStream) -> None:
        """Forward one connection until it ends."""
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
                await self._wait_forwarding(back)
                if self.delay_seconds:
                    await trio.sleep(self.delay_seconds)
                await sink.send_all(data)
            if connection.is_blocked(back):
                return
            await self._wait_forwarding(back)
            await sink.send_eof()
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            _reset(sink)
            scope.cancel()
            return
        if back:
            scope.cancel()

    async def _wait_forwarding(self, back: bool) -> None:
        """Wait until the link forwards data in a direction."""
        while self._state is LinkState.SILENT or (back and self._state is LinkState.ONE_WAY):
            await self._changed.wait()

    async def _watch_reset(
        self, client: trio.SocketStream, server: trio.SocketStream, scope: trio.CancelScope
    ) -> None:
        """Reset the connection once the link is in the state ``RESET``."""
        while self._state is not LinkState.RESET:
            await self._changed.wait()
        _reset(client)
        _reset(server)
        scope.cancel()


class _Started:
    """Reports the address as the started value once the listeners are open."""

    def __init__(self, status: trio.TaskStatus[str], address: str) -> None:
        self._status = status
        self._address = address

    def started(self, _listeners: object = None) -> None:
        """Report the address; called once the listeners are open."""
        self._status.started(self._address)


def _reset(stream: trio.SocketStream) -> None:
    """Close a connection with a reset."""
    try:
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        stream.socket.close()
    except (OSError, trio.ClosedResourceError):
        return


class UdpProxy:
    """Forwards datagrams to one target; drops, delays or blocks them."""

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

    async def run(
        self, port: int = 0, *, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Forward until cancelled; starts with the bound address."""
        incoming = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
        await incoming.bind((LOOPBACK, port))
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
        """Send a datagram to the target, after a random delay if one is set."""
        if self.delay_seconds:
            await trio.sleep(self.delay_seconds * self._generator.random())
        host, _, port = self.target.rpartition(":")
        try:
            await outgoing.sendto(data, (host, int(port)))
        except OSError:
            return
