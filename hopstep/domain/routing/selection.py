"""Ranking of engines for one request by expected cost; pure, over a snapshot."""

from __future__ import annotations

import msgspec

from hopstep.domain.configuration.document import BackEnd, RoutingPolicy
from hopstep.domain.routing.prompt_heads import Prompt

MAX_UNWEIGHTED_WAIT_SECONDS = 0.5
"""Wait in seconds: recomputation has its configured weight while the shortest wait at any engine
is at most this."""

BACKLOG_WEIGHT_PER_SECOND = 2.0
"""Relative growth of the weight of recomputation for each further second of the shortest wait."""


class Candidate(msgspec.Struct, frozen=True):
    """One engine that may serve the request, in its expected state.

    Attributes:
        back_end: The engine.
        incarnation: Incarnation last seen; empty if unknown.
        cached_tokens: Prompt tokens that it is expected to hold in its cache.
        waiting_prefill_tokens: Prompt tokens expected to be prefilled before this request's.
        requests: Requests that it is expected to run and queue.
        suspect: Whether it is avoided after a failure.
        preference: Rank among the prefix's rendezvous owners, 0 first; others have a higher
            rank than every owner.
        assumed_tokens: Prompt tokens that it may hold because it owns a prefix that isn't in the
            prefix index; used only to rank engines.
    """

    back_end: BackEnd
    incarnation: str
    cached_tokens: int
    waiting_prefill_tokens: float
    requests: int
    suspect: bool
    preference: int
    assumed_tokens: int = 0


class Choice(msgspec.Struct, frozen=True):
    """An engine for one attempt, with what the router expects of it.

    Attributes:
        back_end: The engine.
        incarnation: Incarnation last seen; empty if unknown.
        expected_cached_tokens: Prompt tokens that it is expected to hold.
        relies_on_cache: Whether the attempt must be refused in another incarnation.
        expected_wait_seconds: Expected wait before the prefill starts.
        kv_cache_store: Address of the KV cache store to import from; empty for none.
        full: Whether the engine is expected to be at its limit of concurrent requests.
        prefill_tokens: Prompt tokens that it is expected to recompute.
        priority: Priority of the request.
        prefix_heads: Heads of the prompt, for ``RoutingTable.record_dispatch``.
    """

    back_end: BackEnd
    incarnation: str
    expected_cached_tokens: int
    relies_on_cache: bool
    expected_wait_seconds: float
    kv_cache_store: str
    full: bool
    prefill_tokens: int
    priority: int
    prefix_heads: tuple[int, ...]


def rank(prompt: Prompt, candidates: list[Candidate], policy: RoutingPolicy) -> list[Candidate]:
    """Return the candidates, the best first.

    Engines that are neither suspect nor full come first; within a group the lowest expected
    cost wins, then the rendezvous preference, so that routers with an empty prefix index agree.

    Args:
        prompt: The request's prompt.
        candidates: Engines that may serve it, without leaving ones and those with other weights.
        policy: Costs of the deployment.
    """
    if not candidates:
        return []
    bound = _request_bound(candidates, policy)
    weight = _recompute_weight(candidates, policy)
    return sorted(
        candidates,
        key=lambda candidate: (
            candidate.suspect,
            _is_full(candidate),
            candidate.requests > bound,
            _cost(prompt, candidate, policy, weight),
            candidate.preference,
        ),
    )


def _request_bound(candidates: list[Candidate], policy: RoutingPolicy) -> float:
    """Return the number of requests above which an engine is passed over."""
    mean = sum(candidate.requests for candidate in candidates) / len(candidates)
    return policy.load_bound * (mean + 1.0)


def _is_full(candidate: Candidate) -> bool:
    """Return whether the engine is expected to be at its limit of concurrent requests."""
    return candidate.requests >= candidate.back_end.max_concurrent_requests


def _recompute_weight(candidates: list[Candidate], policy: RoutingPolicy) -> float:
    """Return the weight of recomputation, which grows with the shortest wait.

    While every engine has a backlog, a request waits at any of them, and each recomputed token
    delays all other requests too, so throughput counts more than this request's wait.
    """
    tokens = min(candidate.waiting_prefill_tokens for candidate in candidates)
    backlog = max(tokens / policy.prefill_tokens_per_second - MAX_UNWEIGHTED_WAIT_SECONDS, 0.0)
    return policy.recompute_weight * (1.0 + BACKLOG_WEIGHT_PER_SECOND * backlog)


def _cost(
    prompt: Prompt, candidate: Candidate, policy: RoutingPolicy, recompute_weight: float
) -> float:
    """Return the expected cost in weighted seconds."""
    speed = policy.prefill_tokens_per_second
    held = max(candidate.cached_tokens, candidate.assumed_tokens)
    recompute = max(prompt.tokens - held, 0) / speed
    wait = candidate.waiting_prefill_tokens / speed
    return recompute_weight * recompute + policy.wait_weight * wait


def _prefill_tokens(prompt: Prompt, candidate: Candidate) -> int:
    """Return the prompt tokens that the engine is expected to compute."""
    return max(prompt.tokens - candidate.cached_tokens, 0)


def make_choice(
    prompt: Prompt,
    candidate: Candidate,
    policy: RoutingPolicy,
    *,
    kv_cache_store: str,
    priority: int,
) -> Choice:
    """Return the choice of one candidate.

    Args:
        prompt: The request's prompt.
        candidate: The engine.
        policy: Costs of the deployment.
        kv_cache_store: Address of the KV cache store to use; empty for none.
        priority: Priority of the request.
    """
    return Choice(
        back_end=candidate.back_end,
        incarnation=candidate.incarnation,
        expected_cached_tokens=candidate.cached_tokens,
        relies_on_cache=candidate.cached_tokens > 0 and bool(candidate.incarnation),
        expected_wait_seconds=candidate.waiting_prefill_tokens / policy.prefill_tokens_per_second,
        kv_cache_store=kv_cache_store,
        full=_is_full(candidate),
        prefill_tokens=_prefill_tokens(prompt, candidate),
        priority=priority,
        prefix_heads=prompt.heads,
    )
