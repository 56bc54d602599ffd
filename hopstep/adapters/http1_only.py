"""Restricts the HTTP server to HTTP/1.1 and ignores requests for a protocol upgrade.

RFC 9110, section 7.8: a server may ignore ``Upgrade``. The request is then handled normally.

Requests also get their target as it was sent: ASGI has path and query apart, so that an empty query
can't be told from none. The limit on a head is that of the moment in which its first bytes arrive.
"""

from __future__ import annotations

from typing import Any

import h11
import hypercorn.protocol
from hypercorn.events import Closed, Event, RawData, Updated
from hypercorn.protocol.h11 import H11Protocol

from hopstep.adapters.client_end_watch import ClientEndWatch, NextRequestEvent
from hopstep.adapters.limited_connection import ANSWERED_STATES, LimitedConnection
from hopstep.log_events.http_api import BYTES_REJECTED
from hopstep.logs import emit
from hopstep.ports.exchange_front import CONNECTION_STATE, TARGET_STATE, ClientConnection

UPGRADE = b"upgrade"

WHOLE_REQUEST_STATES = (h11.DONE, h11.MUST_CLOSE)
"""States of the client's side once its request was read to the end."""

VERSION_WITH_INTERIM = b"1.1"
"""HTTP version from which on clients accept interim responses."""

CONTINUE_STATUS = 100
"""Interim status that also old clients skip."""


class Http1OnlyProtocol(H11Protocol):
    """Hypercorn's HTTP/1.1 protocol without its upgrades to HTTP/2 and WebSocket."""

    def __init__(self, *arguments: Any, **options: Any) -> None:
        """Begin a connection; see the library's class for the arguments."""
        super().__init__(*arguments, **options)
        self.connection = LimitedConnection(lambda: self.config.h11_max_incomplete_size)
        self._end_watch = ClientEndWatch(self)
        self.can_read = NextRequestEvent(self._find_end_behind)

    async def handle(self, event: Event) -> None:
        """Handle bytes of the client, or the end of its sending side; see the library's class."""
        if isinstance(event, Closed) and await self._keeps_open():
            return
        is_end = isinstance(event, RawData) and not event.data
        if is_end:
            await self._end_watch.wait_until_ended()
        await super().handle(event)
        if isinstance(event, Closed):
            await self._end_waits()

    async def _keeps_open(self) -> bool:
        """Keep an idle connection on which a request has arrived when its idle timer ends.

        Returns:
            False where something else has closed the connection, or nothing has arrived.
        """
        client = self.tracked_client
        if client is None or client.is_closed:
            return False
        # The head is read some steps before the request has its stream.
        is_between_requests = self.connection.their_state is h11.IDLE
        if is_between_requests and not client.has_unread_bytes():
            return False
        if is_between_requests:
            await self.send(Updated(idle=True))
        # Last, as the close that it is for follows without letting other tasks run.
        client.keep_open()
        return True

    @property
    def tracked_client(self) -> ClientConnection | None:
        """The connection, where connections are tracked."""
        return self.connection_state.get(CONNECTION_STATE)

    async def _end_waits(self) -> None:
        """End what waits for a connection that is closed: its idle timer, and a next request."""
        if isinstance(self.connection, LimitedConnection):
            self.connection.is_closed = True
        await self.can_read.set()
        # The library would keep the connection open until its idle timer ends.
        await self.send(Updated(idle=False))

    def awaits_response(self) -> bool:
        """Return whether a client may wait for a response of which nothing was sent yet."""
        connection = self.connection
        if self.stream is None or not isinstance(connection, h11.Connection):
            return False
        is_whole = connection.their_state in WHOLE_REQUEST_STATES
        is_begun = connection.our_state is not h11.SEND_RESPONSE
        return is_whole and not is_begun and connection.their_http_version == VERSION_WITH_INTERIM

    async def _find_end_behind(self) -> None:
        """End a request whose client has left behind bytes that aren't read yet."""
        client = self.tracked_client
        if client is None or not client.has_client_closed():
            return
        if not await self._end_watch.wait_until_ended():
            return
        if not self._end_watch.has_request_ended:
            client.note_left()
            await self.handle(Closed())

    def reads_response(self) -> bool:
        """Return whether a client may read a response that has begun."""
        is_whole = self.connection.their_state in WHOLE_REQUEST_STATES
        return self.stream is not None and is_whole and self.connection.our_state is h11.SEND_BODY

    async def probe(self) -> None:
        """Send an interim response, unless the response has begun."""
        if self.awaits_response():
            await self._send_h11_event(
                h11.InformationalResponse(status_code=CONTINUE_STATUS, headers=[])
            )

    async def _close_stream(self) -> None:
        """Note the end of a request; see the library's class."""
        self._end_watch.end_request()
        await super()._close_stream()

    async def _check_protocol(self, event: h11.Request) -> None:
        """Skip the check for an upgrade."""

    async def _maybe_recycle(self) -> None:
        """Go on with the next request, or end the connection."""
        connection = self.connection
        if isinstance(connection, h11.Connection) and connection.our_state not in ANSWERED_STATES:
            connection.send_failed()
        await super()._maybe_recycle()

    async def _send_error_response(self, status_code: int) -> None:
        """Refuse bytes that are no request, or too long, and log that."""
        client = ":".join(map(str, self.client)) if self.client is not None else ""
        emit(BYTES_REJECTED, client=client, status=status_code)
        await super()._send_error_response(status_code)

    async def _create_stream(self, request: h11.Request) -> None:
        """Begin a request without its ``Upgrade`` header, and pass on its target."""
        self._end_watch.begin_request()
        self.connection_state[TARGET_STATE] = bytes(request.target)
        headers = [(name, value) for name, value in request.headers if name != UPGRADE]
        if len(headers) != len(request.headers):
            request = h11.Request(
                method=request.method,
                headers=headers,
                target=request.target,
                http_version=request.http_version,
            )
        await super()._create_stream(request)


def speak_http1_only() -> None:
    """Restrict all servers of this process to HTTP/1.1.

    The server creates its protocol objects itself and has no setting for this.
    """
    hypercorn.protocol.H11Protocol = Http1OnlyProtocol  # type: ignore[attr-defined]
