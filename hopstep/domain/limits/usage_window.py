"""Sum of the amounts used within a sliding window, kept in steps of time."""

from __future__ import annotations

from collections import deque

STEP_SECONDS = 0.05
"""Length of a step in seconds. A window of eight seconds has 160 steps: some 20 kB for each tenant
in use."""


class UsageWindow:
    """Amounts used; a step counts until all of it has left the window."""

    def __init__(self, seconds: float) -> None:
        """Start empty.

        Args:
            seconds: Length of the window.
        """
        self._seconds = seconds
        self._steps: deque[list[float]] = deque()
        self._total = 0.0

    def add(self, now: float, amount: float) -> None:
        """Count an amount; a negative one is subtracted from the latest step."""
        if not self._steps or now >= self._steps[-1][0] + STEP_SECONDS:
            self._steps.append([now, 0.0])
        self._steps[-1][1] += amount
        self._total += amount

    def total(self, now: float) -> float:
        """Return the amount used within the window."""
        while self._steps and self._steps[0][0] + STEP_SECONDS <= now - self._seconds:
            self._total -= self._steps.popleft()[1]
        return max(0.0, self._total)

    def since(self, at: float) -> float:
        """Return the amount used after a time, and in the step of that time."""
        return sum(amount for start, amount in self._steps if start + STEP_SECONDS > at)

    @property
    def is_empty(self) -> bool:
        """Whether no step is held, as of the last call of ``total``."""
        return not self._steps
