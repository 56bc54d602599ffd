"""What a copy, from which the store came back, lacks of what a node knows."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

import msgspec

from hopstep.domain.exchanges.directory_feed import DirectoryFeed, FeedEntry
from hopstep.ports.serving_directory import (
    ConfigurationPublished,
    DirectoryBatch,
    DirectoryEntry,
    InstanceListed,
    InstanceRejected,
    InstanceRemoved,
    RecordWritten,
    WeightsPublished,
)
from hopstep.services.exchanges.directory.records import NODES_PREFIX, ROLLOUT_KEY

Feed = DirectoryFeed[DirectoryEntry]


class CopyLosses(msgspec.Struct, frozen=True):
    """What a copy lacks.

    Attributes:
        by_kind: How many changes of each kind; see ``_kind_of``.
        since: Steady clock, seconds: not later than the oldest of them was acknowledged, so the
            copy is about that old at least; infinite when nothing is known to be lost.
    """

    by_kind: Mapping[str, int] = {}
    since: float = float("inf")


def losses_of(batch: DirectoryBatch, feed: Feed) -> CopyLosses:
    """Return what a listing of the restored store lacks of the changes that are known.

    Args:
        batch: All that the store shows.
        feed: What is known from before.
    """
    shown = {entry.key: entry for entry in batch.entries}
    lost = [known for known in feed.newest() if _is_lost(known, shown.get(known.key))]
    by_kind = Counter(_kind_of(known.change) for known in lost)
    since = min((known.since for known in lost), default=float("inf"))
    return CopyLosses(dict(sorted(by_kind.items())), since)


def _is_lost(known: FeedEntry[DirectoryEntry], shown: DirectoryEntry | None) -> bool:
    """Return whether a change was made after the copy, as far as revisions tell."""
    if shown is None:
        return not known.removed
    return known.removed or shown.position.revision < known.place.revision


def _kind_of(entry: DirectoryEntry) -> str:
    """Return the name of a kind of change, as the log shows it."""
    match entry.change:
        case ConfigurationPublished():
            return "configuration"
        case WeightsPublished():
            return "weights"
        case InstanceListed() | InstanceRejected():
            return "instance"
        case InstanceRemoved():
            return "instance_end"
        case RecordWritten(key):
            return _record_kind(key)
    return "unreadable"


def _record_kind(key: str) -> str:
    """Return the kind of a key of hopstep's own."""
    if key == ROLLOUT_KEY:
        return "rollout"
    return "node" if key.startswith(NODES_PREFIX) else "record"
