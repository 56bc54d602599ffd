"""Compares the backup that the store was restored from with the changes that a node has."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

import msgspec

from hopstep.domain.exchanges.directory_change_log import DirectoryChangeLog, LoggedChange
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

EntryFeed = DirectoryChangeLog[DirectoryEntry]


class BackupLosses(msgspec.Struct, frozen=True):
    """Changes that are missing in the backup.

    Attributes:
        by_kind: Number of missing changes of each kind; see ``_kind_of``.
        since: Steady clock, seconds: not later than the store acknowledged the oldest missing
            change, so the backup is at least about that old; infinite when none is missing.
    """

    by_kind: Mapping[str, int] = {}
    since: float = float("inf")


def find_losses(batch: DirectoryBatch, feed: EntryFeed) -> BackupLosses:
    """Return the known changes that are missing in a listing of the restored store.

    Args:
        batch: All entries of the restored store.
        feed: The changes that the node had before the restore.
    """
    listed = {entry.key: entry for entry in batch.entries}
    missing = [known for known in feed.newest() if _is_missing(known, listed.get(known.key))]
    by_kind = Counter(_kind_of(known.change) for known in missing)
    since = min((known.since for known in missing), default=float("inf"))
    return BackupLosses(dict(sorted(by_kind.items())), since)


def _is_missing(known: LoggedChange[DirectoryEntry], listed: DirectoryEntry | None) -> bool:
    """Return whether a change is newer than the backup, judged by its revision."""
    if listed is None:
        return not known.removed
    return known.removed or listed.position.revision < known.position.revision


def _kind_of(entry: DirectoryEntry) -> str:
    """Return the kind of a change, as it is written to the log."""
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
    """Return the kind of a key that hopstep's nodes write themselves."""
    if key == ROLLOUT_KEY:
        return "rollout"
    return "node" if key.startswith(NODES_PREFIX) else "record"
