"""Planned stop of a node: stop taking requests, let the active ones end, then exit.

A second stop changes nothing. A stopping node reports at once that it isn't ready, so that load
balancers use other nodes. Requests that it no longer accepts are refused as not run with
``Retry-After``.

A request is active from its first byte to the end of its response. The drain ends when none is
active, or at its latest time; from then on nothing more is sent to instances, as connections close.
Requests that still run shortly before the connections are closed are cancelled, so that each gets
an answer.
"""

from __future__ import annotations

import contextlib
from collections.abc import Iterator
from typing import Protocol

import trio

from hopstep.domain.stop_schedule import StopSchedule
from hopstep.exceptions import ErrorCode, ServiceError
from hopstep.log_events.process import DRAIN_CUT_SHORT, DRAIN_ENDED, PROCESS_STOPPING
from hopstep.logs import emit

STOPPING_RETRY_AFTER_SECONDS = 1.0

MIN_REFUSING_SECONDS = 0.3
"""Shortest time for which a stopping node goes on answering refusals.

Requests that were in transit on kept-alive connections when the stop began get an answer instead
of a closed connection.
"""


class ConfigurationSource(Protocol):
    """Holder of the configuration in force."""

    @property
    def current(self) -> object | None:
        """The configuration in force, or None before the first."""


class Lifecycle:
    """Counts active requests and controls the planned stop of a node.

    Attributes:
        schedule: Stages of a planned stop.
    """

    def __init__(self, holder: ConfigurationSource, schedule: StopSchedule) -> None:
        """Start without active requests and without a stop.

        Args:
            holder: A node is ready as soon as it has a configuration.
            schedule: Stages of a planned stop.
        """
        self.schedule = schedule
        self._holder = holder
        self._refuse_at = float("inf")
        self._refuses_all = False
        self._drain_until = float("inf")
        self._stopped_at = 0.0
        self._is_drained = False
        self._running: set[trio.CancelScope] = set()
        self._active = 0
        self._idle = trio.Event()
        self._idle.set()
        self._stopping = trio.Event()

    @property
    def active_requests(self) -> int:
        """Number of requests without a complete response."""
        return self._active

    @property
    def stopping(self) -> bool:
        """Whether a stop was requested."""
        return self._stopping.is_set()

    @property
    def is_drained(self) -> bool:
        """Whether the drain has ended, so that connections close."""
        return self._is_drained

    @property
    def ready(self) -> bool:
        """Whether callers should be sent here: configured and not stopping."""
        return self._holder.current is not None and not self.stopping

    def check_serving(
        self, longest_seconds: float = float("inf"), expected_seconds: float = 0.0
    ) -> None:
        """Raise ``STOPPING`` if a request may not be served before the drain of a stop ends.

        Args:
            longest_seconds: Longest duration of the request; one that ends before the drain does is
                served until then.
            expected_seconds: Duration that it may well have; if it is too long for the drain, the
                request is refused although the time to accept isn't over.
        """
        now = trio.current_time()
        is_late = now >= self._refuse_at and now + longest_seconds > self._drain_until
        is_too_long = now + min(longest_seconds, expected_seconds) > self._drain_until
        if is_late or is_too_long or self._is_drained or self._refuses_all:
            raise ServiceError(
                ErrorCode.STOPPING,
                "this router is stopping; use another one",
                retry_after_seconds=STOPPING_RETRY_AFTER_SECONDS,
            )

    @contextlib.contextmanager
    def active(self) -> Iterator[None]:
        """Count one request, a part of it, or one task of its clean-up, as active."""
        self._active += 1
        if self._active == 1:
            self._idle = trio.Event()
        try:
            yield
        finally:
            self._active -= 1
            if self._active == 0:
                self._idle.set()

    @contextlib.contextmanager
    def cancelled_by_stop(self, scope: trio.CancelScope) -> Iterator[None]:
        """Let the end of a stop cancel a request that still runs, in time to answer it."""
        self._running.add(scope)
        try:
            yield
        finally:
            self._running.discard(scope)

    async def cancel_remaining(self) -> None:
        """Wait for a stop, and cancel the requests that still run shortly before its end."""
        await self._stopping.wait()
        await trio.sleep_until(self._stopped_at + self.schedule.answer_seconds)
        for scope in tuple(self._running):
            scope.cancel()

    def stop_after_fault(self) -> None:
        """Request a stop that serves only active requests: what the node knows may be outdated."""
        self._refuses_all = True
        self.stop()

    def stop(self) -> None:
        """Request the planned stop; further calls change nothing."""
        if self.stopping:
            return
        emit(PROCESS_STOPPING, active_requests=self._active)
        self._stopped_at = trio.current_time()
        self._refuse_at = self._stopped_at + self.schedule.accept_seconds
        self._drain_until = self._stopped_at + self.schedule.drain_seconds
        self._stopping.set()

    async def wait_stopping(self) -> None:
        """Wait until a stop is requested."""
        await self._stopping.wait()

    async def drain(self) -> bool:
        """Wait until no request is active, at most until the drain's latest time.

        Returns:
            True when every request ended by itself.
        """
        with trio.move_on_at(self._drain_until):
            await trio.sleep(self.schedule.accept_seconds + MIN_REFUSING_SECONDS)
            while self._active:
                await self._idle.wait()
        self._is_drained = self.stopping
        seconds = round(trio.current_time() - self._stopped_at, 3)
        emit(DRAIN_ENDED, seconds=seconds, active_requests=self._active)
        if self._active:
            emit(DRAIN_CUT_SHORT, active_requests=self._active)
        return self._active == 0
