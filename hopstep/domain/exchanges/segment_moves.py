"""Best source of cached prompt segments for an engine: another engine or a cache store.

The sources of one request are looked up once, by weights version and zone, so that rating all
engines takes time linear in their number.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

import msgspec

from hopstep.domain.exchanges.instance_view import InstanceView
from hopstep.domain.exchanges.segments import SegmentKey

MOVE_SECONDS = 0.004
"""Fixed part of the time to move segments from another instance."""

OTHER_ZONE_FACTOR = 2.0
"""Factor on the time for each token of a move between zones."""

MIN_MOVED_TOKENS = 64
"""Fewer tokens are recomputed instead of moved."""

KeysOf = Callable[[InstanceView], tuple[SegmentKey, ...]]


class StoreSource(msgspec.Struct, frozen=True):
    """A cache store from which segments may be moved.

    Attributes:
        address: ``ip:port``.
        zone: Its zone.
        move_seconds_per_token: Time to move one token to an instance of the same zone.
        tokens_for: Returns the tokens of the prompt that it stores for an instance's weights.
    """

    address: str
    zone: str
    move_seconds_per_token: float
    tokens_for: Callable[[InstanceView], int]


class EnginePreference(msgspec.Struct, frozen=True):
    """Costs by which some engines are kept for requests with short objectives.

    Attributes:
        kept_engines: Ids of these engines.
        kept_seconds: Cost of a kept engine.
        other_seconds: Cost of any other engine.
    """

    kept_engines: frozenset[str] = frozenset()
    kept_seconds: float = 0.0
    other_seconds: float = 0.0

    def cost_at(self, instance_id: str) -> float:
        """Return the cost of an engine in seconds."""
        return self.kept_seconds if instance_id in self.kept_engines else self.other_seconds


NO_PREFERENCE = EnginePreference()


class EngineRequest(msgspec.Struct, frozen=True):
    """Input to the choice of an engine.

    Attributes:
        keys_of: Returns the prompt's keys for an instance.
        model: Name of the model.
        prompt_tokens: Length of the prompt.
        move_seconds_per_token: Time to move one token from an instance of the same zone.
        stores: Cache stores.
        zone: Zone of this node.
        other_zone_seconds: Cost of sending a request to another zone, as a delay.
        preferred_version: Engines with older weights are penalized.
        objective_seconds: What is left of the time in which the first token is expected.
        nodes: Nodes that choose by the same reports.
        answer_tokens: Expected length of the answer.
        urgent: Whether its priority is above the least urgent one of the service.
        engine_preference: Engines that are kept for some requests, and what that costs this one.
    """

    keys_of: KeysOf
    model: str
    prompt_tokens: int
    move_seconds_per_token: float
    stores: tuple[StoreSource, ...] = ()
    zone: str = ""
    other_zone_seconds: float = 0.0
    preferred_version: int = 0
    objective_seconds: float = float("inf")
    nodes: int = 1
    answer_tokens: int = 0
    urgent: bool = False
    engine_preference: EnginePreference = NO_PREFERENCE


class Move(msgspec.Struct, frozen=True):
    """A move of cached segments to an engine.

    Attributes:
        address: ``ip:port`` of the source; empty for none.
        tokens: Tokens that are moved.
        seconds: Time that it takes.
    """

    address: str = ""
    tokens: int = 0
    seconds: float = 0.0


class _Source(msgspec.Struct, frozen=True):
    """An engine or cache store that holds a part of the prompt.

    Attributes:
        address: ``ip:port``.
        zone: Its zone.
        tokens: Leading tokens that it holds.
        seconds_per_token: Time to move one token to an instance of the same zone.
        instance_id: The instance; empty for a cache store.
    """

    address: str
    zone: str
    tokens: int
    seconds_per_token: float
    instance_id: str = ""


class SegmentSources:
    """All sources of one request, by weights version, those with most tokens first."""

    def __init__(self, sources: Sequence[InstanceView], request: EngineRequest, now: float) -> None:
        """Look up what each source holds.

        Args:
            sources: Instances from which segments may be moved.
            request: The request.
            now: Steady clock, seconds.
        """
        self._request = request
        self._by_version: dict[int, list[_Source]] = {}
        self._stored: set[int] = set()
        best: dict[tuple[int, str], list[_Source]] = {}
        for view in sources:
            self._add_engine(view, best, now)
        for (version, _), found in best.items():
            self._by_version.setdefault(version, []).extend(found)

    def best_move(self, view: InstanceView, cached: int) -> Move:
        """Return the move with most tokens, the fastest among equals.

        Args:
            view: The instance to which they are moved.
            cached: Tokens in its own cache.
        """
        best = Move()
        for source in self._of_version(view):
            tokens = source.tokens - cached
            if tokens < max(best.tokens, MIN_MOVED_TOKENS):
                break
            if source.instance_id == view.instance.instance_id:
                continue
            seconds = _move_seconds(tokens, source, view.instance.zone)
            if not best.address or seconds < best.seconds:
                best = Move(source.address, tokens, seconds)
        return best

    def _of_version(self, view: InstanceView) -> list[_Source]:
        """Return the sources for an instance's weights, those with most tokens first."""
        version = view.serving_version(self._request.model)
        found = self._by_version.setdefault(version, [])
        if version not in self._stored:
            self._stored.add(version)
            found.extend(self._cache_stores(view))
            found.sort(key=lambda source: -source.tokens)
        return found

    def _add_engine(
        self, view: InstanceView, best: dict[tuple[int, str], list[_Source]], now: float
    ) -> None:
        """Add an engine if it is among the two best of its version and zone."""
        request = self._request
        movable = view.segments.movable_tokens(request.keys_of(view), now)
        tokens = min(movable, request.prompt_tokens)
        if tokens < MIN_MOVED_TOKENS:
            return
        instance = view.instance
        found = best.setdefault((view.serving_version(request.model), instance.zone), [])
        per_token = request.move_seconds_per_token
        found.append(
            _Source(instance.address, instance.zone, tokens, per_token, instance.instance_id)
        )
        found.sort(key=lambda source: -source.tokens)
        del found[2:]

    def _cache_stores(self, view: InstanceView) -> Iterable[_Source]:
        """Yield the cache stores with enough tokens for an instance's weights."""
        for store in self._request.stores:
            tokens = min(store.tokens_for(view), self._request.prompt_tokens)
            if tokens >= MIN_MOVED_TOKENS:
                yield _Source(store.address, store.zone, tokens, store.move_seconds_per_token)


def _move_seconds(tokens: int, source: _Source, zone: str) -> float:
    """Return the time of a move to an instance of a zone."""
    factor = OTHER_ZONE_FACTOR if source.zone != zone else 1.0
    return MOVE_SECONDS + tokens * source.seconds_per_token * factor
