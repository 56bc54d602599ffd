"""The most events within any span of a given length."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable


def most_within(times: Iterable[float], seconds: float) -> int:
    """Return the most of some times, in any order, that lie within a span of ``seconds``."""
    most = 0
    span: deque[float] = deque()
    for at in sorted(times):
        span.append(at)
        while span[0] <= at - seconds:
            span.popleft()
        most = max(most, len(span))
    return most
