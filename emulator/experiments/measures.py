"""What became of each request of a run, and the measures over all of them."""

from __future__ import annotations

import statistics
from collections.abc import Iterable, Sequence

import msgspec

NEVER = float("inf")


class Outcome(msgspec.Struct):
    """What became of one request.

    Attributes:
        request_class: Its class.
        tenant: Its tenant.
        sent_at: When the client sent it.
        target_seconds: Longest wait for a first token that counts as good.
        prompt_tokens: Length of its prompt.
        cached_tokens: Of these, taken from the engine's cache, by the attempt that answered.
        imported_tokens: Of these, imported from the KV cache store.
        wasted_tokens: Prefilled although a valid copy was admissible, over all attempts.
        prefilled_tokens: Prefilled over all attempts.
        first_token_at: When the client got the first token.
        finished_at: When the client got the last token.
        refused_at: When the client got a refusal.
        attempts: Attempts sent to engines.
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
        """Time to the first token, as the client sees it."""
        return self.first_token_at - self.sent_at


class Percentiles(msgspec.Struct, frozen=True):
    """Time to first token of one class, in seconds."""

    p50: float
    p95: float
    p99: float


class Measures(msgspec.Struct, frozen=True):
    """Measures of one run.

    Attributes:
        requests: Requests sent.
        hit_rate: Prompt tokens served from engines' caches over prompt tokens.
        import_rate: Prompt tokens imported over prompt tokens.
        wasted_rate: Prompt tokens prefilled although a valid copy was admissible, over
            prompt tokens.
        first_token: Percentiles by class, and over all classes under ``all``.
        goodput: Share of the requests whose first token came within its class's target and
            whose answer came whole.
        refused_rate: Share of the requests that were refused or not answered.
        attempts_per_request: Attempts sent to engines over requests.
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
    """Return the percentiles of some times; zeros when there are none."""
    ordered = sorted(values)
    if not ordered:
        return Percentiles(0.0, 0.0, 0.0)
    if len(ordered) == 1:
        return Percentiles(ordered[0], ordered[0], ordered[0])
    cuts = statistics.quantiles(ordered, n=100, method="inclusive")
    return Percentiles(cuts[49], cuts[94], cuts[98])


def _is_good(outcome: Outcome) -> bool:
    """Return whether a request was answered whole and in time."""
    in_time = outcome.first_token_seconds <= outcome.target_seconds
    return in_time and outcome.finished_at < NEVER


def _by_class(answered: Sequence[Outcome]) -> dict[str, Percentiles]:
    """Return the percentiles of the time to first token, by class and over all."""
    classes = sorted({item.request_class for item in answered})
    result = {
        name: percentiles(
            item.first_token_seconds for item in answered if item.request_class == name
        )
        for name in classes
    }
    result["all"] = percentiles(item.first_token_seconds for item in answered)
    return result
