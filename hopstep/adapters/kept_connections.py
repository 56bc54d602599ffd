"""Connection pools for ``httpx`` whose connections aren't used again after surplus bytes.

A server may send more than the answer to a request. The library keeps such bytes with the
connection and takes them for the beginning of the next answer; it notices only those that are
still unread on the socket when the next request is sent. It also reads informational responses
for as long as they come, without letting other tasks run; here their number has a bound.
"""

from __future__ import annotations

import ssl
from typing import Any

import httpcore
import httpx

from hopstep.adapters.call_ids import IdentifiedTransport
from hopstep.bounded_protocol import BoundedProtocol

CLIENT_LIMITS = httpx.Limits(
    max_connections=100, max_keepalive_connections=20, keepalive_expiry=5.0
)
"""Limits of ``make_client``: the defaults of ``httpx``."""


FIRST_STEP = "http11.send_request_headers.started"
"""Step of the library before the first byte of a request is sent on an open connection."""


CUT_REQUEST = ("http11.send_request_headers.failed", "http11.send_request_body.failed")
"""Steps of the library with which a connection breaks while a request is written. The library goes
on and reads what has arrived."""


class CutStream(httpcore.AsyncNetworkStream):
    """A connection that broke while a request was written, of which the rest is read.

    The error is reported by the write alone: the end that a read shows looks like an orderly one.
    """

    def __init__(self, stream: httpcore.AsyncNetworkStream) -> None:
        """Wrap the connection.

        Args:
            stream: The connection.
        """
        self._stream = stream

    async def read(
        self,
        max_bytes: int,
        timeout: float | None = None,  # noqa: ASYNC109 - the library's signature
    ) -> bytes:
        """Read what has arrived.

        Raises:
            httpcore.ReadError: At the end.
        """
        data = await self._stream.read(max_bytes, timeout)
        if not data:
            raise httpcore.ReadError("the connection broke while the request was written")
        return data

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()

    def get_extra_info(self, info: str) -> Any:
        """Return what the library asks about the connection."""
        return self._stream.get_extra_info(info)


class KeptConnection(httpcore.AsyncConnectionInterface):
    """A connection of the library that also expires with surplus bytes, and with its end."""

    def __init__(self, connection: httpcore.AsyncHTTPConnection) -> None:
        """Wrap a connection.

        Args:
            connection: The library's connection.
        """
        self._connection = connection

    async def handle_async_request(self, request: httpcore.Request) -> httpcore.Response:
        """Send a request."""
        request.extensions = {**request.extensions, "trace": self._trace}
        return await self._connection.handle_async_request(request)

    async def _trace(self, step: str, _info: dict[str, Any]) -> None:
        """Replace parts of a connection: the library takes none from outside.

        Before the first request is sent, its state gets one that bounds informational responses.
        Once it broke while a request was written, its end isn't taken for that of an answer.
        """
        opened = self._connection._connection
        if not isinstance(opened, httpcore.AsyncHTTP11Connection):
            return
        if step in CUT_REQUEST:
            opened._network_stream = CutStream(opened._network_stream)
        if step == FIRST_STEP and not isinstance(opened._h11_state, BoundedProtocol):
            opened._h11_state = BoundedProtocol(opened.MAX_INCOMPLETE_EVENT_SIZE)

    async def aclose(self) -> None:
        """Close the connection."""
        await self._connection.aclose()

    def info(self) -> str:
        """Return a description."""
        return self._connection.info()

    def can_handle_request(self, origin: httpcore.Origin) -> bool:
        """Return whether the connection leads to an origin."""
        return self._connection.can_handle_request(origin)

    def is_available(self) -> bool:
        """Return whether a request can be sent."""
        return self._connection.is_available()

    def has_expired(self) -> bool:
        """Return whether the connection must not be used again."""
        return self._connection.has_expired() or self._has_surplus_or_end()

    def is_idle(self) -> bool:
        """Return whether no request is in progress."""
        return self._connection.is_idle()

    def is_closed(self) -> bool:
        """Return whether the connection is closed."""
        return self._connection.is_closed()

    def _has_surplus_or_end(self) -> bool:
        """Return whether bytes after the last answer, or the connection's end, have been read.

        The library gives no public access to them. It keeps a connection that has ended with an
        answer without a length, and under TLS its socket may not show that yet.
        """
        opened = self._connection._connection
        if not isinstance(opened, httpcore.AsyncHTTP11Connection) or not opened.is_idle():
            return False
        surplus, has_ended = opened._h11_state.trailing_data
        return bool(surplus) or has_ended


class KeptConnectionPool(httpcore.AsyncConnectionPool):
    """A pool of such connections; for direct HTTP/1.1 connections only."""

    def create_connection(self, origin: httpcore.Origin) -> httpcore.AsyncConnectionInterface:
        """Return a new connection."""
        connection = super().create_connection(origin)
        if not isinstance(connection, httpcore.AsyncHTTPConnection):
            raise TypeError("connections by a proxy aren't supported")
        return KeptConnection(connection)


def make_transport(
    limits: httpx.Limits,
    ssl_context: ssl.SSLContext | None,
    backend: httpcore.AsyncNetworkBackend | None = None,
) -> httpx.AsyncHTTPTransport:
    """Return a transport over such a pool.

    ``httpx`` accepts no pool but its own, so the transport's pool is replaced.

    Args:
        limits: Limits of the pool.
        ssl_context: For HTTPS; None for the library's default.
        backend: Opens connections; None for the library's default.
    """
    transport = httpx.AsyncHTTPTransport(trust_env=False, limits=limits)
    transport._pool = KeptConnectionPool(
        ssl_context=ssl_context,
        max_connections=limits.max_connections,
        max_keepalive_connections=limits.max_keepalive_connections,
        keepalive_expiry=limits.keepalive_expiry,
        network_backend=backend,
    )
    return transport


def make_client(verify: ssl.SSLContext | bool = True) -> httpx.AsyncClient:
    """Return a client over such a pool, whose calls have ids.

    Args:
        verify: Context of the client for HTTPS; True for the default one.
    """
    context = httpx.create_ssl_context(verify, trust_env=False)
    transport = IdentifiedTransport(make_transport(CLIENT_LIMITS, context))
    return httpx.AsyncClient(trust_env=False, transport=transport)
