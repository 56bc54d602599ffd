"""Observed rate at which each tenant's queued requests are admitted.

The queue's order alone doesn't determine how long a request waits: later requests of other tenants
may be served before it, and other routers use capacity of the same engines. Both affect the time
between two admitted requests of the same tenant.
"""

from __future__ import annotations

import msgspec

SMOOTHING = 0.1
"""Lowest weight of the latest interval in the mean; the first intervals have equal weights."""

MIN_INTERVALS = 8
"""Intervals needed for a mean: the few ones of a short queue are waits, not a rate."""

MAX_AGE_SECONDS = 10.0
"""Age of the latest admission from which observations of an emptied queue no longer count."""


class _Pace(msgspec.Struct):
    """Observations of one queue.

    Attributes:
        entered_at: When the latest request was admitted, or the first one began to wait.
        mean_seconds: Mean time between two admitted requests.
        intervals: Number of observed intervals.
        paused: Whether the queue is empty, so that the time until its next request doesn't count.
    """

    entered_at: float
    mean_seconds: float = 0.0
    intervals: int = 0
    paused: bool = False


class QueuePace:
    """Mean admission intervals of the waiting tenants, by tenant and priority.

    Memory is bounded by the queue: call ``forget`` when a tenant has no waiting requests any more,
    or ``pause`` where the number of names is bounded.
    """

    def __init__(self) -> None:
        self._paces: dict[tuple[str, int], _Pace] = {}

    def __len__(self) -> int:
        """Return the number of recorded queues."""
        return len(self._paces)

    def begin(self, tenant: str, priority: int, now: float) -> None:
        """Note that a request begins to wait."""
        pace = self._paces.setdefault((tenant, priority), _Pace(now))
        if not pace.paused:
            return
        if now - pace.entered_at > MAX_AGE_SECONDS:
            self._paces[tenant, priority] = _Pace(now)
            return
        pace.paused = False
        pace.entered_at = now

    def record_entry(self, tenant: str, priority: int, now: float) -> None:
        """Note that a waiting request was admitted."""
        pace = self._paces.setdefault((tenant, priority), _Pace(now))
        interval = now - pace.entered_at
        pace.entered_at = now
        pace.intervals += 1
        weight = max(SMOOTHING, 1.0 / pace.intervals)
        pace.mean_seconds += weight * (interval - pace.mean_seconds)

    def pause(self, tenant: str, priority: int) -> None:
        """Keep the observations of an empty queue until its next request, if that comes soon."""
        pace = self._paces.get((tenant, priority))
        if pace is not None:
            pace.paused = True

    def forget(self, tenant: str, priority: int) -> None:
        """Drop the observations of an empty queue."""
        self._paces.pop((tenant, priority), None)

    def expected_wait(self, tenant: str, priority: int, waiting: int, now: float) -> float:
        """Return the expected seconds until a new request is admitted.

        Args:
            tenant: Its tenant.
            priority: Its priority.
            waiting: Number of waiting requests of the same tenant and priority.
            now: Time.

        Returns:
            0 with too few observations; otherwise at least the time since the latest admission.
        """
        pace = self._paces.get((tenant, priority))
        if pace is None or pace.intervals < MIN_INTERVALS:
            return 0.0
        return max(pace.mean_seconds * (waiting + 1), now - pace.entered_at)
