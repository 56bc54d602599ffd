"""How long requests of each route have lasted lately, as a bound for those that are taken now."""

from __future__ import annotations

import math

import msgspec

PERIOD_SECONDS = 30.0
"""The longest durations of the current and of the last period count."""

SAFETY_FACTOR = 2.0
"""Multiple of the longest duration within which a further request is expected to end."""

MIN_EXPECTED_SECONDS = 0.5
"""Shortest expected duration, however short the last ones were."""

NONE = -1.0
"""Duration that stands for no request."""


class _Longest(msgspec.Struct):
    """Longest durations of one route, in seconds; ``NONE`` without a request.

    Attributes:
        began_at: Start of the current period, by the steady clock.
        current: Longest duration in it.
        previous: Longest duration in the period before.
    """

    began_at: float
    current: float = NONE
    previous: float = NONE

    def advance(self, now: float) -> None:
        """Begin another period if the current one is over."""
        periods = math.floor((now - self.began_at) / PERIOD_SECONDS)
        if periods < 1:
            return
        self.previous = self.current if periods == 1 else NONE
        self.current = NONE
        self.began_at += periods * PERIOD_SECONDS


class RouteDurations:
    """Longest durations of requests by route; the configuration bounds the number of routes."""

    def __init__(self) -> None:
        """Start without requests."""
        self._routes: dict[str, _Longest] = {}

    def note(self, route: str, seconds: float, now: float) -> None:
        """Note a request that was sent to an instance and has ended."""
        longest = self._routes.setdefault(route, _Longest(now))
        longest.advance(now)
        longest.current = max(seconds, longest.current)

    def expected_seconds(self, route: str, now: float) -> float:
        """Return the time within which a request should end; infinity where none has lately."""
        longest = self._routes.get(route)
        if longest is None:
            return math.inf
        longest.advance(now)
        seconds = max(longest.current, longest.previous)
        if seconds == NONE:
            return math.inf
        return max(MIN_EXPECTED_SECONDS, SAFETY_FACTOR * seconds)
