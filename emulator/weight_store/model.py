"""The pure model of the weight store: loads take longer when many run at once."""

from __future__ import annotations


class WeightStoreModel:
    """Grants loads; each takes longer the more run beside it past a bound."""

    def __init__(self, load_seconds: float, concurrent_loads: int) -> None:
        """Start with no load under way.

        Args:
            load_seconds: Time of a load alone.
            concurrent_loads: Loads that run at once without slowing each other.
        """
        self._load_seconds = load_seconds
        self._concurrent_loads = concurrent_loads
        self._ends: list[float] = []

    def begin_load(self, now: float) -> float:
        """Begin a load at ``now`` and return the seconds that it takes."""
        self._ends = [end for end in self._ends if end > now]
        share = (len(self._ends) + 1) / self._concurrent_loads
        seconds = self._load_seconds * max(1.0, share)
        self._ends.append(now + seconds)
        return seconds

    def loads_under_way(self, now: float) -> int:
        """Return how many loads run at ``now``."""
        return sum(1 for end in self._ends if end > now)
