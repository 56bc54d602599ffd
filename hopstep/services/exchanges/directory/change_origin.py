"""Where a node received a change of the directory from, and when the change was made."""

from __future__ import annotations

import msgspec

from hopstep.domain.exchanges.directory_change_log import LoggedChange
from hopstep.domain.store_position import NO_POSITION, StorePosition
from hopstep.ports.serving_directory import DirectoryEntry

STORE_SOURCE = "store"
"""Source of changes that this node has read from the store itself."""


class ChangeOrigin(msgspec.Struct, frozen=True):
    """Source, age and store position of a change.

    Attributes:
        source: Node that reported it, or ``STORE_SOURCE``; for the log.
        since: Steady clock, seconds: not later than the store acknowledged the change.
        age_ms: Time since ``since``, in milliseconds; for the log.
        position: Its store position.
        previous_position: Store position of the key's previous change; ``NOWHERE`` for none.
        may_be_copied: Whether it may come from the backup that the store was restored from.
    """

    source: str
    since: float
    age_ms: int
    position: StorePosition
    previous_position: StorePosition = NO_POSITION
    may_be_copied: bool = False


def feed_entry(entry: DirectoryEntry, since: float) -> LoggedChange[DirectoryEntry]:
    """Return an entry with the time of its change.

    Args:
        entry: The entry.
        since: Steady clock, seconds: not later than the store acknowledged the change.
    """
    return LoggedChange(entry.key, entry.position, entry, since, entry.removed)
