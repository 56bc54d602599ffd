"""The node's two listeners on one ``hypercorn`` server: clients, and questions of readiness."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import trio
from hypercorn.trio import serve

from hopstep.adapters.http_server import ServerConfig

AsgiApp = Callable[[Any, Any, Any], Awaitable[None]]

READY_STATUS = 200
NOT_READY_STATUS = 503


class ListenerSwitch:
    """ASGI application that answers by the listener on which a request came."""

    def __init__(
        self, clients: AsgiApp, readiness_address: str, is_ready: Callable[[], bool]
    ) -> None:
        """Join the two.

        Args:
            clients: Application for clients.
            readiness_address: ``ip:port`` of the readiness listener.
            is_ready: Whether clients should be sent here.
        """
        self._clients = clients
        self._readiness_port = int(readiness_address.rpartition(":")[2])
        self._is_ready = is_ready

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Answer one request."""
        if scope["type"] == "lifespan":
            await _serve_lifespan(receive, send)
        elif scope["server"][1] == self._readiness_port:
            await self._answer_readiness(send)
        else:
            await self._clients(scope, receive, send)

    async def _answer_readiness(self, send: Any) -> None:
        """Say whether the node is ready."""
        status = READY_STATUS if self._is_ready() else NOT_READY_STATUS
        headers = [(b"content-length", b"0")]
        await send({"type": "http.response.start", "status": status, "headers": headers})
        await send({"type": "http.response.body", "body": b"", "more_body": False})


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
    wait_shutdown: Callable[[], Awaitable[None]],
    *,
    task_status: trio.TaskStatus[list[str]] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve until ``wait_shutdown`` returns; requests must have ended by then.

    Args:
        app: Application for all listeners.
        addresses: ``ip:port`` of each listener.
        wait_shutdown: Returns when the listeners should close.
        task_status: Told the bound addresses once the listeners are open.
    """
    config = ServerConfig(addresses[0], None)
    config.bind = list(addresses)
    await serve(app, config, shutdown_trigger=wait_shutdown, task_status=task_status, mode="asgi")
