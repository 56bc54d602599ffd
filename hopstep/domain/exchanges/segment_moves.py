"""From where an engine best brings prompt segments: another engine or a cache store.

The sources of one request are looked up once, by weights version and zone, so that rating all
engines takes time in proportion to their number.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

import msgspec

from hopstep.domain.exchanges.instance_view import InstanceView
from hopstep.domain.exchanges.segments import SegmentKey

MOVE_SECONDS = 0.004
"""Fixed time of bringing segments from another instance."""

OTHER_ZONE_FACTOR = 2.0
"""Between zones a move takes this much longer."""

MIN_MOVED_TOKENS = 64
"""Fewer tokens are read rather than moved."""

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


class EngineRequest(msgspec.Struct, frozen=True):
    """What the choice of an engine depends on.

    Attributes:
        keys_of: Returns the prompt's keys for an instance.
        model: Name of the model.
        prompt_tokens: Length of the prompt.
        move_seconds_per_token: Time to bring one token from an instance of the same zone.
        stores: Cache stores.
        zone: Zone of this node.
        other_zone_seconds: Delay that a request to another zone counts for.
        preferred_version: Engines with older weights give way.
    """

    keys_of: KeysOf
    model: str
    prompt_tokens: int
    move_seconds_per_token: float
    stores: tuple[StoreSource, ...] = ()
    zone: str = ""
    other_zone_seconds: float = 0.0
    preferred_version: int = 0


class Move(msgspec.Struct, frozen=True):
    """A way to bring segments.

    Attributes:
        address: ``ip:port`` of the source; empty for none.
        tokens: Tokens that come.
        seconds: Time that it takes.
    """

    address: str = ""
    tokens: int = 0
    seconds: float = 0.0


class _Source(msgspec.Struct, frozen=True):
    view: InstanceView
    tokens: int


class SegmentSources:
    """All sources of one request."""

    def __init__(self, sources: Iterable[InstanceView], request: EngineRequest) -> None:
        """Look up what each source keeps.

        Args:
            sources: Instances from which segments may be brought.
            request: The request.
        """
        self._request = request
        self._best: dict[tuple[int, str], list[_Source]] = {}
        for view in sources:
            self._add(view)

    def best_move(self, view: InstanceView, cached: int) -> Move:
        """Return the way that brings the most tokens, the fastest among equals.

        Args:
            view: The instance to which they are brought.
            cached: Tokens that it keeps itself.
        """
        moves = [
            self._from_store(view, store, cached)
            for store in self._request.stores
            if store.tokens_for(view) - cached >= MIN_MOVED_TOKENS
        ]
        version = view.versions.get(self._request.model, 0)
        for (known_version, _), sources in self._best.items():
            if known_version == version:
                moves += self._from_engines(view, sources, cached)
        return max(moves, key=lambda move: (move.tokens, -move.seconds), default=Move())

    def _add(self, view: InstanceView) -> None:
        """Take a source if it is among the two best of its version and zone."""
        request = self._request
        tokens = min(view.segments.cached_tokens(request.keys_of(view)), request.prompt_tokens)
        if tokens < MIN_MOVED_TOKENS:
            return
        key = (view.versions.get(request.model, 0), view.instance.zone)
        best = self._best.setdefault(key, [])
        best.append(_Source(view, tokens))
        best.sort(key=lambda source: -source.tokens)
        del best[2:]

    def _from_engines(
        self, view: InstanceView, sources: Sequence[_Source], cached: int
    ) -> list[Move]:
        """Return the move from the best of a zone's engines that isn't the instance itself."""
        for source in sources:
            tokens = source.tokens - cached
            if source.view is view or tokens < MIN_MOVED_TOKENS:
                continue
            instance = source.view.instance
            per_token = self._request.move_seconds_per_token
            seconds = _move_seconds(tokens, per_token, instance.zone, view)
            return [Move(instance.address, tokens, seconds)]
        return []

    def _from_store(self, view: InstanceView, store: StoreSource, cached: int) -> Move:
        """Return the move from a cache store."""
        tokens = min(store.tokens_for(view), self._request.prompt_tokens) - cached
        seconds = _move_seconds(tokens, store.move_seconds_per_token, store.zone, view)
        return Move(store.address, tokens, seconds)


def _move_seconds(tokens: int, per_token: float, zone: str, view: InstanceView) -> float:
    """Return the time of a move to an instance."""
    factor = OTHER_ZONE_FACTOR if zone != view.instance.zone else 1.0
    return MOVE_SECONDS + tokens * per_token * factor
