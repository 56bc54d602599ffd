"""Writes this node's address into the store, where peers find it.

The key is bound to a long lease, which is renewed rarely: peers only lose hints by an entry that
stays after its node has gone, and the retry budget is shared among too many, never too few.
"""

from __future__ import annotations

import random

import trio

from hopstep.exceptions import StoreConflictError, StoreError
from hopstep.ports.key_value_store import ABSENT, KeyValueStorePort
from hopstep.services.exchanges.knowledge import ServingKnowledge
from hopstep.services.exchanges.records import NODES_PREFIX

LEASE_SECONDS = 600.0
RENEWAL_SECONDS = 200.0
RETRY_SECONDS = 1.0


class Registration:
    """Keeps this node's key."""

    def __init__(
        self,
        name: str,
        address: str,
        store: KeyValueStorePort,
        knowledge: ServingKnowledge,
        generator: random.Random,
    ) -> None:
        """Prepare.

        Args:
            name: Name of the node.
            address: ``ip:port`` of its datagrams.
            store: The store.
            knowledge: Tells when the store has answered for the first time.
            generator: Spreads retries.
        """
        self._name = name
        self._address = address
        self._store = store
        self._knowledge = knowledge
        self._generator = generator

    async def run(self) -> None:
        """Register, and again before the lease lapses, until cancelled."""
        while self._knowledge.current is None:
            await self._knowledge.changed.wait()
        while True:
            try:
                await self._register()
                await trio.sleep(RENEWAL_SECONDS)
            except StoreError:
                await trio.sleep(RETRY_SECONDS * (0.5 + self._generator.random()))

    async def _register(self) -> None:
        """Write the key under a new lease, unless an earlier process left the same one."""
        key = NODES_PREFIX + self._name
        lease = await self._store.grant_lease(LEASE_SECONDS)
        value = self._address.encode()
        try:
            await self._store.compare_and_swap(key, ABSENT, value, lease)
        except StoreConflictError:
            stored = await self._store.get(key)
            version = stored.version if stored is not None else ABSENT
            await self._store.compare_and_swap(key, version, value, lease)
