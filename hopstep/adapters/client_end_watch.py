"""Finds out whether a client that has closed its sending side still reads its response.

A client may close its sending side and wait for its response. Reading can't tell that from a closed
connection, but writing can: a peer that has closed its socket resets the connection. So interim
responses are sent until the connection is reset or the response has begun, whose own writes tell
the same.
"""

from __future__ import annotations

import itertools
from collections.abc import Awaitable, Callable
from typing import Protocol

import trio
from hypercorn.trio.worker_context import EventWrapper

from hopstep.ports.exchange_front import ClientConnection

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


class WatchedExchange(Protocol):
    """The request under way on a connection, as its server sees it."""

    @property
    def tracked_client(self) -> ClientConnection | None:
        """The connection, where connections are tracked."""

    def awaits_response(self) -> bool:
        """Return whether the client may wait for a response of which nothing was sent yet."""

    def reads_response(self) -> bool:
        """Return whether the client may read a response that has begun."""

    async def probe(self) -> None:
        """Send an interim response, unless the response has begun."""


class ClientEndWatch:
    """Distinguishes clients that have left from those that have closed their sending side only."""

    def __init__(self, exchange: WatchedExchange) -> None:
        """Start without a request.

        Args:
            exchange: The requests of one connection, one after the other.
        """
        self._exchange = exchange
        self._request_ended = trio.Event()

    @property
    def has_request_ended(self) -> bool:
        """Whether the request under way has its whole response."""
        return self._request_ended.is_set()

    def begin_request(self) -> None:
        """Note the start of a request."""
        self._request_ended = trio.Event()

    def end_request(self) -> None:
        """Note the end of a request."""
        self._request_ended.set()

    async def wait_until_ended(self) -> bool:
        """Wait for the end of a request whose client has closed its sending side at least.

        Returns early when the client has left.

        Returns:
            False at once where no whole request is under way.
        """
        if self._exchange.awaits_response():
            await self._probe_until_ended()
        elif self._exchange.reads_response():
            await self._watch_writes_until_ended()
        else:
            return False
        return True

    async def _watch_writes_until_ended(self) -> None:
        """Wait for the end of a response whose client has closed its sending side at least.

        Returns early when the client has left: at a reset, or when nothing is written in time.
        """
        client = self._exchange.tracked_client
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
            await self._exchange.probe()
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
        client = self._exchange.tracked_client
        return client is not None and client.is_reset()
