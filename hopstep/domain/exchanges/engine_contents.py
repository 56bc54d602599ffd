"""What an engine keeps by its cache events, and how a picture of it must be corrected.

A picture gains what is sent to the engine, by whichever node. It can't see that segments give way
to others or to running requests, that a request never ran, or what was kept before the node
started. The engine's events tell these, late and with a few missing.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

import msgspec

from hopstep.domain.exchanges.segments import SegmentIndex, SegmentKey
from hopstep.domain.exchanges.store_contents import CacheEvent

CONFIRMED_SECONDS = 2.0
"""A segment that no event has reported so long after it should have been read isn't kept.

Events come within 0.3 s, and prompts wait at most a second or two at an engine that works.
"""

EVENT_DELAY_SECONDS = 0.3
"""An event that a segment was dropped may be this old; what was sent since is kept."""

MAX_KEPT = 65_536
"""Most segments: ten times what an engine's memory holds. Lost events leave some behind."""

MAX_DROPPED = 1_024
"""Most segments that are remembered as dropped: those of several seconds."""


class Corrections(msgspec.Struct, frozen=True):
    """What a picture lacks and what it has too much.

    Attributes:
        kept: Segments that the engine keeps and the picture doesn't have.
        dropped: Digests of segments that the picture has and the engine doesn't keep.
    """

    kept: tuple[SegmentKey, ...] = ()
    dropped: tuple[int, ...] = ()

    @property
    def is_empty(self) -> bool:
        """Whether the picture is right."""
        return not (self.kept or self.dropped)


class EngineContents:
    """Segments of one engine as its events tell them."""

    def __init__(self, now: float) -> None:
        """Know nothing yet.

        Args:
            now: Steady clock, seconds.
        """
        self._kept: dict[int, int] = {}
        self._dropped: OrderedDict[int, None] = OrderedDict()
        self._complete_since = now
        self._read_first = False

    def note_gap(self, now: float) -> None:
        """Note that events are missing: of what was sent before, nothing more can be told."""
        self._complete_since = now

    def restart(self, now: float) -> None:
        """Note that the engine has started empty."""
        self._kept.clear()
        self._complete_since = now

    def take(self, events: Iterable[CacheEvent], index: SegmentIndex, now: float) -> Corrections:
        """Take events, oldest first, and return how a picture has to change.

        Args:
            events: The events.
            index: What nodes believe of the engine.
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
        """Take events; return the segments that they are about."""
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
        """Return whether a segment of the picture was dropped and not sent again since."""
        if digest in self._kept or digest not in index:
            return False
        return index.read_at(digest) < now - EVENT_DELAY_SECONDS

    def _remember_dropped(self, kept: Iterable[int], dropped: Iterable[int]) -> None:
        """Remember what nodes were told was dropped: they must hear if it is read again."""
        for digest in kept:
            del self._dropped[digest]
        for digest in dropped:
            self._dropped[digest] = None
            self._dropped.move_to_end(digest)
        while len(self._dropped) > MAX_DROPPED:
            self._dropped.popitem(last=False)

    def _first_found(self, index: SegmentIndex) -> tuple[SegmentKey, ...]:
        """Return, the first time, what is kept and not in the picture."""
        if self._read_first:
            return ()
        self._read_first = True
        found = self._kept.items()
        return tuple(SegmentKey(*item) for item in found if item[0] not in index)

    def _unconfirmed(self, index: SegmentIndex, now: float) -> list[int]:
        """Return segments that should have been read by now and that no event has reported."""
        expected = index.read_between(self._complete_since, now - CONFIRMED_SECONDS)
        return [digest for digest in expected if digest not in self._kept]
