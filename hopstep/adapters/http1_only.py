"""Restricts the HTTP server to HTTP/1.1 and ignores requests for a protocol upgrade.

RFC 9110, section 7.8: a server may ignore ``Upgrade``. The request is then handled normally.

Requests also get their target as it was sent: ASGI has path and query apart, so that an empty query
can't be told from none. The limit on a head is that of the moment in which its first bytes arrive.

A client may close its sending side and wait for its response. Reading can't tell that from a closed
connection, but writing can: a peer that has closed its socket resets the connection. So interim
responses are sent until the connection is reset or the response has begun, whose own writes tell
the same.
"""

from __future__ import annotations

import itertools
from collections.abc import Awaitable, Callable
from typing import Any

import h11
import hypercorn.protocol
import trio
from hypercorn.events import Closed, Event, RawData, Updated
from hypercorn.protocol.h11 import H11Protocol
from hypercorn.trio.worker_context import EventWrapper

from hopstep.log_events.http_api import BYTES_REJECTED
from hopstep.logs import emit
from hopstep.ports.exchange_front import CONNECTION_STATE, TARGET_STATE, ClientConnection

UPGRADE = b"upgrade"
ANSWERED_STATES = (h11.DONE, h11.MUST_CLOSE, h11.CLOSED)
"""States of the server's side once it has sent a whole answer."""

WHOLE_REQUEST_STATES = (h11.DONE, h11.MUST_CLOSE)
"""States of the client's side once its request was read to the end."""

VERSION_WITH_INTERIM = b"1.1"
"""HTTP version from which on clients accept interim responses."""

CONTINUE_STATUS = 100
"""Interim status that also old clients skip."""

PROBE_SECONDS = (0.01, 0.1, 0.3)
"""Times after which a half-closed connection is probed again, at first. A reset takes one round
trip."""

LATE_PROBE_SECONDS = 0.4
"""Time between later probes: requests of clients that have left are cancelled within half a
second."""

SILENT_SECONDS = 0.25
"""Time after which a client counts as closed that half-closes within its response, if nothing of
that is written: requests of clients that have left are cancelled within half a second."""

RESET_SECONDS = 0.05
"""Time between looks for a reset; one that a write causes comes within it, but from far away."""


CLIENT_CHECK_SECONDS = 0.1
"""Time between looks for the end of a client behind whose request bytes wait to be read."""


class NextRequestEvent(EventWrapper):
    """Set when the server may read a next request; looks for the client's end meanwhile."""

    def __init__(self, find_end: Callable[[], Awaitable[None]]) -> None:
        """Begin unset.

        Args:
            find_end: Ends the request under way if its client has left.
        """
        super().__init__()
        self._find_end = find_end

    async def wait(self) -> None:
        """Wait until it is set."""
        while not self._event.is_set():
            with trio.move_on_after(CLIENT_CHECK_SECONDS):
                await self._event.wait()
                return
            await self._find_end()


