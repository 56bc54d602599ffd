"""How honest requests fare beside those that end instances: measured, not judged."""

from __future__ import annotations

import statistics
from collections.abc import Sequence

import msgspec

from emulator.soak.history import History, SentRequest

AFTER_SECONDS = 1.0
"""Requests that are sent so soon after a fatal one count as beside it."""

SERVED = 200
MILLISECONDS = 1_000.0


class RequestOutcomes(msgspec.Struct, frozen=True):
    """How some requests fared.

    Attributes:
        requests: How many.
        served_share: Share that was answered whole.
        head_ms: Median time to the head of a served answer.
    """

    requests: int
    served_share: float
    head_ms: float

    def __str__(self) -> str:
        """Return it as part of a line."""
        return f"{self.requests} requests, {self.served_share:.3f} served, {self.head_ms:.0f} ms"


class FatalImpact(msgspec.Struct, frozen=True):
    """Honest requests while fatal ones come, and at other times."""

    during_fatal: RequestOutcomes
    otherwise: RequestOutcomes

    def __str__(self) -> str:
        """Return it as a line."""
        return (
            f"honest requests beside fatal ones: {self.during_fatal}; otherwise: {self.otherwise}"
        )


def measure_fatal_impact(history: History) -> FatalImpact:
    """Return how honest requests fared with fatal ones under way and without."""
    fatal = [request.sent_at for request in history.requests.values() if request.fatal]
    honest = [r for r in history.requests.values() if not (r.fatal or r.left or r.path)]
    during_fatal = [r for r in honest if _is_during_fatal(r.sent_at, fatal)]
    others = [r for r in honest if not _is_during_fatal(r.sent_at, fatal)]
    return FatalImpact(_outcomes(during_fatal), _outcomes(others))


def _is_during_fatal(at: float, fatal: Sequence[float]) -> bool:
    """Return whether a fatal request was sent shortly before a time."""
    return any(at - AFTER_SECONDS <= sent_at <= at for sent_at in fatal)


def _outcomes(requests: Sequence[SentRequest]) -> RequestOutcomes:
    """Return how requests fared."""
    served = [r for r in requests if r.whole and r.status == SERVED]
    heads = [(r.head_at - r.sent_at) * MILLISECONDS for r in served if r.head_at is not None]
    share = len(served) / len(requests) if requests else 0.0
    return RequestOutcomes(len(requests), share, statistics.median(heads) if heads else 0.0)
