"""Bounds how long the node accepts API keys without a confirmation that none was revoked."""

from __future__ import annotations

import math

import trio

from hopstep.exceptions import ErrorCode, ServiceError
from hopstep.log_events.configuration import STORE_LOST, STORE_REGAINED
from hopstep.logs import emit

MARGIN_SECONDS = 0.6
"""Requests with keys are refused this many seconds before the revocation bound."""

OVERDUE = "overdue"
"""Logged reason of a lost store while the node still waits for its answer."""

NO_AGE_MS = -1
MILLISECONDS = 1_000


class KeyFreshness:
    """Keeps the time up to which the node's view of keys is confirmed.

    Attributes:
        confirmed_at: Steady clock, seconds: the node has all revocations made before this time.
    """

    def __init__(self, revocation_seconds: float) -> None:
        """Start unconfirmed.

        Args:
            revocation_seconds: Longest time for which a revoked key may still be accepted.
        """
        self.confirmed_at = -float("inf")
        self._max_age = revocation_seconds - MARGIN_SECONDS
        self._expired = False

    @property
    def age_seconds(self) -> float:
        """Time since ``confirmed_at``; infinite before the first confirmation."""
        return trio.current_time() - self.confirmed_at

    @property
    def shown_age_ms(self) -> int:
        """The age for the log, in milliseconds; ``NO_AGE_MS`` before the first confirmation."""
        age = self.age_seconds
        return round(age * MILLISECONDS) if math.isfinite(age) else NO_AGE_MS

    @property
    def is_fresh(self) -> bool:
        """Whether keys may still be accepted."""
        return self.age_seconds <= self._max_age

    def require(self) -> None:
        """Raise ``ServiceError`` (``ISOLATED``) if keys may have been revoked unnoticed."""
        if not self.is_fresh:
            self._note_expired()
            raise ServiceError(
                ErrorCode.ISOLATED, "this node can't tell whether the key is still valid"
            )

    def confirm(self, confirmed_at: float) -> bool:
        """Confirm keys as of a time; return whether they became fresh by that.

        Args:
            confirmed_at: Time of the confirmation, by this node's steady clock.
        """
        was_fresh = self.is_fresh
        self.confirmed_at = max(self.confirmed_at, confirmed_at)
        if self._expired and self.is_fresh:
            self._expired = False
            emit(STORE_REGAINED, age_seconds=round(self.age_seconds, 3))
        return self.is_fresh and not was_fresh

    def _note_expired(self) -> None:
        """Log once that the confirmation of keys is too old."""
        if self._expired:
            return
        self._expired = True
        age = round(self.age_seconds, 3) if math.isfinite(self.age_seconds) else -1.0
        emit(STORE_LOST, reason=OVERDUE, age_seconds=age)
