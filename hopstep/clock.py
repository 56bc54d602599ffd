"""The clocks of a process. A lint rule forbids reading a clock elsewhere in hopstep.

The event loop runs on ``SuspensionClock``, so every age, lease, deadline and timer counts the time
in which the machine was suspended. The time of day may step in either direction. It is used for
log lines, for the start time of a process as others see it, where routers compare ages of claims
and of signed messages with each other's clocks, and for the date in a response; no guaranteed
bound depends on it.
"""

from __future__ import annotations

import time

import trio.abc

STEADY_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
"""Never steps back; on Linux it counts time in suspension, which ``CLOCK_MONOTONIC`` does not."""


def steady_seconds() -> float:
    """Return the steady time in seconds since an arbitrary origin."""
    return time.clock_gettime(STEADY_CLOCK)


def time_of_day_seconds() -> float:
    """Return the seconds since the epoch, which may step in either direction."""
    return time.time()


class SuspensionClock(trio.abc.Clock):
    """The event loop's clock.

    The kernel's timers stop while the machine is suspended, and a loop that waits for one goes on
    waiting for its remaining time. So some task must only wait for short times: each process reads
    the clock at least every quarter of a second. When it resumes, all overdue timers fire before
    any task continues.
    """

    def start_clock(self) -> None:
        """Do nothing: the clock is already running."""

    def current_time(self) -> float:
        """Return the steady time in seconds."""
        return steady_seconds()

    def deadline_to_sleep_time(self, deadline: float) -> float:
        """Return the seconds until a deadline."""
        return deadline - steady_seconds()
