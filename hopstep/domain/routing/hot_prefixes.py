"""Which prefixes are hot: decayed request counts of a bounded number of prefixes."""

from __future__ import annotations

import math

HALF_LIFE_SECONDS = 20.0
"""Time in which the weight of a past request halves."""

MAX_TRACKED_PREFIXES = 512
"""Prefixes with a count; the coldest half is dropped beyond it."""


class HotPrefixes:
    """Decayed counts of requests by prefix head."""

    def __init__(
        self,
        half_life_seconds: float = HALF_LIFE_SECONDS,
        max_tracked: int = MAX_TRACKED_PREFIXES,
    ) -> None:
        """Start empty.

        Args:
            half_life_seconds: Time in which the weight of a past request halves.
            max_tracked: Prefixes with a count.
        """
        self._decay = math.log(2.0) / half_life_seconds
        self._max_tracked = max_tracked
        self._counts: dict[int, tuple[float, float]] = {}

    def __len__(self) -> int:
        """Return the number of prefixes with a count."""
        return len(self._counts)

    def record(self, head: int, now: float) -> None:
        """Count one request for a prefix."""
        self._counts[head] = (self._count(head, now) + 1.0, now)
        if len(self._counts) > self._max_tracked:
            self._drop_coldest(now)

    def requests_per_second(self, head: int, now: float) -> float:
        """Return the decayed rate of requests for a prefix."""
        return self._count(head, now) * self._decay

    def _count(self, head: int, now: float) -> float:
        """Return the decayed count of a prefix."""
        count, counted_at = self._counts.get(head, (0.0, now))
        return count * math.exp(-self._decay * (now - counted_at))

    def _drop_coldest(self, now: float) -> None:
        """Keep the hotter half of the prefixes."""
        hottest_first = sorted(self._counts, key=lambda head: -self._count(head, now))
        kept = hottest_first[: self._max_tracked // 2]
        self._counts = {head: self._counts[head] for head in kept}
