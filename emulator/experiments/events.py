"""Event queue in virtual time; simultaneous events run in the order of scheduling."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable

Action = Callable[[], None]


class EventQueue:
    """Runs scheduled actions in virtual time."""

    def __init__(self) -> None:
        """Create an empty queue at time 0."""
        self.now = 0.0
        self._order = itertools.count()
        self._heap: list[tuple[float, int, Action]] = []

    def at(self, time: float, action: Action) -> None:
        """Schedule an action at a time; one in the past counts as now."""
        heapq.heappush(self._heap, (max(time, self.now), next(self._order), action))

    def after(self, seconds: float, action: Action) -> None:
        """Schedule an action after a delay in seconds."""
        self.at(self.now + seconds, action)

    def run(self, until: float) -> None:
        """Run all actions scheduled at or before ``until``, and advance time to it."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, action = heapq.heappop(self._heap)
            action()
        self.now = until
