"""Connections of clients that note when bytes move, and how they end.

RFC 9112, section 9.6: closing a connection with unread bytes resets it, and a reset may destroy the
part of the last response that its client hasn't read yet. So the server's close ends the outgoing
direction, and the rest of the incoming one is read and dropped for a limited time.
"""

from __future__ import annotations

import contextlib
import fcntl
import select
import socket
import struct
import termios
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

READ_BYTES = 64 * 1024
"""Bytes that are dropped at a time."""

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Value of ``SO_LINGER`` by which closing drops unsent bytes, instead of keeping them for a client
that doesn't read."""

LINGER_SECONDS = 1.0
"""Time for which bytes are still read after the end of the last response. It begins again while the
client accepts bytes of that."""

MAX_LINGER_SECONDS = 30.0
"""Longest time for that, however slowly the client reads."""

INT_BYTES = struct.calcsize("i")


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
        self._is_sending_closed = False
        self._is_lingering = False
        self._is_kept_open = False
        self._reading = trio.CancelScope()

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
        """Read bytes of the client; the first ones of a request begin its head.

        Raises:
            trio.ClosedResourceError: When the server has closed the connection; all that still
                comes was dropped by then.
        """
        data: bytes | bytearray | None = None
        if not self._is_lingering:
            data = await self._read(max_bytes)
        if self._is_lingering or data is None:
            await self._linger()
            raise trio.ClosedResourceError("this connection was closed by the server")
        self.last_progress_at = trio.current_time()
        if not data:
            self._note_end(ConnectionEnd.CLIENT)
        if data and not self._is_serving and not self._is_reading_head:
            self._is_reading_head = True
            self.request_began_at = self.last_progress_at
            self._counted_head.enter_context(self._count_active())
        return data

    async def _read(self, max_bytes: int) -> bytes | bytearray | None:
        """Read bytes of the client; None when the server closes the connection meanwhile."""
        self._reading = trio.CancelScope()
        try:
            with self._reading:
                return await self._stream.receive_some(max_bytes)
        except trio.BrokenResourceError:
            self._note_end(ConnectionEnd.RESET)
            raise
        return None

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
        """End the connection's outgoing direction, without letting other tasks run meanwhile.

        Raises:
            trio.BusyResourceError: When a write waits for the client.
            trio.BrokenResourceError: When the connection has ended.
        """
        if self.is_writing:
            raise trio.BusyResourceError("a write waits for the client")
        try:
            self.socket.shutdown(trio.socket.SHUT_WR)
        except OSError as error:
            raise trio.BrokenResourceError("the connection has ended") from error
        self._is_sending_closed = True

    async def aclose(self) -> None:
        """Close the connection; the server may go on with its task for some time.

        Where the client may still read or send, the task that reads closes the socket.
        """
        is_kept_open, self._is_kept_open = self._is_kept_open, False
        if is_kept_open and not self._is_sending_closed:
            return
        is_open = self.end is ConnectionEnd.OPEN
        self._note_end(ConnectionEnd.NODE)
        self.end_head()
        if is_open:
            await self._close_sending()
            self._is_lingering = self._is_sending_closed
            self._reading.cancel()
        if not self._is_lingering:
            await self._stream.aclose()

    def end_now(self) -> None:
        """Close the socket, if it is still open."""
        self.end_head()
        self.socket.close()

    async def _close_sending(self) -> None:
        """End the outgoing direction of an idle connection whose client still reads a response."""
        if self._is_sending_closed or self.is_writing or not self._unsent_bytes():
            return
        with contextlib.suppress(trio.BrokenResourceError):
            await self.send_eof()

    async def _linger(self) -> None:
        """Drop what the client still sends, until it closes or the time is over, then close."""
        try:
            with trio.move_on_after(MAX_LINGER_SECONDS):
                await self._drop_while_read()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # The client has reset the connection, or the time of a stop is over.
            pass
        finally:
            self.socket.close()

    async def _drop_while_read(self) -> None:
        """Drop bytes until the client closes, or accepts no more of the response."""
        while True:
            unsent = self._unsent_bytes()
            with trio.move_on_after(LINGER_SECONDS):
                await self._drop_until_closed()
                return
            if self._unsent_bytes() >= unsent:
                return

    async def _drop_until_closed(self) -> None:
        """Drop bytes until the client closes its sending side."""
        while await self._stream.receive_some(READ_BYTES):
            pass

    def _unsent_bytes(self) -> int:
        """Return the bytes, with the end of the direction, that the client hasn't acknowledged."""
        return self._count_bytes(termios.TIOCOUTQ)

    def _count_bytes(self, queue: int) -> int:
        """Return the bytes in a queue of the kernel; 0 where it doesn't tell, or once closed."""
        try:
            found = fcntl.ioctl(self.socket.fileno(), queue, bytes(INT_BYTES))
        except (OSError, ValueError):
            return 0
        (count,) = struct.unpack("i", found)
        return int(count)

    def has_client_closed(self) -> bool:
        """Return whether the client has closed its sending side at least; see the port."""
        if self.end is not ConnectionEnd.OPEN or self.socket.fileno() < 0:
            return True
        poll = select.poll()
        poll.register(self.socket.fileno(), select.POLLRDHUP)
        return bool(poll.poll(0))

    def note_left(self) -> None:
        """Note that the client has left; see the port."""
        self._note_end(ConnectionEnd.CLIENT)

    @property
    def is_closed(self) -> bool:
        """Whether the connection has ended; see the port."""
        is_open = self.end is ConnectionEnd.OPEN and not self._is_sending_closed
        return not is_open or self.socket.fileno() < 0

    def has_unread_bytes(self) -> bool:
        """Return whether bytes of the client wait to be read; see the port."""
        return self._count_bytes(termios.FIONREAD) > 0

    def keep_open(self) -> None:
        """Ignore the server's next close; see the port."""
        self._is_kept_open = True

    def is_reset(self) -> bool:
        """Return whether the connection was reset; see the port."""
        if self.end is ConnectionEnd.RESET or self.socket.fileno() < 0:
            return True
        poll = select.poll()
        # The kernel also reports errors that weren't asked for.
        poll.register(self.socket.fileno(), 0)
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
            connection.end_now()

    return open_connection
