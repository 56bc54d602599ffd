"""A store that comes back from a copy during a soak, and those who write again what it lacks."""

from __future__ import annotations

import random
from collections import deque

import trio

from emulator.platform.faults import FaultOrder
from emulator.platform.shared_store import SharedStore
from emulator.platform.store_model import StoreCopy
from emulator.soak.recorder import DirectStore

BACKUP_INTERVAL_SECONDS = 0.5
BACKUPS_KEPT = 16
"""Copies of up to eight seconds before are there to come back from."""

OUTAGE_SECONDS = (0.1, 3.5)
REWRITING_SECONDS = 1.9
"""Operators and instances have written what the copy lacks so long after the store's return."""

EXPIRY_SECONDS = (2.0, 3.6)
"""Entries that the copy shows, and whose instances have ended, lapse so long after it."""

FIRST_ERA = 1
"""A store that is restored tells its era from the start."""


class Restores:
    """Keeps copies, comes back from one, and has others write again."""

    def __init__(
        self, shared: SharedStore, documents: DirectStore, generator: random.Random
    ) -> None:
        """Keep no copy yet.

        Args:
            shared: The store.
            documents: What operators and instances have written.
            generator: Draws ages, times and the order of writing.
        """
        self._shared = shared
        self._documents = documents
        self._generator = generator
        self._backups: deque[StoreCopy] = deque(maxlen=BACKUPS_KEPT)

    async def take_backups(self) -> None:
        """Copy the store every so often, until cancelled."""
        self._shared.model.era = FIRST_ERA
        while True:
            self._backups.append(self._shared.model.copy())
            await trio.sleep(BACKUP_INTERVAL_SECONDS)

    async def restore_backup(self) -> None:
        """Be away for a moment, and come back from a copy of some seconds before."""
        copy = self._generator.choice(tuple(self._backups))
        self._shared.order_faults(FaultOrder(outage=True))
        await trio.sleep(self._generator.uniform(*OUTAGE_SECONDS))
        self._shared.restore(copy)
        self._shared.order_faults(FaultOrder(outage=False))

    async def rewrite_missing(self) -> None:
        """Have operators and instances write what the store lacks, in any order."""
        async with trio.open_nursery() as nursery:
            for key in self._documents.missing_from_store():
                wait = self._generator.uniform(0.0, REWRITING_SECONDS)
                nursery.start_soon(self._put_after, wait, key)
            for key in self._documents.stale_in_store():
                wait = self._generator.uniform(*EXPIRY_SECONDS)
                nursery.start_soon(self._remove_after, wait, key)

    async def _put_after(self, seconds: float, key: str) -> None:
        """Write a document as it is then, if it is still there."""
        await trio.sleep(seconds)
        self._documents.rewrite_missing(key)

    async def _remove_after(self, seconds: float, key: str) -> None:
        """Let an entry lapse, unless its instance has started again."""
        await trio.sleep(seconds)
        if key in self._documents.stale_in_store():
            self._documents.remove(key)
