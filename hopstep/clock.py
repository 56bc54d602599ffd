"""The clocks of a process. Nothing else in hopstep reads one; a lint rule holds that.

The event loop runs on ``SuspensionClock``, so every age, lease, deadline and timer counts the time
in which the machine was suspended. The time of day may step in either direction. It is used for
log lines, for the start of a process as others see it, where routers compare ages of claims and of
signed messages with each other's clocks, and for the date in an answer; for nothing that a bound
rests on.
"""

from __future__ import annotations

import time

import trio.abc

STEADY_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
"""Never steps back, and on Linux counts suspension, which the ordinary steady clock does not."""


def steady_seconds() -> float:
    """Return the steady time in seconds, from an arbitrary beginning."""
    return time.clock_gettime(STEADY_CLOCK)


def time_of_day_seconds() -> float:
    """Return the seconds since the epoch; they may step in either direction."""
    return time.time()


class SuspensionClock(trio.abc.Clock):
    """The event loop's clock.

    The kernel's timers stand still with the machine. A loop that waits for one goes on waiting for
    what is left of it, so something has to wait for short times only: each process looks at the
    clock every quarter of a second at least. Once it runs, whatever is overdue ends before any task
    goes on.
    """

    def start_clock(self) -> None:
        """Do nothing: the clock runs already."""

    def current_time(self) -> float:
        """Return the steady time in seconds."""
        return steady_seconds()

    def deadline_to_sleep_time(self, deadline: float) -> float:
        """Return the seconds until a deadline."""
        return deadline - steady_seconds()
