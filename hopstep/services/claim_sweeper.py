"""Deletes claims on idempotency keys that are older than their retention."""

from __future__ import annotations

import random
from collections.abc import Callable

import trio

from hopstep.clock import time_of_day_seconds
from hopstep.domain.claims import CLAIM_PREFIX, HeldClaim, may_delete
from hopstep.exceptions import ServiceError, StoreError
from hopstep.log_events.limits import CLAIM_SWEEP_FAILED, CLAIMS_SWEPT
from hopstep.logs import emit
from hopstep.ports.engine import EnginePort
from hopstep.ports.key_value_store import KeyValueStorePort, StoredValue
from hopstep.services.claims import decode_claim, fence_claim

DEFAULT_RETENTION_SECONDS = 24 * 3600.0
"""Shortest time for which claims on idempotency keys are kept."""

DEFAULT_INTERVAL_SECONDS = 60.0
"""Mean time between two pages of claims that one router sweeps."""

PAGE_SIZE = 100
"""Claims read in one call to the store."""


class ClaimSweeper:
    """Deletes old claims page by page, each page beginning at a random key.

    Any number of routers may sweep: a claim is deleted by compare-and-swap and only after its
    engine has fenced its nonce, so that the attempt never starts. A sweep does nothing while the
    store is down.

    Args:
        store: Key-value store.
        engines: Calls to the engines that claims name.
        rng: Chooses the keys and the times at which sweeps begin.
        wall_clock: Returns seconds since the epoch.
        retention_seconds: Shortest time for which claims are kept.
    """

    def __init__(
        self,
        store: KeyValueStorePort,
        engines: EnginePort,
        rng: random.Random,
        wall_clock: Callable[[], float] = time_of_day_seconds,
        retention_seconds: float = DEFAULT_RETENTION_SECONDS,
    ) -> None:
        self._store = store
        self._engines = engines
        self._rng = rng
        self._wall_clock = wall_clock
        self._retention_seconds = retention_seconds

    async def run(self, interval_seconds: float = DEFAULT_INTERVAL_SECONDS) -> None:
        """Sweep pages at random intervals until cancelled."""
        while True:
            await trio.sleep(interval_seconds * self._rng.uniform(0.5, 1.5))
            first_hash_digits = f"{self._rng.randrange(2**16):04x}"
            try:
                await self.sweep_page(CLAIM_PREFIX + first_hash_digits)
            except StoreError as error:
                emit(CLAIM_SWEEP_FAILED, reason=error.code.value)

    async def sweep_page(self, after_key: str = "") -> int:
        """Delete the old claims on the page after a key; return the number of deleted claims.

        Raises:
            StoreError: When the store is down; claims deleted before that stay deleted.
        """
        page = await self._store.list(CLAIM_PREFIX, after_key, PAGE_SIZE)
        deleted = 0
        for value in page:
            deleted += await self._delete_if_old(value)
        if deleted:
            emit(CLAIMS_SWEPT, deleted=deleted, kept=len(page) - deleted)
        return deleted

    async def _delete_if_old(self, value: StoredValue) -> bool:
        """Delete one claim if it is old and can't start; return whether it was deleted."""
        try:
            held = decode_claim(value)
        except ServiceError:
            return False
        if not self._is_old(held):
            # Recent claims aren't fenced: their attempts may still be in transit to the engine.
            return False
        earlier = await fence_claim(self._engines, held.claim)
        if not may_delete(held.claim, earlier, self._wall_clock(), self._retention_seconds):
            return False
        await self._store.delete(held.key, held.version)
        return True

    def _is_old(self, held: HeldClaim) -> bool:
        """Return whether a claim is older than the retention."""
        return self._wall_clock() - held.claim.created_at >= self._retention_seconds
