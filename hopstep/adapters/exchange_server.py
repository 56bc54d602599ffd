"""The node's listeners on one ``hypercorn`` server: clients, readiness and metrics."""

from __future__ import annotations

import contextlib
import socket
import struct
from collections.abc import Awaitable, Callable, Iterator
from contextlib import AbstractContextManager
from typing import Any, cast

import msgspec
import trio
from hypercorn.typing import LifespanState

from hopstep.adapters.http_server import (
    CountFailure,
    OpenConnection,
    ServerConfig,
    ServerStream,
    serve_app,
)
from hopstep.early_listeners import Listeners
from hopstep.ports.exchange_front import CONNECTION_STATE, ClientConnection

AsgiApp = Callable[[Any, Any, Any], Awaitable[None]]
CountActive = Callable[[], AbstractContextManager[None]]

WRITE_BYTES = 16 * 1024
"""Bytes in one write: the kernel reports space for a client in steps of about this size."""

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Value of ``SO_LINGER`` by which closing drops unsent bytes, instead of keeping them for a client
that doesn't read."""

READY_STATUS = 200
NOT_READY_STATUS = 503


class OperatorListeners(msgspec.Struct, frozen=True):
    """Listeners for operators and load balancers.

    Attributes:
        readiness_address: ``ip:port`` of the readiness listener.
        metrics_address: ``ip:port`` of the metrics listener; empty for none.
        is_ready: Returns whether load balancers should send clients here.
        render_metrics: Returns the metrics as text.
    """

    readiness_address: str
    metrics_address: str
    is_ready: Callable[[], bool]
    render_metrics: Callable[[], bytes]


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
        data = await self._stream.receive_some(max_bytes)
        self.last_progress_at = trio.current_time()
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
        finally:
            self.is_writing = False

    async def send_eof(self) -> None:
        """End the connection's outgoing direction."""
        await self._stream.send_eof()

    async def aclose(self) -> None:
        """Close the connection; the server may go on with its task for some time."""
        self.end_head()
        await self._stream.aclose()

    def disconnect(self) -> None:
        """Reset the connection, unless it is closed already; see the port."""
        if self.socket.fileno() < 0:
            return
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.socket.close()


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


class ListenerSwitch:
    """ASGI application that dispatches requests by the listener that received them."""

    def __init__(self, clients: AsgiApp, operators: OperatorListeners) -> None:
        """Combine the listeners.

        Args:
            clients: Application of the client listeners.
            operators: The other listeners.
        """
        self._clients = clients
        self._operators = operators
        self._readiness_port = _port(operators.readiness_address)
        self._metrics_port = _port(operators.metrics_address)

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Answer one request."""
        if scope["type"] == "lifespan":
            await _serve_lifespan(receive, send)
            return
        connection: TrackedConnection = scope["state"][CONNECTION_STATE]
        connection.begin_request()

        async def send_tracked(message: Any) -> None:
            if message["type"] == "http.response.body" and not message.get("more_body", False):
                connection.end_request()
            await send(message)

        await self._serve(scope, receive, send_tracked)

    async def _serve(self, scope: Any, receive: Any, send: Any) -> None:
        """Pass a request to the application of its listener."""
        port = scope["server"][1]
        if port == self._readiness_port:
            ready = self._operators.is_ready()
            await _answer(send, READY_STATUS if ready else NOT_READY_STATUS, b"")
        elif port == self._metrics_port:
            await _answer(send, READY_STATUS, self._operators.render_metrics())
        else:
            await self._clients(scope, receive, send)


def _port(address: str) -> int:
    """Return the port of an address; 0 for none."""
    return int(address.rpartition(":")[2] or 0)


async def _answer(send: Any, status: int, body: bytes) -> None:
    """Send a complete response."""
    headers = [(b"content-length", str(len(body)).encode()), (b"content-type", b"text/plain")]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body, "more_body": False})


async def _serve_lifespan(receive: Any, send: Any) -> None:
    """Acknowledge the server's startup and shutdown, which need no work."""
    while True:
        message = await receive()
        await send({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return


async def serve_exchanges(
    app: AsgiApp,
    addresses: tuple[str, ...],
    listeners: Listeners,
    wait_shutdown: Callable[[], Awaitable[None]],
    count_failure: CountFailure,
    count_active: CountActive,
    close_seconds: float,
    max_head_bytes: Callable[[], int],
    *,
    task_status: trio.TaskStatus[list[str]] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve until ``wait_shutdown`` returns; requests must have ended by then.

    Args:
        app: Application for all listeners.
        addresses: ``ip:port`` of each listener.
        listeners: Sockets that are already open; the server closes them.
        wait_shutdown: Returns when the listeners should close.
        count_failure: Called for each connection that failed.
        count_active: Opens a context in which a part of a request counts as active.
        close_seconds: Time for connections to end by themselves after that; others are closed.
        max_head_bytes: Returns the limit on a request's head.
        task_status: Receives the bound addresses once the listeners are open.
    """
    config = ServerConfig(addresses[0], None, max_head_bytes)
    config.bind = [_binding(address, listeners) for address in addresses]
    config.graceful_timeout = close_seconds
    await serve_app(
        app,
        config,
        wait_shutdown,
        count_failure,
        track_connections(count_active),
        task_status=task_status,
    )


def _binding(address: str, listeners: Listeners) -> str:
    """Return the ``hypercorn`` binding: a file descriptor if already open, else the address."""
    listener = listeners.get(address)
    return address if listener is None else f"fd://{listener.detach()}"
