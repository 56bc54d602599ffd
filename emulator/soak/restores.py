"""Restores of the store from a backup during a soak, and the rewriting of lost documents."""

from __future__ import annotations

import random
from collections import deque

import trio

from emulator.platform.faults import FaultOrder
from emulator.platform.shared_store import SharedStore
from emulator.platform.store_model import StoreBackup
from emulator.soak.recorder import DirectStore

BACKUP_INTERVAL_SECONDS = 0.5
BACKUPS_KEPT = 16
"""Number of backups kept; they cover the last eight seconds."""

OUTAGE_SECONDS = (0.1, 3.5)
"""Time for which the store is unavailable before it is restored, shortest and longest."""

REWRITING_SECONDS = 1.9
"""Time after the restore within which operators and instances write what the backup lacks."""

EXPIRY_SECONDS = (2.0, 3.6)
"""Time after the restore at which restored entries of terminated instances expire."""

FIRST_ERA = 1
"""Era of the store from the start of a soak with restores."""


class Restores:
    """Takes backups, restores one, and has operators and instances write again."""

    def __init__(
        self, shared: SharedStore, documents: DirectStore, generator: random.Random
    ) -> None:
        """Prepare without backups.

        Args:
            shared: The store.
            documents: Documents that operators and instances have written.
            generator: Draws ages of backups, times and the order of writing.
        """
        self._shared = shared
        self._documents = documents
        self._generator = generator
        self._backups: deque[StoreBackup] = deque(maxlen=BACKUPS_KEPT)

    async def take_backups(self) -> None:
        """Back the store up at a fixed interval, until cancelled."""
        self._shared.model.era = FIRST_ERA
        while True:
            self._backups.append(self._shared.model.backup())
            await trio.sleep(BACKUP_INTERVAL_SECONDS)

    async def restore_backup(self) -> None:
        """Make the store unavailable for a moment, and restore it from a recent backup."""
        backup = self._generator.choice(tuple(self._backups))
        self._shared.order_faults(FaultOrder(outage=True))
        await trio.sleep(self._generator.uniform(*OUTAGE_SECONDS))
        self._shared.restore(backup)
        self._shared.order_faults(FaultOrder(outage=False))

    async def rewrite_missing(self) -> None:
        """Have operators and instances write what the store lacks, in random order."""
        async with trio.open_nursery() as nursery:
            for key in self._documents.missing_from_store():
                wait = self._generator.uniform(0.0, REWRITING_SECONDS)
                nursery.start_soon(self._put_after, wait, key)
            for key in self._documents.stale_in_store():
                wait = self._generator.uniform(*EXPIRY_SECONDS)
                nursery.start_soon(self._remove_after, wait, key)

    async def _put_after(self, seconds: float, key: str) -> None:
        """Write the current version of a document after a delay, unless it was removed."""
        await trio.sleep(seconds)
        self._documents.rewrite_missing(key)

    async def _remove_after(self, seconds: float, key: str) -> None:
        """Let an entry expire after a delay, unless its instance has started again."""
        await trio.sleep(seconds)
        if key in self._documents.stale_in_store():
            self._documents.remove(key)
