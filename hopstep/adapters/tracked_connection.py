"""Connections of clients that note when bytes move, and how they end."""

from __future__ import annotations

import contextlib
import select
import socket
import struct
from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager
from typing import cast

import trio
from hypercorn.typing import LifespanState

from hopstep.adapters.http_server import OpenConnection, ServerStream
from hopstep.log_events.http_api import CONNECTION_CLOSED_UNREAD
from hopstep.logs import emit
from hopstep.ports.exchange_front import CONNECTION_STATE, ClientConnection, ConnectionEnd

CountActive = Callable[[], AbstractContextManager[None]]

WRITE_BYTES = 16 * 1024
"""Bytes in one write: the kernel reports space for a client in steps of about this size."""

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Value of ``SO_LINGER`` by which closing drops unsent bytes, instead of keeping them for a client
that doesn't read."""


class TrackedConnection(ClientConnection):
    """A connection of the server that notes when bytes move, and counts heads while they arrive.

    It has those methods of a stream that the server uses; the server writes without a limit of
    time, and nothing but closing the socket ends such a write.
    """

    def __init__(self, stream: trio.SocketStream, count_active: CountActive) -> None:
        """Use a connection's stream.

        Args:
            stream: Plain stream of the connection.
            count_active: Opens a context in which a part of a request counts as active.
        """
        self.socket = stream.socket
        self.client = _client_address(stream)
        self.last_progress_at = trio.current_time()
        self.is_writing = False
        self.request_began_at = self.last_progress_at
        self.end = ConnectionEnd.OPEN
        self._stream = stream
        self._count_active = count_active
        self._counted_head = contextlib.ExitStack()
        self._is_reading_head = False
        self._is_serving = False

    def begin_request(self) -> None:
        """Note that a head was read; its request counts by itself from now on."""
        if not self._is_reading_head:
            # It came with the request before.
            self.request_began_at = trio.current_time()
        self._is_serving = True
        self.end_head()

    def end_request(self) -> None:
        """Note that the response ends: what arrives from now on is the head of another request."""
        self._is_serving = False

    def end_head(self) -> None:
        """Count no head any more: it was read, or the connection has ended."""
        self._is_reading_head = False
        self._counted_head.close()

    async def receive_some(self, max_bytes: int) -> bytes | bytearray:
        """Read bytes of the client; the first ones of a request begin its head."""
        try:
            data = await self._stream.receive_some(max_bytes)
        except trio.BrokenResourceError:
            self._note_end(ConnectionEnd.RESET)
            raise
        self.last_progress_at = trio.current_time()
        if not data:
            self._note_end(ConnectionEnd.CLIENT)
        if data and not self._is_serving and not self._is_reading_head:
            self._is_reading_head = True
            self.request_began_at = self.last_progress_at
            self._counted_head.enter_context(self._count_active())
        return data

    async def send_all(self, data: bytes) -> None:
        """Write bytes to the client."""
        self.is_writing = True
        self.last_progress_at = trio.current_time()
        try:
            with memoryview(data) as view:
                for start in range(0, len(view), WRITE_BYTES):
                    await self._stream.send_all(view[start : start + WRITE_BYTES])
                    self.last_progress_at = trio.current_time()
        except trio.BrokenResourceError:
            self._note_end(ConnectionEnd.RESET)
            raise
        finally:
            self.is_writing = False

    async def send_eof(self) -> None:
        """End the connection's outgoing direction."""
        await self._stream.send_eof()

    async def aclose(self) -> None:
        """Close the connection; the server may go on with its task for some time."""
        self._note_end(ConnectionEnd.NODE)
        self.end_head()
        await self._stream.aclose()

    def has_client_closed(self) -> bool:
        """Return whether the client has closed its sending side at least; see the port."""
        if self.end is not ConnectionEnd.OPEN or self.socket.fileno() < 0:
            return True
        poll = select.poll()
        poll.register(self.socket.fileno(), select.POLLRDHUP)
        return bool(poll.poll(0))

    def disconnect(self) -> None:
        """Reset the connection, unless it is closed already; see the port."""
        if self.socket.fileno() < 0:
            return
        self._note_end(ConnectionEnd.NODE)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.socket.close()

    def _note_end(self, end: ConnectionEnd) -> None:
        """Note who ended the connection, the first time; log a head that isn't read any more."""
        if self.end is not ConnectionEnd.OPEN:
            return
        self.end = end
        if self._is_reading_head:
            waited = trio.current_time() - self.request_began_at
            emit(
                CONNECTION_CLOSED_UNREAD,
                client=self.client,
                closed_by=end.value,
                waiting_seconds=round(waited, 3),
            )


def _client_address(stream: trio.SocketStream) -> str:
    """Return the client's ``ip:port``; empty when it has disconnected already."""
    try:
        address, port = stream.socket.getpeername()[:2]
    except OSError:
        return ""
    return f"{address}:{port}"


def track_connections(count_active: CountActive) -> OpenConnection:
    """Return what serves each connection by a ``TrackedConnection``, which its requests find.

    Args:
        count_active: Opens a context in which a part of a request counts as active.
    """

    @contextlib.contextmanager
    def open_connection(stream: ServerStream, state: LifespanState) -> Iterator[ServerStream]:
        connection = TrackedConnection(cast(trio.SocketStream, stream), count_active)
        state[CONNECTION_STATE] = connection
        try:
            yield cast(trio.SocketStream, connection)
        finally:
            connection.end_head()

    return open_connection