class LimitedConnection(h11.Connection):
    """A server's connection whose limit on heads may change while it is open.

    Attributes:
        is_closed: Whether the server has closed it, so that nothing more is read of it.
    """

    def __init__(self, max_head_bytes: Callable[[], int]) -> None:
        """Begin a connection.

        Args:
            max_head_bytes: Returns the limit on a head.
        """
        super().__init__(h11.SERVER, max_incomplete_event_size=max_head_bytes())
        self._max_head_bytes = max_head_bytes
        self.is_closed = False

    def receive_data(self, data: bytes) -> None:
        """Take bytes of the client; the first ones of a head apply the limit of now."""
        if self.their_state is h11.IDLE and not self.trailing_data[0]:
            self._apply_limit()
        super().receive_data(data)

    def next_event(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        """Return the next event of the client; none of a body whose request is answered already.

        Such a connection is closed. The server would handle all chunks of a read without letting
        other tasks run. Nothing is read behind an answer that was cut off either: the library would
        wait for its end before it reads the next request. Bytes behind the last request of a
        connection wait for the end of its answer, as a next request does: the library would end the
        connection at once, and an answer whose end that is would look complete.
        """
        if self.is_closed or self.our_state is h11.ERROR:
            return h11.NEED_DATA
        is_answered = self.our_state in ANSWERED_STATES
        if not is_answered and self.their_state is h11.MUST_CLOSE and self.trailing_data[0]:
            return h11.PAUSED
        if is_answered and self.their_state is h11.SEND_BODY:
            return h11.NEED_DATA
        return super().next_event()

    def start_next_cycle(self) -> None:
        """Prepare for the next request, of which bytes may have arrived already."""
        super().start_next_cycle()
        self._apply_limit()

    def _apply_limit(self) -> None:
        """Apply the limit of now; the library sets its own at the beginning only."""
        self._max_incomplete_event_size = self._max_head_bytes()


class Http1OnlyProtocol(H11Protocol):
    """Hypercorn's HTTP/1.1 protocol without its upgrades to HTTP/2 and WebSocket."""

    def __init__(self, *arguments: Any, **options: Any) -> None:
        """Begin a connection; see the library's class for the arguments."""
        super().__init__(*arguments, **options)
        self.connection = LimitedConnection(lambda: self.config.h11_max_incomplete_size)
        self._request_ended = trio.Event()
        self.can_read = NextRequestEvent(self._find_end_behind)

    async def handle(self, event: Event) -> None:
        """Handle bytes of the client, or the end of its sending side; see the library's class."""
        if isinstance(event, Closed) and await self._keeps_open():
            return
        is_end = isinstance(event, RawData) and not event.data
        if is_end and self._awaits_response():
            await self._probe_until_ended()
        elif is_end and self._reads_response():
            await self._watch_writes_until_ended()
        await super().handle(event)
        if isinstance(event, Closed):
            await self._end_waits()

    async def _keeps_open(self) -> bool:
        """Keep an idle connection on which a request has arrived when its idle timer ends.

        Returns:
            False where something else has closed the connection, or nothing has arrived.
        """
        client = self._client
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
    def _client(self) -> ClientConnection | None:
        """The connection, where connections are tracked."""
        return self.connection_state.get(CONNECTION_STATE)

    async def _end_waits(self) -> None:
        """End what waits for a connection that is closed: its idle timer, and a next request."""
        if isinstance(self.connection, LimitedConnection):
            self.connection.is_closed = True
        await self.can_read.set()
        # The library would keep the connection open until its idle timer ends.
        await self.send(Updated(idle=False))

    def _awaits_response(self) -> bool:
        """Return whether a client may wait for a response of which nothing was sent yet."""
        connection = self.connection
        if self.stream is None or not isinstance(connection, h11.Connection):
            return False
        is_whole = connection.their_state in WHOLE_REQUEST_STATES
        is_begun = connection.our_state is not h11.SEND_RESPONSE
        return is_whole and not is_begun and connection.their_http_version == VERSION_WITH_INTERIM

    async def _find_end_behind(self) -> None:
        """End a request whose client has left behind bytes that aren't read yet."""
        client = self._client
        if client is None or not client.has_client_closed():
            return
        if self._awaits_response():
            await self._probe_until_ended()
        elif self._reads_response():
            await self._watch_writes_until_ended()
        else:
            return
        if not self._request_ended.is_set():
            client.note_left()
            await self.handle(Closed())

    def _reads_response(self) -> bool:
        """Return whether a client may read a response that has begun."""
        is_whole = self.connection.their_state in WHOLE_REQUEST_STATES
        return self.stream is not None and is_whole and self.connection.our_state is h11.SEND_BODY

    async def _watch_writes_until_ended(self) -> None:
        """Wait for the end of a response whose client has closed its sending side at least.

        Returns early when the client has left: at a reset, or when nothing is written in time.
        """
        client = self._client
        if client is None:
            return
        closed_at = trio.current_time()
        is_written = False
        while not await self._ends_within(RESET_SECONDS):
            if is_written:
                await self._request_ended.wait()
                return
            is_written = client.last_progress_at > closed_at and not client.is_writing
            is_late = trio.current_time() >= closed_at + SILENT_SECONDS
            if is_late and not is_written and not client.is_writing:
                return

    async def _probe_until_ended(self) -> None:
        """Wait for the end of a request whose client has closed its sending side at least.

        Returns early at a reset. A client that closes later without unread bytes resets the
        connection only when something is written, so that probes go on.
        """
        for seconds in itertools.chain(PROBE_SECONDS, itertools.repeat(LATE_PROBE_SECONDS)):
            await self._probe()
            if await self._ends_within(seconds):
                return

    async def _ends_within(self, seconds: float) -> bool:
        """Return whether the request ends, or its connection is reset, within a time."""
        until = trio.current_time() + seconds
        while True:
            with trio.move_on_at(min(until, trio.current_time() + RESET_SECONDS)):
                await self._request_ended.wait()
            if self._request_ended.is_set() or self._is_reset():
                return True
            if trio.current_time() >= until:
                return False

    def _is_reset(self) -> bool:
        """Return whether the connection was reset, where connections are tracked."""
        return self._client is not None and self._client.is_reset()

    async def _probe(self) -> None:
        """Send an interim response, unless the response has begun."""
        if self._awaits_response():
            await self._send_h11_event(
                h11.InformationalResponse(status_code=CONTINUE_STATUS, headers=[])
            )

    async def _close_stream(self) -> None:
        """Note the end of a request; see the library's class."""
        self._request_ended.set()
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
        self._request_ended = trio.Event()
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
