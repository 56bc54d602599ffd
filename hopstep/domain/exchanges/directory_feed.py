"""The newest change of every directory key, in the order of store revisions, for other nodes.

Removals are kept too, a bounded number of them: a reader that lacks older ones must read the store.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from typing import Generic, TypeVar

import msgspec

MAX_REMOVALS = 2_000

Change = TypeVar("Change")


class FeedEntry(msgspec.Struct, Generic[Change], frozen=True):
    """One key's newest change.

    Attributes:
        key: The key.
        revision: Store revision of the change.
        change: The change.
        since: Steady clock, seconds: not later than when the change was acknowledged.
        removed: Whether the key is gone.
    """

    key: str
    revision: int
    change: Change
    since: float
    removed: bool = False


class DirectoryFeed(Generic[Change]):
    """Changes by key."""

    def __init__(self) -> None:
        """Know nothing yet; ``start`` says from which revision on nothing is missing."""
        self._entries: OrderedDict[str, FeedEntry[Change]] = OrderedDict()
        self._removals: deque[tuple[str, int]] = deque()
        self._complete_from: int | None = None

    def start(self, revision: int) -> None:
        """Note the revision of the first snapshot; later ones change nothing."""
        if self._complete_from is None:
            self._complete_from = revision

    def put(self, entry: FeedEntry[Change]) -> bool:
        """Take a change; return False when a newer one of its key is known."""
        known = self._entries.get(entry.key)
        if known is not None and known.revision >= entry.revision:
            return False
        self._entries[entry.key] = entry
        self._entries.move_to_end(entry.key)
        if entry.removed:
            self._removals.append((entry.key, entry.revision))
            self._forget_removals()
        return True

    def get(self, key: str) -> FeedEntry[Change] | None:
        """Return a key's newest change."""
        return self._entries.get(key)

    def listed(self) -> list[FeedEntry[Change]]:
        """Return the entries of keys that exist."""
        return [entry for entry in self._entries.values() if not entry.removed]

    def after(self, revision: int) -> list[FeedEntry[Change]] | None:
        """Return the changes after a revision, oldest first; None when some aren't known."""
        if self._complete_from is None or revision < self._complete_from:
            return None
        newer = []
        for entry in reversed(self._entries.values()):
            if entry.revision <= revision:
                break
            newer.append(entry)
        return newer[::-1]

    def _forget_removals(self) -> None:
        """Drop the oldest removals beyond the bound."""
        while len(self._removals) > MAX_REMOVALS:
            key, revision = self._removals.popleft()
            entry = self._entries.get(key)
            if entry is not None and entry.removed and entry.revision == revision:
                del self._entries[key]
                self._complete_from = max(self._complete_from or 0, revision)
