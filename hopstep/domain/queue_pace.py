"""How fast each tenant's queued requests are let in, as far as it has been seen.

The order of the queue alone doesn't tell how long a request will wait: requests of other
tenants that come later may go before it, and other routers take room at the same engines. Both
show in the time between two requests of the same tenant that were let in.
"""

from __future__ import annotations

import msgspec

SMOOTHING = 0.1
"""Least weight of the latest interval in the mean; the first ones weigh the same."""

MIN_INTERVALS = 8
"""Intervals before the mean says anything: a short queue's few ones are waits, not a pace."""


class _Pace(msgspec.Struct):
    """What was seen of one queue.

    Attributes:
        entered_at: When the latest request was let in, or the first one began to wait.
        mean_seconds: Mean time between two requests.
        intervals: Intervals that were seen.
    """

    entered_at: float
    mean_seconds: float = 0.0
    intervals: int = 0


class QueuePace:
    """Mean intervals of the tenants that wait, by tenant and priority.

    Memory is bounded by the queue: call ``forget`` when nothing of a tenant waits any more.
    """

    def __init__(self) -> None:
        self._paces: dict[tuple[str, int], _Pace] = {}

    def __len__(self) -> int:
        """Return the number of queues that are remembered."""
        return len(self._paces)

    def begin(self, tenant: str, priority: int, now: float) -> None:
        """Note that a request begins to wait."""
        self._paces.setdefault((tenant, priority), _Pace(now))

    def record_entry(self, tenant: str, priority: int, now: float) -> None:
        """Note that a waiting request was let in."""
        pace = self._paces.setdefault((tenant, priority), _Pace(now))
        interval = now - pace.entered_at
        pace.entered_at = now
        pace.intervals += 1
        weight = max(SMOOTHING, 1.0 / pace.intervals)
        pace.mean_seconds += weight * (interval - pace.mean_seconds)

    def forget(self, tenant: str, priority: int) -> None:
        """Forget a queue that is empty."""
        self._paces.pop((tenant, priority), None)

    def expected_wait(self, tenant: str, priority: int, waiting: int, now: float) -> float:
        """Return the seconds until a new request behind ``waiting`` of its own is let in.

        Args:
            tenant: Its tenant.
            priority: Its priority.
            waiting: Requests of the same tenant and priority that wait.
            now: Time.

        Returns:
            0 when too little is known; no less than the time since the latest one was let in.
        """
        pace = self._paces.get((tenant, priority))
        if pace is None or pace.intervals < MIN_INTERVALS:
            return 0.0
        return max(pace.mean_seconds * (waiting + 1), now - pace.entered_at)
