"""Virtual time: a queue of events in order of time, then of their scheduling."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable

Action = Callable[[], None]


class EventQueue:
    """Runs scheduled actions in virtual time."""

    def __init__(self) -> None:
        """Start at time 0 with nothing scheduled."""
        self.now = 0.0
        self._order = itertools.count()
        self._heap: list[tuple[float, int, Action]] = []

    def at(self, time: float, action: Action) -> None:
        """Schedule an action; a time in the past means now."""
        heapq.heappush(self._heap, (max(time, self.now), next(self._order), action))

    def after(self, seconds: float, action: Action) -> None:
        """Schedule an action some time from now."""
        self.at(self.now + seconds, action)

    def run(self, until: float) -> None:
        """Run everything that is scheduled at or before ``until``."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, action = heapq.heappop(self._heap)
            action()
        self.now = until
