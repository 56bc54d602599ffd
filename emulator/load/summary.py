"""Summarizes the results of a load run."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence

import msgspec
import numpy as np

from emulator.load.messages import LoadResult, Outcome

MILLISECONDS = 1_000.0


class LoadSummary(msgspec.Struct, frozen=True):
    """Summary of a load run.

    Attributes:
        sent: Requests sent.
        complete: Complete and correct responses.
        wrong: Responses with a wrong token.
        failures: Number of refused, interrupted and unreachable requests by code.
        seconds: Duration of the run.
        tokens: Tokens of complete responses.
        tokens_per_second: ``tokens`` divided by the duration of the run.
        requests_per_second: Complete responses divided by the duration of the run.
        cached_ratio: Fraction of the prompt tokens that were cached.
        first_token_p50_ms: Median time to first token.
        first_token_p95_ms: 95th percentile of the time to first token.
        first_token_p99_ms: 99th percentile of the time to first token.
    """

    sent: int
    complete: int
    wrong: int
    failures: dict[str, int]
    seconds: float
    tokens: int
    tokens_per_second: float
    requests_per_second: float
    cached_ratio: float
    first_token_p50_ms: float
    first_token_p95_ms: float
    first_token_p99_ms: float

    def lines(self) -> list[str]:
        """Return the summary's lines for a terminal."""
        return [
            f"{self.sent} sent, {self.complete} complete, {self.wrong} wrong",
            f"{self.tokens_per_second:.0f} tokens/s, {self.requests_per_second:.1f} requests/s "
            f"over {self.seconds:.1f} s, {self.cached_ratio:.0%} of prompt tokens cached",
            f"time to first token: p50 {self.first_token_p50_ms:.1f} ms, "
            f"p95 {self.first_token_p95_ms:.1f} ms, p99 {self.first_token_p99_ms:.1f} ms",
            *(f"{count} failed: {code}" for code, count in sorted(self.failures.items())),
        ]


def summarize(results: Sequence[LoadResult], seconds: float) -> LoadSummary:
    """Return the summary of a run.

    Args:
        results: Result of each request.
        seconds: Duration of the run.
    """
    complete = [result for result in results if result.outcome is Outcome.COMPLETE]
    failed = [
        result for result in results if result.outcome not in (Outcome.COMPLETE, Outcome.WRONG)
    ]
    first_ms = [result.first_token_seconds * MILLISECONDS for result in complete] or [0.0]
    p50, p95, p99 = (float(value) for value in np.percentile(first_ms, (50, 95, 99)))
    tokens = sum(result.tokens for result in complete)
    prompt_tokens = sum(result.prompt_tokens for result in complete)
    cached_tokens = sum(result.cached_tokens for result in complete)
    return LoadSummary(
        sent=len(results),
        complete=len(complete),
        wrong=sum(result.outcome is Outcome.WRONG for result in results),
        failures=dict(Counter(result.code or result.outcome.value for result in failed)),
        seconds=seconds,
        tokens=tokens,
        tokens_per_second=tokens / seconds,
        requests_per_second=len(complete) / seconds,
        cached_ratio=cached_tokens / prompt_tokens if prompt_tokens else 0.0,
        first_token_p50_ms=p50,
        first_token_p95_ms=p95,
        first_token_p99_ms=p99,
    )
