"""How a node has come to know of a change of the directory."""

from __future__ import annotations

import msgspec

from hopstep.domain.exchanges.directory_feed import FeedEntry
from hopstep.domain.store_place import NOWHERE, StorePlace
from hopstep.ports.serving_directory import DirectoryEntry

STORE_SOURCE = "store"
"""Source of what this node has read from the store itself."""


class News(msgspec.Struct, frozen=True):
    """Beside a change: who told it, and when and where it was made.

    Attributes:
        source: Node that told it, or ``STORE_SOURCE``; for the log.
        since: Steady clock, seconds: not later than when the change was acknowledged.
        age_ms: The same as an age; for the log.
        place: Its place in the store's history.
        known_at: Place of the change of the same key that was known before.
        may_be_copied: Whether it may be from a copy of the store, as it was before a restore.
    """

    source: str
    since: float
    age_ms: int
    place: StorePlace
    known_at: StorePlace = NOWHERE
    may_be_copied: bool = False


def feed_entry(entry: DirectoryEntry, since: float) -> FeedEntry[DirectoryEntry]:
    """Return an entry with the time after which it was made.

    Args:
        entry: The entry.
        since: Steady clock, seconds: not later than when it was acknowledged.
    """
    return FeedEntry(entry.key, entry.position, entry, since, entry.removed)
