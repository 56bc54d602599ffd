"""The node's listeners on one ``hypercorn`` server: clients, readiness and metrics."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
import trio

from hopstep.adapters.http_server import CountFailure, ServerConfig, serve_app
from hopstep.adapters.tracked_connection import CountActive, TrackedConnection, track_connections
from hopstep.early_listeners import Listeners
from hopstep.error_reports import flatten, location
from hopstep.log_events.http_api import REQUEST_CRASHED
from hopstep.logs import emit
from hopstep.ports.exchange_front import CONNECTION_STATE

AsgiApp = Callable[[Any, Any, Any], Awaitable[None]]

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
            await self._serve_client(scope, receive, send)

    async def _serve_client(self, scope: Any, receive: Any, send: Any) -> None:
        """Pass a request to the clients' application; log its fault, which the server doesn't."""
        try:
            await self._clients(scope, receive, send)
        except Exception as failure:
            for error in flatten(failure):
                emit(
                    REQUEST_CRASHED,
                    request_id="",
                    error_type=type(error).__name__,
                    location=location(error),
                )
            raise


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
