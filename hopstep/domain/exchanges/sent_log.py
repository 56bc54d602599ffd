"""Numbered log of recently sent prompts, from which each reader gets each prompt about once."""

from __future__ import annotations

from collections import deque
from typing import Generic, TypeVar

import msgspec

MAX_KEPT = 2_048
"""Items in the log."""

Item = TypeVar("Item")


class _Numbered(msgspec.Struct, Generic[Item], frozen=True):
    number: int
    origin: str
    item: Item


class SentLog(Generic[Item]):
    """A bounded log; a reader that falls behind misses the oldest items."""

    def __init__(self, identity: str) -> None:
        """Start empty.

        Args:
            identity: Identifies this log; positions in other logs are meaningless here.
        """
        self.identity = identity
        self._items: deque[_Numbered[Item]] = deque(maxlen=MAX_KEPT)
        self._last = 0

    def append(self, origin: str, item: Item) -> None:
        """Add an item.

        Args:
            origin: The node that reported it; it isn't sent back there.
            item: The item.
        """
        self._last += 1
        self._items.append(_Numbered(self._last, origin, item))

    def after(
        self, identity: str, position: int, reader: str, limit: int
    ) -> tuple[tuple[Item, ...], int]:
        """Return the newest items after a position, oldest first, and the last position.

        Args:
            identity: Log that the position belongs to; for another log nothing is returned.
            position: The reader has all items up to it.
            reader: The reading node; its own items are left out.
            limit: Most items.
        """
        if identity != self.identity:
            return (), self._last
        found: list[Item] = []
        for numbered in reversed(self._items):
            if numbered.number <= position or len(found) >= limit:
                break
            if numbered.origin != reader:
                found.append(numbered.item)
        return tuple(found[::-1]), self._last
