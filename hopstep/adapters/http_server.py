"""Serving the HTTP application by ``hypercorn``, with or without TLS.

A connection that fails is logged and closed; the other connections and the process continue. The
server's own connection handling would end the process instead.
"""

from __future__ import annotations

import contextlib
import functools
import ssl
from collections.abc import Awaitable, Callable
from contextlib import AbstractContextManager
from typing import cast

import trio
from hypercorn.app_wrappers import ASGIWrapper
from hypercorn.config import Config
from hypercorn.trio.lifespan import Lifespan
from hypercorn.trio.tcp_server import TCPServer
from hypercorn.trio.worker_context import WorkerContext
from hypercorn.typing import ASGIFramework, ConnectionState, LifespanState

from hopstep.adapters.http1_only import speak_http1_only
from hopstep.domain.stop_schedule import CLOSE_SECONDS
from hopstep.error_reports import flatten, location
from hopstep.log_events.http_api import CONNECTION_FAILED
from hopstep.logs import emit

KEEP_ALIVE_SECONDS = 75.0
"""Longer than common clients keep an idle connection, so that the client closes it first."""

BACKLOG = 1024
MAX_QUEUED_MESSAGES = 2
"""Messages that the server reads before the application takes them: parts of a body, of 64 KiB at
most, its end, and the end of the connection. The last two must have space for a request without a
body, so that its connection can be closed."""

MAX_HEAD_BYTES = 16 * 1024

Listener = trio.SocketListener | trio.SSLListener[trio.SocketStream]
CountFailure = Callable[[], None]
ServerStream = trio.SocketStream | trio.SSLStream[trio.SocketStream]
OpenConnection = Callable[[ServerStream, LifespanState], AbstractContextManager[ServerStream]]
"""Returns a context, for the life of a connection, with the stream that is served for it; may add
to the state of its requests."""


def ignore_failure() -> None:
    """Ignore a failed connection."""


def keep_stream(
    stream: ServerStream, _state: LifespanState
) -> AbstractContextManager[ServerStream]:
    """Serve a connection by its own stream."""
    return contextlib.nullcontext(stream)


class ServerConfig(Config):
    """Hypercorn's configuration, with a given TLS context."""

    def __init__(
        self,
        address: str,
        tls: ssl.SSLContext | None,
        max_head_bytes: Callable[[], int] = lambda: MAX_HEAD_BYTES,
    ) -> None:
        """Configure one listener.

        Args:
            address: ``ip:port``.
            tls: Context of a TLS listener; None for plain HTTP.
            max_head_bytes: Returns the limit on a request's head.
        """
        super().__init__()
        self._tls = tls
        self._max_head_bytes = max_head_bytes
        self.bind = [address]
        self.backlog = BACKLOG
        self.max_app_queue_size = MAX_QUEUED_MESSAGES
        self.keep_alive_timeout = KEEP_ALIVE_SECONDS
        self.graceful_timeout = CLOSE_SECONDS
        self.include_server_header = False
        self.accesslog = None
        self.errorlog = None

    @property
    def h11_max_incomplete_size(self) -> int:  # type: ignore[override]
        """Limit on a request's head, in bytes."""
        return self._max_head_bytes()

    @property
    def ssl_enabled(self) -> bool:
        """Whether the listener speaks TLS."""
        return self._tls is not None

    def create_ssl_context(self) -> ssl.SSLContext | None:
        """Return the given context."""
        return self._tls


