"""Detects pauses of this process, so that they don't count as time without a response of others.

A process that was frozen, or got no processor time, finds its timers overdue and unread bytes in
its sockets. Code that detects unresponsive peers by timeout checks for a pause first, and restarts
its timeout. Deadlines of clients and leases aren't moved: time passed for them.

The checks are the node's tick as well: other tasks that run five times a second wait for them, so
that an idle process wakes once for all of them.
"""

from __future__ import annotations

import random
from collections.abc import Callable

import trio

from hopstep.domain.loop_delays import LoopDelays
from hopstep.log_events.process import PROCESS_PAUSED
from hopstep.logs import emit

CHECK_SECONDS = 0.2
"""Seconds between two checks of the clock."""

SPREAD = 0.1
"""Fraction by which the time between two checks varies."""

PAUSE_SECONDS = 0.6
"""A check at least this many seconds after the last one shows a pause, not a busy loop."""

READING_SECONDS = 0.3
"""Seconds after a pause for reading the data that arrived during it."""

Listener = Callable[[float], None]


class PauseWatch:
    """Detects pauses by periodic checks of the clock.

    Attributes:
        delays: How late these checks were, which is how late the event loop was.
    """

    def __init__(self, generator: random.Random | None = None) -> None:
        """Start now. Must be called inside the event loop.

        Args:
            generator: Spreads the checks of nodes that started together; None for a fixed interval.
        """
        self.delays = LoopDelays()
        self._generator = generator
        self._checked_at = trio.current_time()
        self._reading_until = -float("inf")
        self._listeners: list[Listener] = []
        self._looked = trio.Event()
        self._due_at = float("inf")

    def longest_delay_since(self, since: float) -> float:
        """Return the longest delay of the event loop since a time, the current one included."""
        return max(trio.current_time() - self._due_at, self.delays.longest_since(since))

    def on_pause(self, listener: Listener) -> None:
        """Call a listener after each pause with the seconds to add to its timestamps."""
        self._listeners.append(listener)

    @property
    def has_just_ended(self) -> bool:
        """Whether a pause ended so recently that data from it may still be unread."""
        self.check()
        return trio.current_time() < self._reading_until

    def check(self) -> None:
        """Check the clock for a pause; call this before a timeout of others is evaluated."""
        now = trio.current_time()
        seconds = now - self._checked_at
        self._checked_at = now
        if seconds < PAUSE_SECONDS:
            return
        self._reading_until = now + READING_SECONDS
        emit(PROCESS_PAUSED, seconds=round(seconds, 3))
        for listener in self._listeners:
            listener(seconds + READING_SECONDS)

    async def run(self) -> None:
        """Check until cancelled."""
        while True:
            spread = self._generator.uniform(-SPREAD, SPREAD) if self._generator else 0.0
            self._due_at = trio.current_time() + CHECK_SECONDS * (1.0 + spread)
            await trio.sleep_until(self._due_at)
            self.delays.note(self._due_at, trio.current_time())
            self.check()
            self._looked.set()
            self._looked = trio.Event()

    async def wait_check(self) -> None:
        """Wait for the next check of the clock."""
        await self._looked.wait()
