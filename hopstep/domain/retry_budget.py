"""Limits retries to a share of first attempts, so that retries don't amplify an outage."""

from __future__ import annotations

FLOOR_RETRIES_PER_SECOND = 0.5
"""Rate of retries that is allowed regardless of first attempts."""

MAX_SAVED_RETRIES = 32.0
"""Capacity of the bucket: retries that may be made at once after a time without any."""


class RetryBudget:
    """A token bucket that first attempts fill and retries empty.

    Over any span of ``seconds`` with ``n`` first attempts there are at most
    ``ratio * n + FLOOR_RETRIES_PER_SECOND * seconds + MAX_SAVED_RETRIES`` retries.

    Args:
        now: Time in seconds.
    """

    def __init__(self, now: float) -> None:
        self._saved = MAX_SAVED_RETRIES
        self._refilled_at = now

    def record_first_attempt(self, ratio: float) -> None:
        """Add the share of a retry that one first attempt allows.

        Args:
            ratio: Retries allowed for each first attempt (``RoutingPolicy.retry_ratio``).
        """
        self._save(ratio)

    def allows(self, now: float) -> bool:
        """Return whether a retry is allowed at ``now``."""
        self._refill(now)
        return self._saved >= 1.0

    def take(self, now: float) -> bool:
        """Take one retry from the bucket; return whether it was allowed."""
        if not self.allows(now):
            return False
        self._saved -= 1.0
        return True

    def _refill(self, now: float) -> None:
        """Add the retries that the floor rate allows since the last call."""
        elapsed = max(0.0, now - self._refilled_at)
        self._refilled_at = now
        self._save(elapsed * FLOOR_RETRIES_PER_SECOND)

    def _save(self, retries: float) -> None:
        """Add to the bucket up to its capacity."""
        self._saved = min(MAX_SAVED_RETRIES, self._saved + retries)
