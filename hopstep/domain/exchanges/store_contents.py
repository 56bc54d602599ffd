"""Contents of a cache store by its events, which are delayed and incomplete.

One node reads the events and numbers the changes; others follow by number. The contents have an
identity: when it changes, followers start again from empty contents.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Sequence

import msgspec

from hopstep.domain.exchanges.segments import SegmentKey, segment_digest
from hopstep.domain.rendezvous import hash_name

PUSH_SECONDS = 2.0
"""Time after asking an instance to save a segment in which no other one is asked to."""

MAX_KEPT = 65_536
"""Segments that are recorded, including dropped ones."""


class CacheEvent(msgspec.Struct, frozen=True):
    """One change of the contents of a cache store or of an engine's cache.

    Attributes:
        salt: Salt of the segment's key.
        segment_id: Id of the segment.
        tokens: Tokens cached now; 0 when it was dropped.
        model: Model of the segment.
    """

    salt: str
    segment_id: str
    tokens: int
    model: str

    @property
    def digest(self) -> int:
        """64-bit hash of model, salt and segment."""
        return segment_digest(self.model, self.salt, self.segment_id)


class StoredSegment(msgspec.Struct, frozen=True, array_like=True):
    """Latest state of a segment.

    Attributes:
        digest: 64-bit hash of model, salt and segment.
        tokens: Tokens stored; 0 when it was dropped.
    """

    digest: int
    tokens: int


class ContentsPosition(msgspec.Struct, frozen=True, array_like=True):
    """Position up to which a node knows the contents of a store.

    Attributes:
        address: ``ip:port`` of the store.
        identity: Identity of the contents.
        number: Number of the last known change.
    """

    address: str
    identity: str = ""
    number: int = 0


class ContentsUpdate(msgspec.Struct, frozen=True, array_like=True):
    """Changes of a store's contents after a position.

    Attributes:
        after: The position; if its identity differs from that of ``now``, earlier contents are
            void.
        now: The position after the changes.
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
        """Start empty and unreachable.

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
        """Return the number of stored segments."""
        return sum(1 for tokens, _ in self._kept.values() if tokens > 0)

    @property
    def address(self) -> str:
        """Address of the store, ``ip:port``."""
        return self._address

    @property
    def position(self) -> ContentsPosition:
        """Position up to which the contents are known."""
        return ContentsPosition(self._address, self._identity, self._number)

    def clear(self, identity: str = "") -> None:
        """Remove everything: the store was emptied, or events were lost.

        Args:
            identity: Identity of the contents from now on.
        """
        self._kept.clear()
        self._pushed.clear()
        self._identity = identity
        self._number = 0

    def apply(self, events: Iterable[CacheEvent]) -> None:
        """Apply events, oldest first."""
        for event in events:
            self._number += 1
            self._put(StoredSegment(event.digest, max(0, event.tokens)))

    def updates_after(self, position: ContentsPosition, limit: int) -> ContentsUpdate:
        """Return the changes after a position, the oldest up to a limit.

        Args:
            position: Position of the asking node.
            limit: Highest number of changes.
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

    def take(self, update: ContentsUpdate) -> None:
        """Apply an update of another node, unless it doesn't continue at the known position."""
        self.reachable = update.reachable
        if update.after != self.position:
            return
        if update.now.identity != self._identity:
            self.clear(update.now.identity)
        self._number = update.now.number
        for segment in update.changes:
            self._put(segment)

    def cached_tokens(self, keys: Iterable[SegmentKey]) -> int:
        """Return the tokens of the leading segments that are stored."""
        if not self.reachable:
            return 0
        tokens = 0
        for key in keys:
            if not self._keeps(key.digest):
                break
            tokens += key.tokens
        return tokens

    def claim_push(self, keys: Iterable[SegmentKey], now: float) -> bool:
        """Return whether an instance should save these segments, and record that it was asked to.

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
        """Return whether a segment is stored."""
        return self._kept.get(digest, (0, 0))[0] > 0

    def _put(self, segment: StoredSegment) -> None:
        """Record a segment's latest state under the current number."""
        self._kept[segment.digest] = (segment.tokens, self._number)
        self._kept.move_to_end(segment.digest)
        if len(self._kept) > MAX_KEPT:
            self._kept.popitem(last=False)


def choose_push_target(
    stores: Iterable[StoreContents], keys: Sequence[SegmentKey], now: float
) -> str:
    """Return the address of the store to which a prompt's shared segments are saved; "" for none.

    Load pattern: more shared segments than one store holds. Each prompt has one home among the
    reachable stores, the same at all nodes, so that together they hold as much as their capacities
    add up to. With a copy in each store they would hold no more than one of them.

    Args:
        stores: The cache stores that serve an instance's service.
        keys: Shared segments of the prompt; at least one.
        now: Steady clock, seconds.
    """
    reachable = [contents for contents in stores if contents.reachable]
    tokens = sum(key.tokens for key in keys)
    if not reachable or any(contents.cached_tokens(keys) >= tokens for contents in reachable):
        return ""
    digest = keys[-1].digest
    home = max(reachable, key=lambda contents: hash_name(f"{contents.address} {digest}"))
    return home.address if home.claim_push(keys, now) else ""


def _oldest(
    changes: list[tuple[int, StoredSegment]], limit: int
) -> list[tuple[int, StoredSegment]]:
    """Return the first changes up to a limit, and all others with the last one's number."""
    part = changes[:limit]
    for number, segment in changes[limit:]:
        if number != part[-1][0]:
            break
        part.append((number, segment))
    return part
