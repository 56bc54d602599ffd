"""Outcomes of ordinary requests while fatal ones are sent, and at other times.

The comparison is reported; no check depends on it.
"""

from __future__ import annotations

import statistics
from collections.abc import Sequence

import msgspec

from emulator.soak.history import History
from emulator.soak.request_records import SentRequest

AFTER_SECONDS = 1.0
"""Time after a fatal request in which other requests count as sent during it."""

SERVED = 200
MILLISECONDS = 1_000.0


class RequestOutcomes(msgspec.Struct, frozen=True):
    """Outcomes of a group of requests.

    Attributes:
        requests: Number of requests.
        served_share: Share with a complete successful response.
        head_ms: Median time to the head of a successful response, in milliseconds.
    """

    requests: int
    served_share: float
    head_ms: float

    def __str__(self) -> str:
        """Return the outcomes as part of a line."""
        return f"{self.requests} requests, {self.served_share:.3f} served, {self.head_ms:.0f} ms"


class FatalImpact(msgspec.Struct, frozen=True):
    """Outcomes of ordinary requests while fatal ones are sent, and at other times."""

    during_fatal: RequestOutcomes
    otherwise: RequestOutcomes

    def __str__(self) -> str:
        """Return both outcomes as a line."""
        return (
            f"honest requests beside fatal ones: {self.during_fatal}; otherwise: {self.otherwise}"
        )


def measure_fatal_impact(history: History) -> FatalImpact:
    """Return the outcomes of ordinary requests during fatal ones and otherwise."""
    fatal = [request.sent_at for request in history.requests.values() if request.fatal]
    ordinary = [r for r in history.requests.values() if not (r.fatal or r.left or r.path)]
    during_fatal = [r for r in ordinary if _is_during_fatal(r.sent_at, fatal)]
    others = [r for r in ordinary if not _is_during_fatal(r.sent_at, fatal)]
    return FatalImpact(_outcomes(during_fatal), _outcomes(others))


def _is_during_fatal(at: float, fatal: Sequence[float]) -> bool:
    """Return whether a fatal request was sent shortly before a time."""
    return any(at - AFTER_SECONDS <= sent_at <= at for sent_at in fatal)


def _outcomes(requests: Sequence[SentRequest]) -> RequestOutcomes:
    """Return the outcomes of requests."""
    served = [r for r in requests if r.whole and r.status == SERVED]
    heads = [(r.head_at - r.sent_at) * MILLISECONDS for r in served if r.head_at is not None]
    share = len(served) / len(requests) if requests else 0.0
    return RequestOutcomes(len(requests), share, statistics.median(heads) if heads else 0.0)
