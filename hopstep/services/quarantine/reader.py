"""Reads the kept requests that end engines from the store, where no directory is followed.

Every router reads them once when it starts, and as soon as the store answers. Later two routers
read them for all, since operators may have allowed one; the others hear of that by gossip.
"""

from __future__ import annotations

import random
from collections.abc import Callable

import trio

from hopstep.domain.store_place import ABSENT, StorePlace
from hopstep.exceptions import StoreError
from hopstep.ports.key_value_store import KeyValueStorePort
from hopstep.services.quarantine.records import QUARANTINE_PREFIX, QuarantineRecords

RETRY_SECONDS = 1.0
POLL_SECONDS = 15.0
"""Between two readings by each of two routers: one call in seven seconds of any cluster."""


class QuarantineReader:
    """Reads the keys."""

    def __init__(
        self,
        records: QuarantineRecords,
        store: KeyValueStorePort,
        reads: Callable[[], bool],
        generator: random.Random,
    ) -> None:
        """Join the parts.

        Args:
            records: Takes the keys.
            store: The store.
            reads: Whether this router reads for the others.
            generator: Spreads calls.
        """
        self._records = records
        self._store = store
        self._reads = reads
        self._generator = generator
        self._versions: dict[str, StorePlace] = {}
        self._has_read = False

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            wait = POLL_SECONDS
            if self._reads() or not self._has_read:
                try:
                    await self._read()
                except StoreError:
                    wait = RETRY_SECONDS
            await trio.sleep(wait * (0.5 + self._generator.random()))

    async def _read(self) -> None:
        """Take the keys that have changed since the last reading, and those that are gone."""
        listing = await self._store.listing(QUARANTINE_PREFIX)
        self._has_read = True
        found = {value.key: value.version for value in listing.values}
        for value in listing.values:
            if self._versions.get(value.key) != value.version:
                self._records.apply_stored(value.key, value.value, value.version)
        for key in self._versions.keys() - found.keys():
            self._records.apply_stored(key, b"", ABSENT)
        self._versions = found
