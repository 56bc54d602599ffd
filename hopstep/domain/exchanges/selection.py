"""Choice of the instance that serves a request."""

from __future__ import annotations

import random
from collections.abc import Sequence

import msgspec

from hopstep.domain.exchanges.instance_view import InstanceView
from hopstep.domain.exchanges.prompt_work import prompt_work
from hopstep.domain.exchanges.read_speed import READ_SECONDS_PER_TOKEN
from hopstep.domain.exchanges.segment_moves import EngineRequest, SegmentSources
from hopstep.domain.exchanges.segments import SegmentKey

ACTIVE_SECONDS = 0.002
"""Delay of a new request by each request that is decoding."""

SHARED_WEIGHT = 1.5
"""Weight of prefilling a segment again that may be cached elsewhere, relative to waiting."""

INTERFERENCE = 0.1
"""Part of a prompt's prefill time that is added as cost for each request that is decoding."""

FAILURE_SECONDS = 1.0
"""Cost of a failure rate of 1."""

AVOIDED_SECONDS = 0.25
"""Cost of each other node that avoids an instance, for up to ``MAX_AVOIDED`` of them."""

MAX_AVOIDED = 4

OLDER_WEIGHTS_SECONDS = 0.25
"""Cost of weights older than the preferred ones."""

HOME_SECONDS = 0.010
"""Largest cost by distance from the home instance of the last shared segment, so that prompts with
equal shared segments go to the same instance when other costs are equal."""

JITTER_SECONDS = 0.001
"""Largest random cost, which breaks ties."""

MASK = (1 << 64) - 1


class Candidate(msgspec.Struct, frozen=True):
    """An instance with its expected cost for a request.

    Attributes:
        view: The instance.
        keys: The prompt's segments under the salt for this instance; empty without a prompt.
        cost_seconds: Expected time to the first byte, with penalties.
        uncached_tokens: Prompt tokens that it would prefill.
        source: ``ip:port`` from which segments would be moved to it; empty for none.
        kept_tokens: Prompt tokens in its own cache.
        read_seconds: Expected time until it has prefilled the prompt.
    """

    view: InstanceView
    keys: tuple[SegmentKey, ...]
    cost_seconds: float
    uncached_tokens: int
    source: str = ""
    kept_tokens: int = 0
    read_seconds: float = 0.0

    @property
    def work_tokens(self) -> int:
        """Work until the first byte, in prompt tokens; 0 without a prompt."""
        return prompt_work(self.uncached_tokens) if self.keys else 0


def choose_engine(
    views: Sequence[InstanceView],
    sources: Sequence[InstanceView],
    request: EngineRequest,
    now: float,
    generator: random.Random,
) -> Candidate | None:
    """Return the engine with the lowest expected time to the first token.

    Args:
        views: Instances that may serve the request.
        sources: Instances from which segments may be moved.
        request: The request.
        now: Steady clock.
        generator: Breaks ties.
    """
    known = SegmentSources(sources, request, now)
    candidates = [_rate_engine(view, known, request, now, generator) for view in views]
    return min(candidates, key=lambda candidate: candidate.cost_seconds, default=None)


def choose_server(
    views: Sequence[InstanceView],
    now: float,
    generator: random.Random,
    zone: str = "",
    other_zone_seconds: float = 0.0,
) -> Candidate | None:
    """Return the instance of a plain service with the lowest expected time to an answer.

    Args:
        views: Instances that may serve the request.
        now: Steady clock.
        generator: Breaks ties.
        zone: Zone of this node.
        other_zone_seconds: Cost of sending a request to another zone, as a delay.
    """

    def cost(view: InstanceView) -> float:
        zone_seconds = other_zone_seconds if view.instance.zone != zone else 0.0
        return _server_cost(view, now) + zone_seconds + JITTER_SECONDS * generator.random()

    candidates = [Candidate(view, (), cost(view), 0) for view in views]
    return min(candidates, key=lambda candidate: candidate.cost_seconds, default=None)


def _rate_engine(
    view: InstanceView,
    sources: SegmentSources,
    request: EngineRequest,
    now: float,
    generator: random.Random,
) -> Candidate:
    """Return an engine with its expected cost."""
    keys = request.keys_of(view)
    cached = min(view.segments.cached_tokens(keys), request.prompt_tokens)
    move = sources.best_move(view, cached)
    kept = cached + move.tokens
    uncached = max(0, request.prompt_tokens - kept)
    shared = sum(key.tokens for key in keys[:-1])
    per_token = READ_SECONDS_PER_TOKEN * view.slowness
    active = view.total_active(now)
    read_seconds = (
        view.total_pending_tokens(now) + prompt_work(uncached)
    ) * per_token + move.seconds
    cost = read_seconds
    cost += max(0, shared - kept) * per_token * (SHARED_WEIGHT - 1.0)
    cost += active * (ACTIVE_SECONDS * view.slowness + uncached * per_token * INTERFERENCE)
    cost += _failure_cost(view, now)
    cost += HOME_SECONDS * _distance(view, keys)
    if view.instance.zone != request.zone:
        cost += request.other_zone_seconds
    if view.serving_version(request.model) < request.preferred_version:
        cost += OLDER_WEIGHTS_SECONDS
    cost += JITTER_SECONDS * generator.random()
    return Candidate(view, keys, cost, uncached, move.address, cached, read_seconds)


def _distance(view: InstanceView, keys: tuple[SegmentKey, ...]) -> float:
    """Return 0 to 1, lowest at the home instance of the prompt's last shared segment."""
    if len(keys) < 2:
        return 0.0
    hashed = view.hashed
    return (((keys[-2].digest ^ hashed) * (hashed | 1)) & MASK) / MASK


def _server_cost(view: InstanceView, now: float) -> float:
    """Return the expected time to an answer of a plain service's instance."""
    latency = view.expected_latency
    slots = max(1, view.instance.slots)
    ahead = (view.total_active(now) + 1) / slots
    return latency * (1.0 + ahead) + _failure_cost(view, now)


def _failure_cost(view: InstanceView, now: float) -> float:
    """Return the cost of this node's and other nodes' failures at an instance."""
    avoided = min(MAX_AVOIDED, view.avoided_by(now))
    return view.failure_rate * FAILURE_SECONDS + avoided * AVOIDED_SECONDS
