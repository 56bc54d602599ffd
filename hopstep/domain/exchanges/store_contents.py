"""What a cache store keeps, as its events tell: late, and with a few missing.

One node reads the events and numbers the changes; others follow by number. Contents have an
identity: under another one everything is learned anew.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

import msgspec

from hopstep.domain.exchanges.segments import SegmentKey, segment_digest

PUSH_SECONDS = 2.0
"""A segment that an instance was asked to save isn't saved by another one for so long."""

MAX_KEPT = 65_536
"""Most segments, those that were dropped included."""


class CacheEvent(msgspec.Struct, frozen=True):
    """One change of what a cache store or an engine keeps.

    Attributes:
        salt: Text under which the segment is kept.
        segment_id: The segment.
        tokens: Tokens kept now; 0 when it was dropped.
        model: Its model.
    """

    salt: str
    segment_id: str
    tokens: int
    model: str

    @property
    def digest(self) -> int:
        """Key of the segment."""
        return segment_digest(self.model, self.salt, self.segment_id)


class StoredSegment(msgspec.Struct, frozen=True, array_like=True):
    """A segment as it is kept now.

    Attributes:
        digest: 64-bit hash of model, salt and segment.
        tokens: Tokens kept; 0 when it was dropped.
    """

    digest: int
    tokens: int


class ContentsPosition(msgspec.Struct, frozen=True, array_like=True):
    """How far a node knows the contents of a store.

    Attributes:
        address: ``ip:port`` of the store.
        identity: Identity of the contents.
        number: Changes up to it are known.
    """

    address: str
    identity: str = ""
    number: int = 0


class ContentsUpdate(msgspec.Struct, frozen=True, array_like=True):
    """Changes of a store's contents behind a position.

    Attributes:
        after: The position; under another identity than ``now`` nothing of it holds.
        now: The position behind the changes.
        reachable: Whether the store answers.
        changes: Oldest first.
    """

    after: ContentsPosition
    now: ContentsPosition
    reachable: bool
    changes: tuple[StoredSegment, ...] = ()


class StoreContents:
    """Segments of one cache store."""

    def __init__(self, address: str = "") -> None:
        """Start empty and out of reach.

        Args:
            address: ``ip:port`` of the store.
        """
        self.reachable = False
        self._address = address
        self._identity = ""
        self._number = 0
        self._kept: OrderedDict[int, tuple[int, int]] = OrderedDict()
        self._pushed: dict[int, float] = {}

    def __len__(self) -> int:
        """Return the number of segments that are kept."""
        return sum(1 for tokens, _ in self._kept.values() if tokens > 0)

    @property
    def position(self) -> ContentsPosition:
        """How far the contents are known."""
        return ContentsPosition(self._address, self._identity, self._number)

    def clear(self, identity: str = "") -> None:
        """Forget everything: the store was emptied, or events were lost.

        Args:
            identity: Identity of the contents from now on.
        """
        self._kept.clear()
        self._pushed.clear()
        self._identity = identity
        self._number = 0

    def apply(self, events: Iterable[CacheEvent]) -> None:
        """Take events, oldest first."""
        for event in events:
            self._number += 1
            self._put(StoredSegment(event.digest, max(0, event.tokens)))

    def updates_after(self, position: ContentsPosition, limit: int) -> ContentsUpdate:
        """Return the changes behind a position, the oldest up to a limit.

        Args:
            position: Where the asking node stands.
            limit: Most changes.
        """
        known = position.number if position.identity == self._identity else 0
        newer: list[tuple[int, StoredSegment]] = []
        for digest, (tokens, number) in reversed(self._kept.items()):
            if number <= known:
                break
            newer.append((number, StoredSegment(digest, tokens)))
        part = _oldest(newer[::-1], limit)
        number = part[-1][0] if part else max(known, self._number)
        now = ContentsPosition(self._address, self._identity, number)
        changes = tuple(segment for _, segment in part)
        return ContentsUpdate(position, now, self.reachable, changes)

    def take(self, news: ContentsUpdate) -> None:
        """Take changes that another node tells, unless they don't follow what is known."""
        self.reachable = news.reachable
        if news.after != self.position:
            return
        if news.now.identity != self._identity:
            self.clear(news.now.identity)
        self._number = news.now.number
        for segment in news.changes:
            self._put(segment)

    def cached_tokens(self, keys: Iterable[SegmentKey]) -> int:
        """Return the tokens of the leading segments that are kept whole."""
        if not self.reachable:
            return 0
        tokens = 0
        for key in keys:
            if not self._keeps(key.digest):
                break
            tokens += key.tokens
        return tokens

    def claim_push(self, keys: Iterable[SegmentKey], now: float) -> bool:
        """Return whether an instance should save these segments, and note that it will.

        Args:
            keys: Shared segments of a prompt.
            now: Steady clock, seconds.
        """
        if not self.reachable:
            return False
        missing = [
            key.digest
            for key in keys
            if not self._keeps(key.digest)
            and now - self._pushed.get(key.digest, -PUSH_SECONDS) >= PUSH_SECONDS
        ]
        for digest in missing:
            self._pushed[digest] = now
        return bool(missing)

    def _keeps(self, digest: int) -> bool:
        """Return whether a segment is kept."""
        return self._kept.get(digest, (0, 0))[0] > 0

    def _put(self, segment: StoredSegment) -> None:
        """Take a segment's newest state under the number reached."""
        self._kept[segment.digest] = (segment.tokens, self._number)
        self._kept.move_to_end(segment.digest)
        if len(self._kept) > MAX_KEPT:
            self._kept.popitem(last=False)


def _oldest(
    changes: list[tuple[int, StoredSegment]], limit: int
) -> list[tuple[int, StoredSegment]]:
    """Return the first changes up to a limit, and all that share the last one's number."""
    part = changes[:limit]
    for number, segment in changes[limit:]:
        if number != part[-1][0]:
            break
        part.append((number, segment))
    return part
