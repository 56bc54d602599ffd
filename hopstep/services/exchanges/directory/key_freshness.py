"""Until when keys may be taken for valid: while no end of one can have gone unnoticed for long."""

from __future__ import annotations

import math

import trio

from hopstep import log_events
from hopstep.exceptions import ErrorCode, ServiceError
from hopstep.logs import emit

MARGIN_SECONDS = 0.6
"""Requests with keys are refused this long before the revocation bound."""

OVERDUE = "overdue"
"""Reason of a lost store whose answer is still waited for when the first request is refused."""

NO_AGE_MS = -1
MILLISECONDS = 1_000


class KeyFreshness:
    """Dates what a node knows of keys.

    Attributes:
        confirmed_at: Before this time no key was taken away without the node's knowledge.
    """

    def __init__(self, revocation_seconds: float) -> None:
        """Know nothing yet.

        Args:
            revocation_seconds: Longest time for which a key may be taken for valid.
        """
        self.confirmed_at = -float("inf")
        self._max_age = revocation_seconds - MARGIN_SECONDS
        self._expired = False

    @property
    def age_seconds(self) -> float:
        """Time since ``confirmed_at``; infinite before the first."""
        return trio.current_time() - self.confirmed_at

    @property
    def shown_age_ms(self) -> int:
        """The age as log lines show it; ``NO_AGE_MS`` when nothing was ever confirmed."""
        age = self.age_seconds
        return round(age * MILLISECONDS) if math.isfinite(age) else NO_AGE_MS

    @property
    def is_fresh(self) -> bool:
        """Whether keys may still be taken for valid."""
        return self.age_seconds <= self._max_age

    def require(self) -> None:
        """Raise ``ISOLATED`` when keys may have been revoked without this node's knowledge."""
        if not self.is_fresh:
            self._note_expired()
            raise ServiceError(
                ErrorCode.ISOLATED, "this node can't tell whether the key is still valid"
            )

    def confirm(self, confirmed_at: float) -> bool:
        """Take a time by which no key was taken away unnoticed; return whether that made it fresh.

        Args:
            confirmed_at: The time, by this node's steady clock.
        """
        was_fresh = self.is_fresh
        self.confirmed_at = max(self.confirmed_at, confirmed_at)
        if self._expired and self.is_fresh:
            self._expired = False
            emit(log_events.STORE_REGAINED, age_seconds=round(self.age_seconds, 3))
        return self.is_fresh and not was_fresh

    def _note_expired(self) -> None:
        """Log once that the node no longer knows enough."""
        if self._expired:
            return
        self._expired = True
        age = round(self.age_seconds, 3) if math.isfinite(self.age_seconds) else -1.0
        emit(log_events.STORE_LOST, reason=OVERDUE, age_seconds=age)
