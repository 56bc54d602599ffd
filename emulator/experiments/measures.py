"""Outcomes of a run's requests, and the measures over all of them."""

from __future__ import annotations

import statistics
from collections.abc import Iterable, Sequence

import msgspec

NEVER = float("inf")


class Outcome(msgspec.Struct):
    """Outcome of one request; times are virtual, in seconds.

    Attributes:
        request_class: Name of the request class.
        tenant: Name of the tenant.
        sent_at: Time at which the client sent the request.
        target_seconds: Longest wait for a first token that counts as good.
        prompt_tokens: Length of the prompt.
        cached_tokens: Prompt tokens that the attempt started last took from the engine's cache.
        imported_tokens: Prompt tokens that it imported from the KV cache store.
        wasted_tokens: Tokens prefilled although an admissible engine or the KV cache store had a
            valid copy, over all attempts.
        prefilled_tokens: Tokens prefilled over all attempts.
        first_token_at: Time at which the client received the first token.
        finished_at: Time at which the client received the last token.
        refused_at: Time at which the client received a refusal.
        attempts: Number of attempts sent to engines.
    """

    request_class: str
    tenant: str
    sent_at: float
    target_seconds: float
    prompt_tokens: int
    cached_tokens: int = 0
    imported_tokens: int = 0
    wasted_tokens: int = 0
    prefilled_tokens: int = 0
    first_token_at: float = NEVER
    finished_at: float = NEVER
    refused_at: float = NEVER
    attempts: int = 0

    @property
    def first_token_seconds(self) -> float:
        """Time to the first token at the client, in seconds."""
        return self.first_token_at - self.sent_at


class Percentiles(msgspec.Struct, frozen=True):
    """Percentiles of the time to first token, in seconds."""

    p50: float
    p95: float
    p99: float


class Measures(msgspec.Struct, frozen=True):
    """Measures of one run.

    Attributes:
        requests: Number of requests sent.
        hit_rate: Fraction of the prompt tokens served from engines' caches.
        import_rate: Fraction of the prompt tokens that were imported.
        wasted_rate: Tokens prefilled although a valid copy was admissible, over prompt tokens.
        first_token: Percentiles by class; those over all classes under ``all``.
        goodput: Fraction of the requests with a first token within their class's target and a
            complete response.
        refused_rate: Fraction of the requests that were refused or not completed.
        attempts_per_request: Mean number of attempts sent to engines per request.
    """

    requests: int
    hit_rate: float
    import_rate: float
    wasted_rate: float
    first_token: dict[str, Percentiles]
    goodput: float
    refused_rate: float
    attempts_per_request: float


def summarize(outcomes: Sequence[Outcome]) -> Measures:
    """Return the measures of a run's outcomes."""
    answered = [item for item in outcomes if item.first_token_at < NEVER]
    prompt_tokens = max(sum(item.prompt_tokens for item in answered), 1)
    count = max(len(outcomes), 1)
    good = sum(1 for item in outcomes if _is_good(item))
    unanswered = sum(1 for item in outcomes if item.finished_at == NEVER)
    return Measures(
        requests=len(outcomes),
        hit_rate=sum(item.cached_tokens for item in answered) / prompt_tokens,
        import_rate=sum(item.imported_tokens for item in answered) / prompt_tokens,
        wasted_rate=sum(item.wasted_tokens for item in outcomes) / prompt_tokens,
        first_token=_by_class(answered),
        goodput=good / count,
        refused_rate=unanswered / count,
        attempts_per_request=sum(item.attempts for item in outcomes) / count,
    )


def percentiles(values: Iterable[float]) -> Percentiles:
    """Return the percentiles of ``values``; zeros when there are none."""
    ordered = sorted(values)
    if not ordered:
        return Percentiles(0.0, 0.0, 0.0)
    if len(ordered) == 1:
        return Percentiles(ordered[0], ordered[0], ordered[0])
    cuts = statistics.quantiles(ordered, n=100, method="inclusive")
    return Percentiles(cuts[49], cuts[94], cuts[98])


def _is_good(outcome: Outcome) -> bool:
    """Return whether the response is complete and the first token came in time."""
    in_time = outcome.first_token_seconds <= outcome.target_seconds
    return in_time and outcome.finished_at < NEVER


def _by_class(answered: Sequence[Outcome]) -> dict[str, Percentiles]:
    """Return the percentiles of the time to first token, by class and over all classes."""
    classes = sorted({item.request_class for item in answered})
    result = {
        name: percentiles(
            item.first_token_seconds for item in answered if item.request_class == name
        )
        for name in classes
    }
    result["all"] = percentiles(item.first_token_seconds for item in answered)
    return result