class _Connections:
    """Runs the connections of one server and isolates their failures."""

    def __init__(
        self,
        app: ASGIFramework,
        config: Config,
        count_failure: CountFailure,
        open_connection: OpenConnection,
    ) -> None:
        self.state: LifespanState = {}
        self.app = ASGIWrapper(app)
        self.context = WorkerContext(None)
        self._config = config
        self._count_failure = count_failure
        self._open_connection = open_connection
        self._open: set[ServerStream] = set()

    async def close_after(self, seconds: float) -> None:
        """Close the connections that are open after a time.

        The server shields a write from cancellation, so that a client that doesn't read would keep
        the process from ending.
        """
        await trio.sleep(seconds)
        for stream in tuple(self._open):
            _socket(stream).close()

    async def run(self, stream: ServerStream) -> None:
        """Serve a connection until it closes; log its failure."""
        self._open.add(stream)
        try:
            await self._serve(stream)
        finally:
            self._open.discard(stream)

    async def _serve(self, stream: ServerStream) -> None:
        """Serve a connection; log its failure."""
        state = ConnectionState(self.state.copy())
        try:
            with self._open_connection(stream, state) as served:
                # The server's type hints name encrypted streams only, but it accepts both.
                any_stream = cast(trio.SSLStream[trio.SocketStream], served)
                await TCPServer(self.app, self._config, self.context, state, any_stream).run()
        except* Exception as errors:
            self._count_failure()
            for error in flatten(errors):
                emit(
                    CONNECTION_FAILED,
                    error_type=type(error).__name__,
                    location=location(error),
                )


async def serve_app(
    app: ASGIFramework,
    config: Config,
    wait_shutdown: Callable[[], Awaitable[None]],
    count_failure: CountFailure = ignore_failure,
    open_connection: OpenConnection = keep_stream,
    *,
    task_status: trio.TaskStatus[list[str]] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve until ``wait_shutdown`` returns and connections have closed or their time is up.

    Args:
        app: ASGI application.
        config: Listeners, and the time for connections to close.
        wait_shutdown: Returns when the listeners should close.
        count_failure: Called for each connection that failed.
        open_connection: Opens the stream that is served for a connection.
        task_status: Receives the bound addresses once the listeners are open.
    """
    server = _Connections(app, config, count_failure, open_connection)
    lifespan = Lifespan(server.app, config, server.state)
    async with trio.open_nursery() as lifespan_nursery:
        await lifespan_nursery.start(lifespan.handle_lifespan)
        await lifespan.wait_for_startup()
        async with trio.open_nursery() as connections:
            listeners, bound = _open_listeners(config)
            task_status.started(bound)
            async with trio.open_nursery() as accepting:
                accepting.start_soon(
                    functools.partial(
                        trio.serve_listeners, server.run, listeners, handler_nursery=connections
                    )
                )
                await wait_shutdown()
                accepting.cancel_scope.cancel()
            await server.context.terminated.set()
            lifespan_nursery.start_soon(server.close_after, config.graceful_timeout)
            connections.cancel_scope.deadline = trio.current_time() + config.graceful_timeout
        await lifespan.wait_for_shutdown()
        lifespan_nursery.cancel_scope.cancel()


def _socket(stream: ServerStream) -> trio.socket.SocketType:
    """Return the socket of a connection."""
    if isinstance(stream, trio.SocketStream):
        return stream.socket
    return stream.transport_stream.socket


def _open_listeners(config: Config) -> tuple[list[Listener], list[str]]:
    """Open the listeners of a configuration; return them and their URLs."""
    sockets = config.create_sockets()
    tls = config.create_ssl_context()
    listeners: list[Listener] = []
    urls = []
    for listening in (*sockets.secure_sockets, *sockets.insecure_sockets):
        listening.listen(config.backlog)
        host, port = listening.getsockname()[:2]
        urls.append(f"{'http' if tls is None else 'https'}://{host}:{port}")
        plain = trio.SocketListener(trio.socket.from_stdlib_socket(listening))
        listeners.append(
            plain if tls is None else trio.SSLListener(plain, tls, https_compatible=True)
        )
    return listeners, urls


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
        task_status: Receives the bound addresses once the listener is open.
    """
    speak_http1_only()
    config = ServerConfig(address, tls)
    await serve_app(app, config, wait_shutdown, task_status=task_status)
