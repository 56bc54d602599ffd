"""The newest change of every directory key, in the order of the store's history, for other nodes.

Removals are kept too, a bounded number of them: a reader that lacks older ones must read the store.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from typing import Generic, TypeVar

import msgspec

from hopstep.domain.store_position import NO_POSITION, StorePosition

MAX_REMOVALS = 2_000
MAX_ENDED_ERAS = 64

Change = TypeVar("Change")


class LoggedChange(msgspec.Struct, Generic[Change], frozen=True):
    """One key's newest change.

    Attributes:
        key: The key.
        place: Place of the change.
        change: The change.
        since: Steady clock, seconds: not later than when the change was acknowledged.
        removed: Whether the key is gone.
    """

    key: str
    position: StorePosition
    change: Change
    since: float
    removed: bool = False


class DirectoryChangeLog(Generic[Change]):
    """Changes by key."""

    def __init__(self) -> None:
        """Know nothing yet; ``start`` says from which place on nothing is missing."""
        self._entries: OrderedDict[str, LoggedChange[Change]] = OrderedDict()
        self._removals: deque[tuple[str, StorePosition]] = deque()
        self._complete_from: StorePosition | None = None
        self._era_ends: dict[int, StorePosition] = {}

    def start(self, position: StorePosition) -> None:
        """Note the place of the first snapshot; later ones change nothing."""
        if self._complete_from is None:
            self._complete_from = position

    def end_era(self, position: StorePosition) -> None:
        """Note where an era is left: what was written in it after this place isn't known."""
        self._era_ends[position.era] = position
        while len(self._era_ends) > MAX_ENDED_ERAS:
            del self._era_ends[next(iter(self._era_ends))]

    def put(self, entry: LoggedChange[Change]) -> bool:
        """Take a change; return False when a newer one of its key is known."""
        known = self._entries.get(entry.key)
        if known is not None and known.position >= entry.position:
            return False
        self._entries[entry.key] = entry
        self._entries.move_to_end(entry.key)
        if entry.removed:
            self._removals.append((entry.key, entry.position))
            self._forget_removals()
        return True

    def get(self, key: str) -> LoggedChange[Change] | None:
        """Return a key's newest change."""
        return self._entries.get(key)

    def existing(self) -> list[LoggedChange[Change]]:
        """Return the entries of keys that exist."""
        return [entry for entry in self._entries.values() if not entry.removed]

    def newest(self) -> list[LoggedChange[Change]]:
        """Return the newest change of every key, also of those that are gone."""
        return list(self._entries.values())

    def after(self, position: StorePosition) -> list[LoggedChange[Change]] | None:
        """Return the changes after a place, oldest first; None when some aren't known.

        A place of an earlier era counts as long as that era was left behind it.
        """
        if self._complete_from is None or position < self._complete_from:
            return None
        if self._newest_era() > position.era and position > self._era_ends.get(
            position.era, NO_POSITION
        ):
            return None
        newer = []
        for entry in reversed(self._entries.values()):
            if entry.position <= position:
                break
            newer.append(entry)
        return newer[::-1]

    def _newest_era(self) -> int:
        """Return the era of the newest change."""
        newest = next(reversed(self._entries.values()), None)
        return newest.position.era if newest is not None else NO_POSITION.era

    def _forget_removals(self) -> None:
        """Drop the oldest removals beyond the bound."""
        while len(self._removals) > MAX_REMOVALS:
            key, position = self._removals.popleft()
            entry = self._entries.get(key)
            if entry is not None and entry.removed and entry.position == position:
                del self._entries[key]
                self._complete_from = max(self._complete_from or position, position)
