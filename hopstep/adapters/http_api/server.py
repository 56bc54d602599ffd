"""Serving the HTTP application of a node.

The server reports the end of a response as a disconnect, in the task of the application and before
it closes the connection. The framework takes that for a client that has left, and cancels the task.
Where parts of the body are queued that the application no longer takes, the report itself waits for
as long as the client keeps the connection.
"""

from __future__ import annotations

import ssl
from collections.abc import Awaitable, Callable
from typing import Any

import trio
from hypercorn.typing import ASGIFramework

from hopstep.adapters.http_server import serve_http

Receive = Callable[[], Awaitable[Any]]
Send = Callable[[Any], Awaitable[None]]


async def serve_api(
    app: ASGIFramework,
    address: str,
    tls: ssl.SSLContext | None,
    wait_shutdown: Callable[[], Awaitable[None]],
    *,
    task_status: trio.TaskStatus[list[str]] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve until ``wait_shutdown`` returns; requests must have ended by then.

    Args:
        app: The application.
        address: ``ip:port`` to listen on.
        tls: Context of a TLS listener; None for plain HTTP.
        wait_shutdown: Returns when the listener should close.
        task_status: Receives the bound addresses once the listener is open.
    """
    shielded = _shield_response_ends(app)
    await serve_http(shielded, address, tls, wait_shutdown, task_status=task_status)


def _shield_response_ends(app: ASGIFramework) -> ASGIFramework:
    """Return an application whose cancellation doesn't keep the server from ending a response."""

    async def serve(scope: Any, receive: Receive, send: Send) -> None:
        async def send_shielded(message: Any) -> None:
            if message["type"] != "http.response.body" or message.get("more_body", False):
                await send(message)
                return
            with trio.CancelScope(shield=True):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(_discard_body, receive)
                    await send(message)
                    nursery.cancel_scope.cancel()

        await app(scope, receive, send_shielded)

    return serve


async def _discard_body(receive: Receive) -> None:
    """Take the rest of a request's body, which the application may not have read to its end."""
    while (await receive())["type"] == "http.request":
        pass
