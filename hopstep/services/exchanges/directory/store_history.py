"""Tracks the node's position in the store's history, and restores of the store."""

from __future__ import annotations

import math

import trio

from hopstep.domain.exchanges.directory_change_log import DirectoryChangeLog
from hopstep.domain.exchanges.restored_backup import RestoredBackup
from hopstep.domain.exchanges.store_contact import StoreContact
from hopstep.domain.store_position import NO_POSITION, StorePosition
from hopstep.exceptions import ErrorCode, StoreError
from hopstep.log_events.configuration import (
    STORE_ANSWER_OUTDATED,
    STORE_ERA_CHANGED,
    STORE_RESTORE_SUSPECTED,
)
from hopstep.logs import emit
from hopstep.ports.serving_directory import DirectoryEntry
from hopstep.services.exchanges.directory.copy_losses import BackupLosses
from hopstep.services.exchanges.directory.known_nodes import KnownNodes

NO_AGE_SECONDS = -1.0


class StoreHistory:
    """Holds the store position of a node.

    Attributes:
        store_position: The node has all changes up to it; ``NO_POSITION`` before the first reading.
        reached_at: Steady clock, seconds: time at which it was the newest position of the store.
        restored_at: Steady clock, seconds: when this node saw, or suspected at its start, that
            the store was restored.
        backup: State of the backup that the store was restored from.
    """

    def __init__(
        self, contact: StoreContact, nodes: KnownNodes, feed: DirectoryChangeLog[DirectoryEntry]
    ) -> None:
        """Start without a position.

        Args:
            contact: Notified of a restore, as entries of instances may be missing.
            nodes: Notified of a restore, as entries of nodes may be missing.
            feed: Notified of the position at which an era ended.
        """
        self.store_position = NO_POSITION
        self.reached_at = -float("inf")
        self.restored_at = -float("inf")
        self.backup = RestoredBackup()
        self._contact = contact
        self._nodes = nodes
        self._feed = feed

    @property
    def was_restored(self) -> bool:
        """Whether the store was restored after this node started, or shortly before."""
        return math.isfinite(self.restored_at)

    @property
    def age_seconds(self) -> float:
        """Seconds since ``store_position`` was the newest position of the store."""
        return trio.current_time() - self.reached_at

    def require_current(self, position: StorePosition) -> None:
        """Raise ``StoreError`` for an answer from before the store's last restore."""
        if position.era >= self.store_position.era:
            return
        emit(
            STORE_ANSWER_OUTDATED,
            era=position.era,
            revision=position.revision,
            known_era=self.store_position.era,
        )
        raise StoreError(
            ErrorCode.STORE_UNAVAILABLE, "the answer is from before a restore of the store"
        )

    def is_later_era(self, position: StorePosition) -> bool:
        """Return whether a store position is in a later era: the store was restored."""
        return self.store_position != NO_POSITION and position.era > self.store_position.era

    def enter_era(self, position: StorePosition, source: str, losses: BackupLosses) -> None:
        """Continue in a later era.

        Args:
            position: First position that is seen of the era.
            source: Node that reported it, or ``STORE_SOURCE``; for the log.
            losses: Known changes that the backup lacks.
        """
        self._note_restore(position)
        self._feed.end_era(self.store_position)
        age = trio.current_time() - losses.since
        emit(
            STORE_ERA_CHANGED,
            era=position.era,
            previous=self.store_position.era,
            revision=position.revision,
            previous_revision=self.store_position.revision,
            copy_age_seconds=round(age, 3) if math.isfinite(age) else NO_AGE_SECONDS,
            lacking=losses.by_kind,
            source=source,
        )
        self.store_position = StorePosition(position.era, NO_POSITION.revision)

    def advance(self, position: StorePosition, at: float) -> None:
        """Note that the node has all changes up to a position, which was the newest at a time."""
        self.store_position = max(self.store_position, position)
        self.reached_at = max(self.reached_at, at)

    def suspect_restore(self, position: StorePosition) -> None:
        """Check at the start whether the store was just restored: most nodes aren't in its era yet.

        Otherwise a node that starts at that time would take the backup for the complete state.
        """
        behind = self._nodes.count_behind(position.era)
        if behind:
            self.restored_at = trio.current_time()
        if 2 * behind > len(self._nodes.records):
            self._note_restore(position)
            emit(STORE_RESTORE_SUSPECTED, era=position.era, nodes_behind=behind)

    def _note_restore(self, position: StorePosition) -> None:
        """Expect others to rewrite what the backup lacks; ``position`` is the new era's first."""
        now = trio.current_time()
        self.restored_at = now
        self.backup.enter(position, now)
        self._nodes.note_restore(now)
        self._contact.note_restore(now)
