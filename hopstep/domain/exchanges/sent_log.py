"""Prompts that were sent lately, numbered, so that each reader gets each of them about once."""

from __future__ import annotations

from collections import deque
from typing import Generic, TypeVar

import msgspec

MAX_KEPT = 2_048

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
            identity: Tells this log from others; numbers of other logs mean nothing here.
        """
        self.identity = identity
        self._items: deque[_Numbered[Item]] = deque(maxlen=MAX_KEPT)
        self._last = 0

    def append(self, origin: str, item: Item) -> None:
        """Add an item.

        Args:
            origin: The node that told it, which isn't told again.
            item: The item.
        """
        self._last += 1
        self._items.append(_Numbered(self._last, origin, item))

    def after(
        self, identity: str, position: int, reader: str, limit: int
    ) -> tuple[tuple[Item, ...], int]:
        """Return the newest items behind a position, oldest first, and the last position.

        Args:
            identity: Log that the position belongs to; of another log nothing is returned.
            position: Items up to it are known.
            reader: Whose own items are left out.
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
