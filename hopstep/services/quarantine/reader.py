"""Reads the records of requests that crash engines from the store, for routers without a directory.

Every router reads them once after its start, as soon as the store answers. After that two routers
read them for all, since operators may have lifted one; the others receive that by gossip.
"""

from __future__ import annotations

import random
from collections.abc import Callable

import trio

from hopstep.domain.store_position import ABSENT, StorePosition
from hopstep.exceptions import StoreError
from hopstep.ports.key_value_store import KeyValueStorePort
from hopstep.services.quarantine.records import QuarantineRecords
from hopstep.services.quarantine.stored_requests import QUARANTINE_PREFIX

RETRY_SECONDS = 1.0
POLL_SECONDS = 15.0
"""Mean time between two readings by each of two routers: a call in seven seconds for a cluster."""


class QuarantineReader:
    """Reads the keys of the records at intervals."""

    def __init__(
        self,
        records: QuarantineRecords,
        store: KeyValueStorePort,
        is_reader: Callable[[], bool],
        generator: random.Random,
    ) -> None:
        """Prepare the reader; ``run`` does the work.

        Args:
            records: Takes the keys and values.
            store: Key-value store.
            is_reader: Whether this router reads for the others.
            generator: Spreads the calls of many routers.
        """
        self._records = records
        self._store = store
        self._is_reader = is_reader
        self._generator = generator
        self._versions: dict[str, StorePosition] = {}
        self._has_read = False

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            wait = POLL_SECONDS
            if self._is_reader() or not self._has_read:
                try:
                    await self._read()
                except StoreError:
                    wait = RETRY_SECONDS
            await trio.sleep(wait * (0.5 + self._generator.random()))

    async def _read(self) -> None:
        """Pass on the keys that have changed or vanished since the last reading."""
        listing = await self._store.listing(QUARANTINE_PREFIX)
        self._has_read = True
        found = {value.key: value.version for value in listing.values}
        for value in listing.values:
            if self._versions.get(value.key) != value.version:
                self._records.apply_stored(value.key, value.value, value.version)
        for key in self._versions.keys() - found.keys():
            self._records.apply_stored(key, b"", ABSENT)
        self._versions = found
