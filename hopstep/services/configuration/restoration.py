"""Reconciles a store that was restored from a backup with this router's configuration in force.

Routers reconcile concurrently: they append only at free revisions, and the changes that make up
for the restore have the same identity whichever router creates them.
"""

from __future__ import annotations

from collections.abc import Sequence

from hopstep.domain.configuration.log import AcceptedChange
from hopstep.domain.configuration.restoration import DisplacedChange, plan_restoration
from hopstep.exceptions import StoreConflictError
from hopstep.log_events.configuration import (
    CONFIGURATION_CHANGE_DISPLACED,
    CONFIGURATION_CHANGE_REWRITTEN,
)
from hopstep.logs import emit
from hopstep.services.configuration.holder import ConfigurationHolder
from hopstep.services.configuration.store import ConfigurationHistory, ConfigurationStore

MAX_ROUNDS = 8
"""Most readings of the store by one restoration: others may write the same at the same time."""


class ConfigurationRestoration:
    """Compares the sequences, writes lost changes again, and logs those that can't be written.

    Attributes:
        displaced: Accepted changes that are lost, as other changes have their revisions.
    """

    def __init__(self, holder: ConfigurationHolder, store: ConfigurationStore) -> None:
        """Connect the holder and the store; ``run`` does the work.

        Args:
            holder: Configuration in force at this router.
            store: Accepted sequence.
        """
        self.displaced: tuple[DisplacedChange, ...] = ()
        self._holder = holder
        self._store = store
        self._era: int | None = None

    def is_due(self) -> bool:
        """Return whether the store is in an era for which it wasn't compared yet."""
        if self._era is None:
            self._era = self._store.era
        return self._store.era > self._era and self._holder.current is not None

    async def is_due_after_failure(self) -> bool:
        """Return the same after a failed reading: a backup may be older than the revision in force.

        Raises:
            StoreError: When the store is down.
        """
        await self._store.read_era()
        return self.is_due()

    async def run(self, held: Sequence[AcceptedChange]) -> ConfigurationHistory | None:
        """Reconcile, and return the store's sequence if the router must adopt it.

        Args:
            held: The last changes before the configuration in force.

        Raises:
            StoreError: When the store is down, or others write at the same time for too long.
        """
        for _ in range(MAX_ROUNDS):
            history = await self._store.read_history()
            era = self._store.era
            own = self._holder.require()
            plan = plan_restoration(own, held, history.changes, history.latest, era)
            if await self._append(plan.rewrite):
                self._record_displaced(plan.displaced, era)
                self._era = era
                return await self._store.read_history() if plan.displaced else None
        return None

    async def _append(self, changes: Sequence[AcceptedChange]) -> bool:
        """Append changes; return False when others have written in between."""
        for item in changes:
            try:
                await self._store.append(item.change)
            except StoreConflictError:
                return False
            emit(
                CONFIGURATION_CHANGE_REWRITTEN,
                revision=item.revision,
                change_id=item.change.change_id,
                author=item.change.author,
                era=self._store.era,
            )
        return True

    def _record_displaced(self, displaced: Sequence[DisplacedChange], era: int) -> None:
        """Log the lost changes, and keep them for operators' queries."""
        for item in displaced:
            emit(
                CONFIGURATION_CHANGE_DISPLACED,
                revision=item.revision,
                lost=item.lost.change_id,
                lost_author=item.lost.author,
                taken_by=item.taken_by,
                taken_by_author=item.taken_by_author,
                era=era,
            )
        self.displaced = (*self.displaced, *displaced)
