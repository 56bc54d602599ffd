"""A sequence of equal steps of an emulated engine."""

from __future__ import annotations

import math

CLOCK_TOLERANCE_SECONDS = 1e-9
"""Tolerance for clock rounding, so that a wake-up at a step's end counts the step as done."""

NEVER = math.inf


class StepSegment:
    """Equal steps in progress; none when the engine is idle."""

    def __init__(self) -> None:
        """Start idle."""
        self._start = 0.0
        self._step_seconds = 0.0
        self.steps = 0

    def begin(self, now: float, steps: int, step_seconds: float) -> None:
        """Begin ``steps`` steps; 0 when idle."""
        self._start = now
        self._step_seconds = step_seconds
        self.steps = steps

    @property
    def end(self) -> float:
        """When the last step ends; infinite when idle."""
        if not self.steps:
            return NEVER
        return self._start + self.steps * self._step_seconds

    def steps_done(self, now: float) -> int:
        """Return the number of steps that have ended; the last one isn't counted."""
        if self.steps <= 1:
            return 0
        elapsed = now - self._start + CLOCK_TOLERANCE_SECONDS
        return max(0, min(self.steps - 1, int(elapsed / self._step_seconds)))

    def next_step_end(self, now: float) -> float:
        """Return when the present step ends; infinite when idle."""
        next_step = self.steps_done(now) + 1
        if next_step >= self.steps:
            return self.end
        return self._start + next_step * self._step_seconds

    def cut(self, now: float) -> None:
        """Make the present step the last one."""
        self.steps = self.steps_done(now) + 1

    def shift(self, seconds: float) -> None:
        """Delay the steps by ``seconds``."""
        self._start += seconds
