"""Budget of bytes for reading cache events.

Events only refine what the prefix index learns from dispatches and answers, so a router reads as
many as its budget allows and skips the rest. The size of a batch is known only after it was read:
the balance may become negative, and nothing is read until it is positive again.
"""

from __future__ import annotations

BYTES_PER_KEY = 21
"""Bytes of one block key in a batch of events, as engines send it."""


class EventBudget:
    """A rate of bytes with a balance of at most one second of it."""

    def __init__(self, bytes_per_second: float, now: float) -> None:
        """Start with a full balance.

        Args:
            bytes_per_second: Rate; 0 allows no reading at all.
            now: Time in seconds.
        """
        self._rate = bytes_per_second
        self._balance = bytes_per_second
        self._updated_at = now

    def allows(self, now: float) -> bool:
        """Return whether a batch may be read now."""
        earned = self._rate * (now - self._updated_at)
        self._balance = min(self._rate, self._balance + earned)
        self._updated_at = now
        return self._balance > 0.0

    def spend(self, keys: int) -> None:
        """Subtract a batch that was read.

        Args:
            keys: Block keys in it.
        """
        self._balance -= keys * BYTES_PER_KEY
