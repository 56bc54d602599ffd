"""Times that double with each consecutive failure."""

from __future__ import annotations

MAX_DOUBLINGS = 16
"""Bounds the exponent: failures of an instance that never answers are counted without end."""


def doubled_seconds(first_seconds: float, doublings: int, longest_seconds: float) -> float:
    """Return a time that has been doubled a number of times, up to the longest.

    Args:
        first_seconds: Time after the first failure.
        doublings: Consecutive failures after the first one.
        longest_seconds: Longest time.
    """
    return min(longest_seconds, first_seconds * 2.0 ** min(MAX_DOUBLINGS, doublings))
