"""Where in the store's history a node stands, and what it makes of a store that was restored."""

from __future__ import annotations

import math

import trio

from hopstep import log_events
from hopstep.domain.exchanges.directory_feed import DirectoryFeed
from hopstep.domain.exchanges.restored_copy import RestoredCopy
from hopstep.domain.exchanges.store_contact import StoreContact
from hopstep.domain.store_place import NOWHERE, StorePlace
from hopstep.exceptions import ErrorCode, StoreError
from hopstep.logs import emit
from hopstep.ports.serving_directory import DirectoryEntry
from hopstep.services.exchanges.directory.copy_losses import CopyLosses
from hopstep.services.exchanges.directory.known_nodes import KnownNodes

NO_AGE_SECONDS = -1.0


class StoreHistory:
    """The node's place.

    Attributes:
        place: Everything up to it is known; ``NOWHERE`` before the first reading.
        reached_at: Time at which it was the newest in the store.
        restored_at: When this node saw, or suspected at its start, that the store was restored.
        copy: What is known of the copy.
    """

    def __init__(
        self, contact: StoreContact, nodes: KnownNodes, feed: DirectoryFeed[DirectoryEntry]
    ) -> None:
        """Stand nowhere.

        Args:
            contact: Told of a restore: entries of instances may be missing.
            nodes: Told of it: entries of nodes may be missing.
            feed: Told where an era is left.
        """
        self.store_position = NOWHERE
        self.reached_at = -float("inf")
        self.restored_at = -float("inf")
        self.copy = RestoredCopy()
        self._contact = contact
        self._nodes = nodes
        self._feed = feed

    @property
    def was_restored(self) -> bool:
        """Whether the store has been restored since this node started, or shortly before."""
        return math.isfinite(self.restored_at)

    @property
    def age_seconds(self) -> float:
        """Time since ``place`` was the newest in the store."""
        return trio.current_time() - self.reached_at

    def require_current(self, place: StorePlace) -> None:
        """Raise ``StoreError`` for an answer that was made before the store's last restore."""
        if place.era >= self.store_position.era:
            return
        emit(
            log_events.STORE_ANSWER_OUTDATED,
            era=place.era,
            revision=place.revision,
            known_era=self.store_position.era,
        )
        raise StoreError(ErrorCode.STORE_UNAVAILABLE, "the answer is of before a restore")

    def is_later_era(self, place: StorePlace) -> bool:
        """Return whether a place shows that the store has been restored."""
        return self.store_position != NOWHERE and place.era > self.store_position.era

    def enter(self, place: StorePlace, source: str, losses: CopyLosses) -> None:
        """Go on in a later era.

        Args:
            place: First place that is seen of it.
            source: Who has shown it; for the log.
            losses: What the copy is known to lack.
        """
        self._note_restore(place)
        self._feed.leave(self.store_position)
        age = trio.current_time() - losses.since
        emit(
            log_events.STORE_ERA_CHANGED,
            era=place.era,
            previous=self.store_position.era,
            revision=place.revision,
            previous_revision=self.store_position.revision,
            copy_age_seconds=round(age, 3) if math.isfinite(age) else NO_AGE_SECONDS,
            lacking=losses.by_kind,
            source=source,
        )
        self.store_position = StorePlace(place.era, NOWHERE.revision)

    def reach(self, place: StorePlace, at: float) -> None:
        """Note that everything up to a place is known, which was the newest at a time."""
        self.store_position = max(self.store_position, place)
        self.reached_at = max(self.reached_at, at)

    def suspect_restore(self, place: StorePlace) -> None:
        """Look, at the start, whether the store was restored just before: few know of its era.

        Without this a node that starts in that moment takes the copy for all there is.
        """
        behind = self._nodes.count_behind(place.era)
        if behind:
            self.restored_at = trio.current_time()
        if 2 * behind > len(self._nodes.records):
            self._note_restore(place)
            emit(log_events.STORE_RESTORE_SUSPECTED, era=place.era, nodes_behind=behind)

    def _note_restore(self, place: StorePlace) -> None:
        """Expect others to write again what a copy lacks; a place is the first one seen of it."""
        now = trio.current_time()
        self.restored_at = now
        self.copy.enter(place, now)
        self._nodes.note_restore(now)
        self._contact.note_restore(now)
