"""Cache contents of an engine by its cache events, and the corrections of its segment index.

A segment index records the segments that any node sends to the engine. It can't see evictions,
requests that never ran, or segments that were cached before the node started. The engine's cache
events report these, with a delay and with a few events missing.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

import msgspec

from hopstep.domain.exchanges.segments import SegmentIndex, SegmentKey
from hopstep.domain.exchanges.store_contents import CacheEvent

CONFIRMED_SECONDS = 2.0
"""Seconds from the expected end of a segment's prefill after which it counts as not cached if no
event has reported it.

Events arrive within 0.3 s, and prompts wait at most a second or two at a working engine.
"""

EVENT_DELAY_SECONDS = 0.3
"""Highest age of an event, in seconds: segments sent later than that are kept in the index although
an event reports them as dropped."""

MAX_KEPT = 65_536
"""Segments: ten times what an engine's memory holds. Lost events leave stale segments behind."""

MAX_DROPPED = 1_024
"""Segments that are remembered as dropped: those of several seconds."""


class Corrections(msgspec.Struct, frozen=True):
    """Corrections of a segment index.

    Attributes:
        kept: Segments that the engine has cached and the index lacks.
        dropped: Digests of segments in the index that the engine doesn't have.
    """

    kept: tuple[SegmentKey, ...] = ()
    dropped: tuple[int, ...] = ()

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing to correct."""
        return not (self.kept or self.dropped)


class EngineContents:
    """Segments of one engine as its cache events report them."""

    def __init__(self, now: float) -> None:
        """Start without any event.

        Args:
            now: Steady clock, seconds.
        """
        self._kept: dict[int, int] = {}
        self._dropped: OrderedDict[int, None] = OrderedDict()
        self._complete_since = now
        self._read_first = False

    def note_gap(self, now: float) -> None:
        """Note that events are missing: nothing can be concluded about segments sent before."""
        self._complete_since = now

    def restart(self, now: float) -> None:
        """Note that the engine has started with an empty cache."""
        self._kept.clear()
        self._complete_since = now

    def take(self, events: Iterable[CacheEvent], index: SegmentIndex, now: float) -> Corrections:
        """Apply events, oldest first, and return the corrections of the index.

        Args:
            events: The events.
            index: The nodes' segment index of the engine.
            now: Steady clock, seconds.
        """
        if len(self._kept) > MAX_KEPT:
            self.restart(now)
        touched = self._apply(events)
        kept = [digest for digest in touched if digest in self._kept and digest in self._dropped]
        gone = [digest for digest in touched if self._is_gone(digest, index, now)]
        dropped = (*gone, *self._unconfirmed(index, now))
        self._remember_dropped(kept, dropped)
        found = tuple(SegmentKey(digest, self._kept[digest]) for digest in kept)
        return Corrections(found + self._first_found(index), dropped)

    def _apply(self, events: Iterable[CacheEvent]) -> list[int]:
        """Apply events; return the digests of the segments that they name."""
        touched: dict[int, None] = {}
        for event in events:
            digest = event.digest
            touched[digest] = None
            if event.tokens > 0:
                self._kept[digest] = event.tokens
            else:
                self._kept.pop(digest, None)
        return list(touched)

    def _is_gone(self, digest: int, index: SegmentIndex, now: float) -> bool:
        """Return whether a segment of the index was dropped and not sent again since."""
        if digest in self._kept or digest not in index:
            return False
        return index.read_at(digest) < now - EVENT_DELAY_SECONDS

    def _remember_dropped(self, kept: Iterable[int], dropped: Iterable[int]) -> None:
        """Remember segments reported as dropped: nodes need a report if they are cached again."""
        for digest in kept:
            del self._dropped[digest]
        for digest in dropped:
            self._dropped[digest] = None
            self._dropped.move_to_end(digest)
        while len(self._dropped) > MAX_DROPPED:
            self._dropped.popitem(last=False)

    def _first_found(self, index: SegmentIndex) -> tuple[SegmentKey, ...]:
        """Return, on the first call only, the cached segments that aren't in the index."""
        if self._read_first:
            return ()
        self._read_first = True
        found = self._kept.items()
        return tuple(SegmentKey(*item) for item in found if item[0] not in index)

    def _unconfirmed(self, index: SegmentIndex, now: float) -> list[int]:
        """Return segments that should be prefilled by now and that no event has reported."""
        expected = index.read_between(self._complete_since, now - CONFIRMED_SECONDS)
        return [digest for digest in expected if digest not in self._kept]
