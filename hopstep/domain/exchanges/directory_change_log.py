"""Log of the latest change of each directory key, ordered by store position.

Other nodes are updated from it. It also keeps a bounded number of removals; a reader that lacks
older removals must read the store.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from typing import Generic, TypeVar

import msgspec

from hopstep.domain.store_position import NO_POSITION, StorePosition

MAX_REMOVALS = 2_000
"""Removals that are kept."""

MAX_ENDED_ERAS = 64
"""Eras whose last known position is kept."""

Change = TypeVar("Change")


class LoggedChange(msgspec.Struct, Generic[Change], frozen=True):
    """The latest change of one key.

    Attributes:
        key: The key.
        position: Store position of the change.
        change: The change.
        since: Steady clock, seconds: a time no later than the acknowledgement of the change.
        removed: Whether the key was removed.
    """

    key: str
    position: StorePosition
    change: Change
    since: float
    removed: bool = False


class DirectoryChangeLog(Generic[Change]):
    """Latest change of each key, oldest position first."""

    def __init__(self) -> None:
        """Start empty; ``start`` sets the position from which on the log is complete."""
        self._entries: OrderedDict[str, LoggedChange[Change]] = OrderedDict()
        self._removals: deque[tuple[str, StorePosition]] = deque()
        self._complete_from: StorePosition | None = None
        self._era_ends: dict[int, StorePosition] = {}

    def start(self, position: StorePosition) -> None:
        """Note the position of the first snapshot; later calls change nothing."""
        if self._complete_from is None:
            self._complete_from = position

    def end_era(self, position: StorePosition) -> None:
        """Note the last known position of an era that has ended; later writes in it are unknown."""
        self._era_ends[position.era] = position
        while len(self._era_ends) > MAX_ENDED_ERAS:
            del self._era_ends[next(iter(self._era_ends))]

    def put(self, entry: LoggedChange[Change]) -> bool:
        """Add a change; return False when the log has one of its key that is as new or newer."""
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
        """Return the latest change of a key; None when there is none."""
        return self._entries.get(key)

    def existing(self) -> list[LoggedChange[Change]]:
        """Return the entries of keys that exist."""
        return [entry for entry in self._entries.values() if not entry.removed]

    def newest(self) -> list[LoggedChange[Change]]:
        """Return the latest change of every key, including removed keys."""
        return list(self._entries.values())

    def after(self, position: StorePosition) -> list[LoggedChange[Change]] | None:
        """Return the changes after a position, oldest first; None when the log lacks some of them.

        A position in an earlier era is accepted if it isn't after the last known one of that era.
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
        """Return the era of the latest change."""
        newest = next(reversed(self._entries.values()), None)
        return newest.position.era if newest is not None else NO_POSITION.era

    def _forget_removals(self) -> None:
        """Drop the oldest removals beyond ``MAX_REMOVALS``."""
        while len(self._removals) > MAX_REMOVALS:
            key, position = self._removals.popleft()
            entry = self._entries.get(key)
            if entry is not None and entry.removed and entry.position == position:
                del self._entries[key]
                self._complete_from = max(self._complete_from or position, position)
