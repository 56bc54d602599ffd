"""Model of the weight store without I/O: rate-limited, slower under many concurrent loads."""

from __future__ import annotations

RATE_WINDOW_SECONDS = 1.0


class LoadRefusedError(Exception):
    """The rate limit refuses a load; it can be retried later."""


class WeightStoreModel:
    """Grants loads; beyond a number of concurrent loads, each further one takes longer."""

    def __init__(
        self, load_seconds: float, concurrent_loads: int, loads_per_second: int = 0
    ) -> None:
        """Create a store without running loads.

        Args:
            load_seconds: Duration of a single load.
            concurrent_loads: Concurrent loads that don't slow each other down.
            loads_per_second: Loads that may begin per second; 0 for no limit.
        """
        self._load_seconds = load_seconds
        self._concurrent_loads = concurrent_loads
        self._loads_per_second = loads_per_second
        self._begins: list[float] = []
        self._ends: list[float] = []

    def begin_load(self, now: float) -> float:
        """Begin a load at ``now`` and return its duration in seconds.

        Raises:
            LoadRefusedError: When too many loads began within the last second.
        """
        self._begins = [begin for begin in self._begins if begin > now - RATE_WINDOW_SECONDS]
        if 0 < self._loads_per_second <= len(self._begins):
            raise LoadRefusedError
        self._begins.append(now)
        self._ends = [end for end in self._ends if end > now]
        load_ratio = (len(self._ends) + 1) / self._concurrent_loads
        seconds = self._load_seconds * max(1.0, load_ratio)
        self._ends.append(now + seconds)
        return seconds
