"""Prompts that a node sent to the engines of one service in the last seconds, by route."""

from __future__ import annotations

from collections import deque

import msgspec

WINDOW_SECONDS = 10.0
STEP_SECONDS = 1.0
"""Prompts are counted by steps of this length, so that memory doesn't grow with their number."""


class RouteWork(msgspec.Struct, frozen=True):
    """Prompts of one route.

    Attributes:
        objective_seconds: Target time to the first token.
        requests: Number of prompts.
        prompt_tokens: Sum of their lengths.
        uncached_tokens: Sum of the tokens that engines had to prefill.
    """

    objective_seconds: float
    requests: int
    prompt_tokens: int
    uncached_tokens: int

    @property
    def usual_prompt_tokens(self) -> float:
        """Mean length."""
        return self.prompt_tokens / max(1, self.requests)

    @property
    def usual_uncached_tokens(self) -> float:
        """Mean number of tokens to prefill."""
        return self.uncached_tokens / max(1, self.requests)

    def plus(self, other: RouteWork) -> RouteWork:
        """Return the sum; the other one is later, and its objective holds."""
        return RouteWork(
            other.objective_seconds,
            self.requests + other.requests,
            self.prompt_tokens + other.prompt_tokens,
            self.uncached_tokens + other.uncached_tokens,
        )


WorkByRoute = dict[str, RouteWork]


class _Step(msgspec.Struct, frozen=True):
    """Prompts of one step.

    Attributes:
        began_at: Steady clock, seconds.
        work: Work by name of the route.
    """

    began_at: float
    work: WorkByRoute


class RouteWorkWindow:
    """Prompts of the last ``WINDOW_SECONDS``."""

    def __init__(self) -> None:
        """Start empty."""
        self._steps: deque[_Step] = deque()

    def record(self, route: str, work: RouteWork, now: float) -> None:
        """Count prompts that are sent.

        Args:
            route: Name of their route.
            work: The prompts.
            now: Steady clock, seconds.
        """
        if not self._steps or now - self._steps[-1].began_at >= STEP_SECONDS:
            self._forget(now)
            self._steps.append(_Step(now, {}))
        _add(self._steps[-1].work, route, work)

    def by_route(self, now: float) -> WorkByRoute:
        """Return the sums by name of the route.

        Args:
            now: Steady clock, seconds.
        """
        self._forget(now)
        totals: WorkByRoute = {}
        for step in self._steps:
            for route, work in step.work.items():
                _add(totals, route, work)
        return totals

    def _forget(self, now: float) -> None:
        """Drop the steps that are too old."""
        while self._steps and now - self._steps[0].began_at > WINDOW_SECONDS:
            self._steps.popleft()


def _add(totals: WorkByRoute, route: str, work: RouteWork) -> None:
    """Add work to that of its route."""
    known = totals.get(route)
    totals[route] = known.plus(work) if known is not None else work
