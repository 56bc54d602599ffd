"""The pure model of the weight store: rate-limited, and slower when many loads run at once."""

from __future__ import annotations

RATE_WINDOW_SECONDS = 1.0


class LoadRefusedError(Exception):
    """The rate limit refuses a load; it may be asked for again later."""


class WeightStoreModel:
    """Grants loads; each takes longer the more run beside it past a bound."""

    def __init__(
        self, load_seconds: float, concurrent_loads: int, loads_per_second: int = 0
    ) -> None:
        """Start with no load under way.

        Args:
            load_seconds: Time of a load alone.
            concurrent_loads: Loads that run at once without slowing each other.
            loads_per_second: Loads that may begin within a second; 0 for no limit.
        """
        self._load_seconds = load_seconds
        self._concurrent_loads = concurrent_loads
        self._loads_per_second = loads_per_second
        self._begins: list[float] = []
        self._ends: list[float] = []

    def begin_load(self, now: float) -> float:
        """Begin a load at ``now`` and return the seconds that it takes.

        Raises:
            LoadRefusedError: When too many loads began within the last second.
        """
        self._begins = [begin for begin in self._begins if begin > now - RATE_WINDOW_SECONDS]
        if 0 < self._loads_per_second <= len(self._begins):
            raise LoadRefusedError
        self._begins.append(now)
        self._ends = [end for end in self._ends if end > now]
        share = (len(self._ends) + 1) / self._concurrent_loads
        seconds = self._load_seconds * max(1.0, share)
        self._ends.append(now + seconds)
        return seconds
