"""Writes this node's entry to the store, where other nodes find it.

The key is bound to a long lease that is renewed rarely. An entry that outlives its node costs a few
unanswered queries, and splits the retry budget among too many nodes, never among too few. After a
restore of the store each node writes its entry again, whatever the backup has: the lease is gone,
and the entry shows others that the node has entered the new era.
"""

from __future__ import annotations

import random

import msgspec
import trio

from hopstep.domain.exchanges.nodes import NodeRecord, rewriting_seconds
from hopstep.domain.store_position import ABSENT, StoreLease
from hopstep.exceptions import StoreConflictError, StoreError
from hopstep.log_events.configuration import OWN_ENTRY_REWRITTEN
from hopstep.logs import emit
from hopstep.ports.key_value_store import KeyValueStorePort
from hopstep.services.exchanges.directory.knowledge import ServingKnowledge
from hopstep.services.exchanges.directory.records import NODES_PREFIX, encode_node

LEASE_SECONDS = 600.0
RENEWAL_SECONDS = 200.0
RETRY_SECONDS = 1.0


class Registration:
    """Writes this node's key and keeps its lease."""

    def __init__(
        self,
        record: NodeRecord,
        store: KeyValueStorePort,
        knowledge: ServingKnowledge,
        generator: random.Random,
    ) -> None:
        """Prepare; the key is written by ``run``.

        Args:
            record: Record of this node.
            store: The store.
            knowledge: Provides the store's era, and the entry of an earlier process of this node.
            generator: Adds jitter to retries.
        """
        self._key = NODES_PREFIX + knowledge.name
        self._record = record
        self._store = store
        self._knowledge = knowledge
        self._generator = generator

    async def run(self) -> None:
        """Register, and renew the lease, until cancelled."""
        while self._knowledge.current is None:
            await self._knowledge.changed.wait()
        while True:
            try:
                lease = await self._register()
                await self._renew(lease)
            except StoreError:
                await trio.sleep(RETRY_SECONDS * (0.5 + self._generator.random()))

    async def _register(self) -> StoreLease:
        """Write the key under a new lease, replacing the entry of an earlier process."""
        lease = await self._store.grant_lease(LEASE_SECONDS)
        value = encode_node(msgspec.structs.replace(self._record, era=lease.era))
        try:
            expected = self._knowledge.version_of(self._key)
            await self._store.compare_and_swap(self._key, expected, value, lease)
        except StoreConflictError:
            stored = await self._store.get(self._key)
            version = stored.version if stored is not None else ABSENT
            await self._store.compare_and_swap(self._key, version, value, lease)
        return lease

    async def _renew(self, lease: StoreLease) -> None:
        """Renew the lease periodically; return when it has ended or the store was restored."""
        while True:
            with trio.move_on_after(RENEWAL_SECONDS):
                await self._wait_restored(lease)
                spread_seconds = rewriting_seconds(self._knowledge.count_nodes())
                await trio.sleep(spread_seconds * self._generator.random())
                emit(OWN_ENTRY_REWRITTEN, era=self._knowledge.store_position.era)
                return
            try:
                await self._store.keep_alive(lease)
            except StoreConflictError:
                return

    async def _wait_restored(self, lease: StoreLease) -> None:
        """Wait until the store is seen in a later era than the one that granted a lease."""
        while self._knowledge.store_position.era <= lease.era:
            await self._knowledge.changed.wait()
