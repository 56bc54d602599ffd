"""Whether an instance has capacity for one more request.

Addresses callers that compete for too few slots: an instance that rejects gets nothing for a while
instead of the next request, which it would reject as well.
"""

from __future__ import annotations

import msgspec

from hopstep.domain.exchanges.backoff import doubled_seconds

FIRST_FULL_SECONDS = 0.2
"""Time without requests after a rejection: one interval of load reports."""

MAX_FULL_SECONDS = 1.6
"""Longest time without requests after consecutive rejections."""


class FullMark:
    """Marks an instance as full after it has rejected a request for lack of capacity."""

    def __init__(self) -> None:
        """Start without a rejection."""
        self._until = -float("inf")
        self._rejections = 0

    def note_rejected(self, now: float) -> bool:
        """Note a rejection; return whether the instance wasn't marked already.

        Rejections while it is marked are of requests sent before, and don't prolong the mark.

        Args:
            now: Steady clock, seconds.
        """
        if self.is_set(now):
            return False
        seconds = doubled_seconds(FIRST_FULL_SECONDS, self._rejections, MAX_FULL_SECONDS)
        self._rejections += 1
        self._until = now + seconds
        return True

    def clear(self) -> None:
        """Note that the instance has begun to answer a request."""
        self._until = -float("inf")
        self._rejections = 0

    def is_set(self, now: float) -> bool:
        """Return whether the instance counts as full."""
        return now < self._until


class CapacityNeed(msgspec.Struct, frozen=True):
    """What a request needs at an instance.

    Attributes:
        tokens: Memory in tokens that it takes until its end; 0 for services without prompts.
        urgent: Whether its priority is above the least urgent one of its service.
    """

    tokens: int = 0
    urgent: bool = False


def queue_allowance(slots: int, *, urgent: bool) -> int:
    """Return how many requests beyond its slots an instance may be sent.

    An engine must not idle while load reports are on their way, and requests in its own queue can't
    be sent elsewhere any more. More urgent requests get twice the allowance, so that less urgent
    ones never keep them out.
    """
    return 2 * slots if urgent else slots
