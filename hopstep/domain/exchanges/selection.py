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

INTERFERENCE = 0.1
"""Part of the time to read a prompt that each request which decodes beside it counts as lost."""

MOVE_SECONDS = 0.004
"""Fixed time of bringing segments from another instance."""

OTHER_ZONE_FACTOR = 2.0
"""Between zones a move takes this much longer."""

MIN_MOVED_TOKENS = 64
"""Fewer tokens are read rather than moved."""

FAILURE_SECONDS = 1.0
"""What a certain failure would cost."""

AVOIDED_SECONDS = 0.25
"""What each other node that avoids an instance counts for, up to ``MAX_AVOIDED`` of them."""

MAX_AVOIDED = 4

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
        source: ``ip:port`` from which it would bring segments; empty for none.
    """

    view: InstanceView
    keys: tuple[SegmentKey, ...]
    cost_seconds: float
    uncached_tokens: int
    source: str = ""


KeysOf = Callable[[InstanceView], tuple[SegmentKey, ...]]


class StoreSource(msgspec.Struct, frozen=True):
    """A cache store from which segments may be brought.

    Attributes:
        address: ``ip:port``.
        zone: Its zone.
        move_seconds_per_token: Time to bring one token to an instance of the same zone.
        tokens_for: Returns the tokens of the prompt that it keeps for an instance's weights.
    """

    address: str
    zone: str
    move_seconds_per_token: float
    tokens_for: Callable[[InstanceView], int]


class _Move(msgspec.Struct, frozen=True):
    """A way to bring segments.

    Attributes:
        address: ``ip:port`` of the source; empty for none.
        tokens: Tokens that come.
        seconds: Time that it takes.
    """

    address: str = ""
    tokens: int = 0
    seconds: float = 0.0


class EngineRequest(msgspec.Struct, frozen=True):
    """What the choice of an engine depends on.

    Attributes:
        keys_of: Returns the prompt's keys for an instance.
        model: Name of the model.
        prompt_tokens: Length of the prompt.
        move_seconds_per_token: Time to bring one token from an instance of the same zone.
        stores: Cache stores.
    """

    keys_of: KeysOf
    model: str
    prompt_tokens: int
    move_seconds_per_token: float
    stores: tuple[StoreSource, ...] = ()


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
        sources: Instances from which segments may be brought.
        request: The request.
        now: Steady clock.
        generator: Breaks ties.
    """
    candidates = [_rate_engine(view, sources, request, now, generator) for view in views]
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
    sources: Sequence[InstanceView],
    request: EngineRequest,
    now: float,
    generator: random.Random,
) -> Candidate:
    """Return an engine with its expected cost."""
    keys = request.keys_of(view)
    cached = min(view.segments.cached_tokens(keys), request.prompt_tokens)
    move = _best_move(view, sources, keys, cached, request)
    kept = cached + move.tokens
    uncached = max(0, request.prompt_tokens - kept)
    shared = sum(key.tokens for key in keys[:-1])
    reread = max(0, shared - kept)
    per_token = READ_SECONDS_PER_TOKEN * view.slowness
    cost = (view.total_pending_tokens(now) + uncached) * per_token + move.seconds
    cost += reread * per_token * (SHARED_WEIGHT - 1.0)
    cost += view.total_active(now) * ACTIVE_SECONDS * view.slowness
    cost += view.total_active(now) * uncached * per_token * INTERFERENCE
    cost += _failure_cost(view, now)
    cost += HOME_SECONDS * _distance(view, keys)
    cost += JITTER_SECONDS * generator.random()
    return Candidate(view, keys, cost, uncached, move.address)


def _best_move(
    view: InstanceView,
    sources: Sequence[InstanceView],
    keys: tuple[SegmentKey, ...],
    cached: int,
    request: EngineRequest,
) -> _Move:
    """Return the way that brings the most tokens beyond ``cached``, the fastest among equals."""
    moves = [_move_from_store(view, store, cached, request) for store in request.stores]
    version = view.versions.get(request.model, 0)
    for source in sources:
        if source is view or source.versions.get(request.model, 0) != version:
            continue
        tokens = min(source.segments.cached_tokens(keys), request.prompt_tokens) - cached
        per_token = request.move_seconds_per_token
        seconds = _move_seconds(tokens, per_token, source.instance.zone, view)
        moves.append(_Move(source.instance.address, tokens, seconds))
    worth = [move for move in moves if move.tokens >= MIN_MOVED_TOKENS]
    return max(worth, key=lambda move: (move.tokens, -move.seconds), default=_Move())


def _move_from_store(
    view: InstanceView, store: StoreSource, cached: int, request: EngineRequest
) -> _Move:
    """Return the move from a cache store."""
    tokens = min(store.tokens_for(view), request.prompt_tokens) - cached
    seconds = _move_seconds(tokens, store.move_seconds_per_token, store.zone, view)
    return _Move(store.address, tokens, seconds)


def _move_seconds(tokens: int, per_token: float, zone: str, view: InstanceView) -> float:
    """Return the time of a move to an instance."""
    factor = OTHER_ZONE_FACTOR if zone != view.instance.zone else 1.0
    return MOVE_SECONDS + tokens * per_token * factor


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
    return latency * (1.0 + ahead) + _failure_cost(view, now)


def _failure_cost(view: InstanceView, now: float) -> float:
    """Return what this node's and other nodes' failures at an instance count for."""
    avoided = min(MAX_AVOIDED, view.avoided_by(now))
    return view.failure_rate * FAILURE_SECONDS + avoided * AVOIDED_SECONDS
