"""Serving the HTTP application by ``hypercorn``, with or without TLS."""

from __future__ import annotations

import ssl
from collections.abc import Awaitable, Callable

import trio
from hypercorn.config import Config
from hypercorn.trio import serve
from hypercorn.typing import ASGIFramework

KEEP_ALIVE_SECONDS = 75.0
"""Longer than common clients keep a connection, so that they close it and not this side."""

BACKLOG = 1024
FINISH_SECONDS = 2.0
"""Time for connections to close after the shutdown; requests have ended before it."""


class ServerConfig(Config):
    """Hypercorn's configuration, with a TLS context that is made elsewhere."""

    def __init__(self, address: str, tls: ssl.SSLContext | None) -> None:
        """Configure one listener.

        Args:
            address: ``ip:port``.
            tls: Context of a TLS listener; None for plain HTTP.
        """
        super().__init__()
        self._tls = tls
        self.bind = [address]
        self.backlog = BACKLOG
        self.keep_alive_timeout = KEEP_ALIVE_SECONDS
        self.graceful_timeout = FINISH_SECONDS
        self.include_server_header = False
        self.accesslog = None
        self.errorlog = None

    @property
    def ssl_enabled(self) -> bool:
        """Whether the listener speaks TLS."""
        return self._tls is not None

    def create_ssl_context(self) -> ssl.SSLContext | None:
        """Return the given context."""
        return self._tls


async def serve_http(
    app: ASGIFramework,
    address: str,
    tls: ssl.SSLContext | None,
    wait_shutdown: Callable[[], Awaitable[None]],
    *,
    task_status: trio.TaskStatus[list[str]] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve until ``wait_shutdown`` returns; requests must have ended by then.

    Args:
        app: ASGI application.
        address: ``ip:port`` to listen on.
        tls: Context of a TLS listener; None for plain HTTP.
        wait_shutdown: Returns when the listener should close.
        task_status: Told the bound addresses once the listener is open.
    """
    config = ServerConfig(address, tls)
    await serve(app, config, shutdown_trigger=wait_shutdown, task_status=task_status, mode="asgi")
