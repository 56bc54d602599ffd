"""Counts the most events within any time window of a given length."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable


def most_within(times: Iterable[float], seconds: float) -> int:
    """Return the largest number of ``times``, in any order, within a window of ``seconds``."""
    most = 0
    window: deque[float] = deque()
    for at in sorted(times):
        window.append(at)
        while window[0] <= at - seconds:
            window.popleft()
        most = max(most, len(window))
    return most
