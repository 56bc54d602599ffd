"""Choice of the instance that serves a request."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

import msgspec

from hopstep.domain.exchanges.instance_view import DEFAULT_LATENCY_SECONDS, InstanceView
from hopstep.domain.exchanges.segments import SegmentKey
from hopstep.domain.rendezvous import hash_name

READ_SECONDS_PER_TOKEN = 1.0 / 40_000
"""First guess of the time to read one prompt token; each instance's slowness corrects it."""

ACTIVE_SECONDS = 0.002
"""Delay by each request that decodes beside a new one."""

SHARED_WEIGHT = 1.5
"""Weight of reading again a segment that may be kept elsewhere, against waiting."""

FAILURE_SECONDS = 1.0
"""What a certain failure would cost."""

HOME_SECONDS = 0.010
"""Advantage of a first segment's home instance, so that equal prompts meet when all is equal."""

JITTER_SECONDS = 0.001

MASK = (1 << 64) - 1


class Candidate(msgspec.Struct, frozen=True):
    """An instance with what it would mean for a request.

    Attributes:
        view: The instance.
        keys: The prompt's segments under the salt for this instance; empty without a prompt.
        cost_seconds: Expected time to the first byte, with penalties.
        uncached_tokens: Prompt tokens that it would read.
    """

    view: InstanceView
    keys: tuple[SegmentKey, ...]
    cost_seconds: float
    uncached_tokens: int


KeysOf = Callable[[InstanceView], tuple[SegmentKey, ...]]


def choose_engine(
    views: Sequence[InstanceView],
    keys_of: KeysOf,
    prompt_tokens: int,
    now: float,
    generator: random.Random,
) -> Candidate | None:
    """Return the engine with the lowest expected time to the first token.

    Args:
        views: Instances that may serve the request.
        keys_of: Returns the prompt's keys for an instance.
        prompt_tokens: Length of the prompt.
        now: Steady clock.
        generator: Breaks ties.
    """
    candidates = [
        _rate_engine(view, keys_of(view), prompt_tokens, now, generator) for view in views
    ]
    return min(candidates, key=lambda candidate: candidate.cost_seconds, default=None)


def choose_server(
    views: Sequence[InstanceView], now: float, generator: random.Random
) -> Candidate | None:
    """Return the instance of a plain service with the lowest expected time to an answer."""
    candidates = [
        Candidate(view, (), _server_cost(view, now) + JITTER_SECONDS * generator.random(), 0)
        for view in views
    ]
    return min(candidates, key=lambda candidate: candidate.cost_seconds, default=None)


def _rate_engine(
    view: InstanceView,
    keys: tuple[SegmentKey, ...],
    prompt_tokens: int,
    now: float,
    generator: random.Random,
) -> Candidate:
    """Return an engine with its expected cost."""
    cached = min(view.segments.cached_tokens(keys), prompt_tokens)
    uncached = max(0, prompt_tokens - cached)
    shared = sum(key.tokens for key in keys[:-1])
    reread = max(0, shared - cached)
    per_token = READ_SECONDS_PER_TOKEN * view.slowness
    cost = (view.total_pending_tokens(now) + uncached) * per_token
    cost += reread * per_token * (SHARED_WEIGHT - 1.0)
    cost += view.total_active(now) * ACTIVE_SECONDS * view.slowness
    cost += view.failure_rate * FAILURE_SECONDS
    cost += HOME_SECONDS * _distance(view, keys)
    cost += JITTER_SECONDS * generator.random()
    return Candidate(view, keys, cost, uncached)


def _distance(view: InstanceView, keys: tuple[SegmentKey, ...]) -> float:
    """Return 0 to 1, lowest at the home of the prompt's last shared segment."""
    if len(keys) < 2:
        return 0.0
    hashed = hash_name(view.instance.instance_id)
    return (((keys[-2].digest ^ hashed) * (hashed | 1)) & MASK) / MASK


def _server_cost(view: InstanceView, now: float) -> float:
    """Return the expected time to an answer of a plain service's instance."""
    latency = view.latency_seconds or DEFAULT_LATENCY_SECONDS
    slots = max(1, view.instance.slots)
    ahead = (view.total_active(now) + 1) / slots
    return latency * (1.0 + ahead) + view.failure_rate * FAILURE_SECONDS
