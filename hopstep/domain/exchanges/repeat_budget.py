"""A node's share of the retries that all nodes together may make for a service.

In every window the repeats of all nodes must stay under ``ratio`` times the requests plus a
constant. Each node keeps this bound for its own requests and its part of the constant, so the sum
holds even when nodes can't reach each other.
"""

from __future__ import annotations

from collections import deque

import msgspec


class RepeatBounds(msgspec.Struct, frozen=True):
    """Bounds for all nodes together.

    Attributes:
        ratio: Allowed repeats for each request.
        extra: Further repeats that are allowed in each window.
        window_seconds: Length of the window.
    """

    ratio: float = 0.2
    extra: float = 50.0
    window_seconds: float = 10.0


SAFETY = 0.8
"""Part of the bounds that is used: a restarted node has lost the count of its repeats."""


class RepeatBudget:
    """Counts one service's requests and repeats of this node over a sliding window."""

    def __init__(self, bounds: RepeatBounds) -> None:
        """Start with an empty window.

        Args:
            bounds: Bounds over all nodes.
        """
        self._bounds = bounds
        self._requests: deque[float] = deque()
        self._repeats: deque[float] = deque()

    def record_request(self, now: float) -> None:
        """Count a client's request."""
        self._requests.append(now)
        self._forget(now)

    def allows(self, now: float, nodes: int) -> bool:
        """Return whether one more repeat is within this node's share.

        Args:
            now: Steady clock, seconds.
            nodes: Nodes that may be alive, this one included.
        """
        self._forget(now)
        share = self._bounds.extra / max(1, nodes) + self._bounds.ratio * len(self._requests)
        return len(self._repeats) + 1 <= SAFETY * share

    def record_repeat(self, now: float) -> None:
        """Count a repeat."""
        self._repeats.append(now)

    def _forget(self, now: float) -> None:
        """Drop times before the window."""
        start = now - self._bounds.window_seconds
        for times in (self._requests, self._repeats):
            while times and times[0] < start:
                times.popleft()
