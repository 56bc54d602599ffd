"""Choice of the instance that serves a request."""

from __future__ import annotations

import random
from collections.abc import Sequence

import msgspec

from hopstep.domain.exchanges.instance_capacity import CapacityNeed
from hopstep.domain.exchanges.instance_view import InstanceView
from hopstep.domain.exchanges.prompt_work import prompt_work
from hopstep.domain.exchanges.read_speed import READ_SECONDS_PER_TOKEN
from hopstep.domain.exchanges.segment_moves import EngineRequest, SegmentSources
from hopstep.domain.exchanges.segments import SegmentKey
from hopstep.domain.exchanges.spread_choice import (
    ChoiceBounds,
    Rating,
    choose_rated,
    first_byte,
)

ACTIVE_SECONDS = 0.002
"""Delay of a new request by each request that is decoding."""

DECODE_SECONDS_PER_TOKEN = 0.008
"""Assumed time to decode one token of an answer while slots are in use; slowness scales it."""

MAX_EXPECTED_ANSWER_TOKENS = 100
"""Longest answer that is expected: requests state the longest possible one."""

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

SERVER_BOUNDS = ChoiceBounds(sampling=False)
"""Bounds of the choice among instances of plain services, for one node."""


class Candidate(msgspec.Struct, frozen=True):
    """An instance with its expected cost for a request.

    Attributes:
        view: The instance.
        keys: The prompt's segments under the salt for this instance; empty without a prompt.
        rating: Expected time and costs.
        uncached_tokens: Prompt tokens that it would prefill.
        source: ``ip:port`` from which segments would be moved to it; empty for none.
        kept_tokens: Prompt tokens in its own cache.
        read_seconds: Expected time until it has prefilled the prompt.
    """

    view: InstanceView
    keys: tuple[SegmentKey, ...]
    rating: Rating
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
    """Return the engine with the lowest cost of those in time, or the earliest one.

    Args:
        views: Instances that may serve the request.
        sources: Instances from which segments may be moved.
        request: The request.
        now: Steady clock.
        generator: Breaks ties, and chooses among engines that can't be told apart.
    """
    known = SegmentSources(sources, request, now)
    candidates = [_rate_engine(view, known, request, now, generator) for view in views]
    bounds = ChoiceBounds(request.objective_seconds, request.nodes)
    return choose_rated(candidates, bounds, generator)


def choose_server(
    views: Sequence[InstanceView],
    now: float,
    generator: random.Random,
    zone: str = "",
    other_zone_seconds: float = 0.0,
    bounds: ChoiceBounds = SERVER_BOUNDS,
    urgent: bool = False,
) -> Candidate | None:
    """Return the instance of a plain service with the lowest cost of those in time.

    Args:
        views: Instances that may serve the request.
        now: Steady clock.
        generator: Breaks ties, and chooses among instances that can't be told apart.
        zone: Zone of this node.
        other_zone_seconds: Cost of sending a request to another zone, as a delay.
        bounds: What is left of the time in which the answer is expected, and the number of nodes.
        urgent: Whether its priority is above the least urgent one of the service.
    """
    need = CapacityNeed(urgent=urgent)
    candidates = []
    for view in views:
        policy = other_zone_seconds if view.instance.zone != zone else 0.0
        candidates.append(_rate_server(view, policy, need, now, generator))
    return choose_rated(candidates, bounds, generator, first_byte)


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
    queued_seconds = view.total_pending_tokens(now) * per_token
    queued_seconds += _slot_seconds(view, request, active)
    decoding_seconds = active * ACTIVE_SECONDS * view.slowness
    read_seconds = queued_seconds + uncached * per_token + move.seconds
    first_byte = read_seconds + decoding_seconds + _failure_cost(view, now)
    policy = _policy_cost(view, request)
    cost = first_byte + policy
    cost += max(0, shared - kept) * per_token * (SHARED_WEIGHT - 1.0)
    cost += active * uncached * per_token * INTERFERENCE
    cost += HOME_SECONDS * _distance(view, keys)
    cost += JITTER_SECONDS * generator.random()
    need = CapacityNeed(uncached + request.answer_tokens, request.urgent)
    rating = Rating(
        cost_seconds=cost,
        first_byte_seconds=first_byte,
        wait_seconds=queued_seconds + decoding_seconds,
        policy_seconds=policy,
        uncached_tokens=uncached,
        occupancy=view.occupancy(now),
        has_room=view.has_room(need, now),
    )
    return Candidate(view, keys, rating, uncached, move.address, cached, read_seconds)


def _slot_seconds(view: InstanceView, request: EngineRequest, active: int) -> float:
    """Return the expected wait for a slot: slots become free as answers end.

    The prompts ahead are counted by their pending tokens, so only their decoding counts here.
    """
    slots = max(1, view.instance.slots)
    ahead = max(0, active + 1 - slots)
    answer_tokens = min(request.answer_tokens, MAX_EXPECTED_ANSWER_TOKENS)
    return ahead / slots * answer_tokens * DECODE_SECONDS_PER_TOKEN * view.slowness


def _policy_cost(view: InstanceView, request: EngineRequest) -> float:
    """Return the cost of preferences that yield to the request's objective."""
    cost = request.other_zone_seconds if view.instance.zone != request.zone else 0.0
    if view.serving_version(request.model) < request.preferred_version:
        cost += OLDER_WEIGHTS_SECONDS
    return cost + request.engine_preference.cost_at(view.instance.instance_id)


def _rate_server(
    view: InstanceView,
    policy_seconds: float,
    need: CapacityNeed,
    now: float,
    generator: random.Random,
) -> Candidate:
    """Return an instance of a plain service with its expected cost."""
    latency = view.expected_latency
    occupancy = view.occupancy(now)
    ahead = occupancy + 1 / max(1, view.instance.slots)
    first_byte = latency * (1.0 + ahead) + _failure_cost(view, now)
    rating = Rating(
        cost_seconds=first_byte + policy_seconds + JITTER_SECONDS * generator.random(),
        first_byte_seconds=first_byte,
        wait_seconds=latency * occupancy,
        policy_seconds=policy_seconds,
        occupancy=occupancy,
        has_room=view.has_room(need, now),
    )
    return Candidate(view, (), rating, 0)


def _distance(view: InstanceView, keys: tuple[SegmentKey, ...]) -> float:
    """Return 0 to 1, lowest at the home instance of the prompt's last shared segment.

    Weighted rendezvous hashing: an instance is the home of segments in proportion to its speed.
    """
    if len(keys) < 2:
        return 0.0
    hashed = view.hashed
    uniform = (((keys[-2].digest ^ hashed) * (hashed | 1)) & MASK) / MASK
    return float(1.0 - (1.0 - uniform) ** view.slowness)


def _failure_cost(view: InstanceView, now: float) -> float:
    """Return the cost of this node's and other nodes' failures at an instance."""
    avoided = min(MAX_AVOIDED, view.avoided_by(now))
    return view.failure_rate * FAILURE_SECONDS + avoided * AVOIDED_SECONDS
