"""Computes measures of a run's responses: of time spans, refusals and recovery times."""

from __future__ import annotations

from collections.abc import Collection, Sequence

import msgspec
import numpy as np

from emulator.simulation.history import Answer, Outcome
from hopstep.domain.blocks import count_tokens

TOLERANCE = 0.05
"""Fraction by which a recovered measure may be worse than in the worst steady window."""

IMMEDIATE_SECONDS = 0.1
"""Longest time from arrival to a refusal that counts as immediate."""

REFUSED = (Outcome.REFUSED,)
BROKEN = (Outcome.FAILED, Outcome.CONNECTION_LOST, Outcome.CONNECTION_REFUSED, Outcome.LEFT)


class SpanMeasures(msgspec.Struct, frozen=True):
    """Measures of a time span.

    Attributes:
        sent: Requests that arrived within the span.
        goodput: Responses completed within the span, per second.
        hit_rate: Fraction of the prompt tokens that were cached, over completed requests that
            arrived within the span.
        ttft_p50: Median time to first token of the same requests, in seconds.
        ttft_p99: 99th percentile of the same.
        refused: Requests that arrived within the span and were refused.
        broken: Requests that ended within the span without a complete response or refusal.
    """

    sent: int
    goodput: float
    hit_rate: float
    ttft_p50: float
    ttft_p99: float
    refused: int
    broken: int


class RefusalMeasures(msgspec.Struct, frozen=True):
    """Measures of refusals.

    Attributes:
        count: Number of refusals.
        p50_seconds: Median time from arrival to refusal.
        max_seconds: Longest such time.
        late: Refusals that took longer than ``IMMEDIATE_SECONDS``.
        without_retry_after: Refusals without a ``Retry-After``.
        not_run: Refusals that say that the request wasn't executed.
        codes: Error codes of the refusals.
    """

    count: int
    p50_seconds: float
    max_seconds: float
    late: int
    without_retry_after: int
    not_run: int
    codes: tuple[str, ...]


def measure_span(answers: Collection[Answer], began_at: float, ended_at: float) -> SpanMeasures:
    """Measure the span from ``began_at`` to ``ended_at``.

    Args:
        answers: All responses of the run, also those outside the span.
        began_at: Virtual time in seconds.
        ended_at: Virtual time in seconds, after ``began_at``.
    """
    arrived = [item for item in answers if began_at <= item.started_at < ended_at]
    ended = [item for item in answers if began_at <= item.ended_at < ended_at]
    whole = [item for item in arrived if item.outcome is Outcome.COMPLETE]
    waits = [item.first_token_at - item.started_at for item in whole]
    prompt_tokens = sum(count_tokens(item.call.prompt) for item in whole)
    cached_tokens = sum(item.cached_tokens for item in whole)
    return SpanMeasures(
        sent=len(arrived),
        goodput=_count(ended, (Outcome.COMPLETE,)) / (ended_at - began_at),
        hit_rate=cached_tokens / max(1, prompt_tokens),
        ttft_p50=_percentile(waits, 50),
        ttft_p99=_percentile(waits, 99),
        refused=_count(arrived, REFUSED),
        broken=_count(ended, BROKEN),
    )


def measure_refusals(answers: Collection[Answer]) -> RefusalMeasures:
    """Measure the refusals among ``answers``."""
    refused = [item for item in answers if item.outcome is Outcome.REFUSED]
    seconds = [item.ended_at - item.started_at for item in refused]
    return RefusalMeasures(
        count=len(refused),
        p50_seconds=_percentile(seconds, 50),
        max_seconds=max(seconds, default=0.0),
        late=sum(item > IMMEDIATE_SECONDS for item in seconds),
        without_retry_after=sum(item.retry_after_seconds <= 0 for item in refused),
        not_run=sum(item.reports_not_run for item in refused),
        codes=tuple(sorted({item.code for item in refused})),
    )


def windows(
    answers: Collection[Answer], began_at: float, ended_at: float, seconds: float, step: float
) -> list[tuple[float, SpanMeasures]]:
    """Return the start and the measures of each complete window between two times."""
    count = int((ended_at - began_at - seconds) / step + 1e-9) + 1
    begins = [began_at + index * step for index in range(max(0, count))]
    return [(begin, measure_span(answers, begin, begin + seconds)) for begin in begins]


def recovery_seconds(
    after: Sequence[tuple[float, SpanMeasures]],
    steady: Sequence[SpanMeasures],
    event_at: float,
    measure: str,
) -> float | None:
    """Return the time after an event until a measure is steady and stays so.

    A window is steady when it is worse than the worst window in ``steady`` by at most
    ``TOLERANCE``.

    Args:
        after: Starts and measures of the windows after the event, in order.
        steady: Measures of the steady windows of the same length.
        event_at: Virtual time of the event's end.
        measure: ``goodput``, ``hit_rate`` or ``ttft_p99``.

    Returns:
        Seconds from the event to the start of the first window after which all windows are
        steady, including itself; None when the last window isn't steady.
    """
    recovered_at: float | None = None
    bound = _bound([getattr(item, measure) for item in steady], measure)
    for begin, window in after:
        value = getattr(window, measure)
        is_steady = value <= bound if measure == "ttft_p99" else value >= bound
        if not is_steady:
            recovered_at = None
        elif recovered_at is None:
            recovered_at = begin
    return None if recovered_at is None else recovered_at - event_at


def _bound(steady: Sequence[float], measure: str) -> float:
    """Return the worst value of a measure that counts as steady."""
    if measure == "ttft_p99":
        return max(steady) * (1.0 + TOLERANCE)
    return min(steady) * (1.0 - TOLERANCE)


def _count(answers: Collection[Answer], outcomes: Collection[Outcome]) -> int:
    return sum(item.outcome in outcomes for item in answers)


def _percentile(values: Sequence[float], percent: float) -> float:
    """Return a percentile; 0 without values."""
    return float(np.percentile(values, percent)) if values else 0.0
