"""The node's two listeners on one ``hypercorn`` server: clients, and questions of readiness."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
import trio

from hopstep.adapters.http_server import CountFailure, ServerConfig, serve_app
from hopstep.early_listeners import Listeners

AsgiApp = Callable[[Any, Any, Any], Awaitable[None]]

FINISH_SECONDS = 0.5
"""Time for connections to close after the shutdown; requests have ended or are cut then."""

READY_STATUS = 200
NOT_READY_STATUS = 503


class OperatorsListeners(msgspec.Struct, frozen=True):
    """What operators and load balancers ask.

    Attributes:
        readiness_address: ``ip:port`` of the readiness listener.
        metrics_address: ``ip:port`` of the metrics listener; empty for none.
        is_ready: Whether clients should be sent here.
        render_metrics: Returns the metrics as text.
    """

    readiness_address: str
    metrics_address: str
    is_ready: Callable[[], bool]
    render_metrics: Callable[[], bytes]


class ListenerSwitch:
    """ASGI application that answers by the listener on which a request came."""

    def __init__(self, clients: AsgiApp, operators: OperatorsListeners) -> None:
        """Join the listeners.

        Args:
            clients: Application for clients.
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
    """Send a whole answer."""
    headers = [(b"content-length", str(len(body)).encode()), (b"content-type", b"text/plain")]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body, "more_body": False})


async def _serve_lifespan(receive: Any, send: Any) -> None:
    """Follow the server's start and stop, which need nothing."""
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
    *,
    task_status: trio.TaskStatus[list[str]] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve until ``wait_shutdown`` returns; requests must have ended by then.

    Args:
        app: Application for all listeners.
        addresses: ``ip:port`` of each listener.
        listeners: Those of them that are open already; the server closes them.
        wait_shutdown: Returns when the listeners should close.
        count_failure: Called for each connection that a fault has ended.
        task_status: Told the bound addresses once the listeners are open.
    """
    config = ServerConfig(addresses[0], None)
    config.bind = [_binding(address, listeners) for address in addresses]
    config.graceful_timeout = FINISH_SECONDS
    await serve_app(app, config, wait_shutdown, count_failure, task_status=task_status)


def _binding(address: str, listeners: Listeners) -> str:
    """Return how the server names an open listener, or one that it has to open."""
    listener = listeners.get(address)
    return address if listener is None else f"fd://{listener.detach()}"
