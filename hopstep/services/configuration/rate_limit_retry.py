"""A key-value store wrapper that repeats rate-limited calls.

A rate-limited call has had no effect, so that any call may be repeated. Otherwise a sequence of
calls starts over at each refusal and may never finish.
"""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from typing import TypeVar

import trio

from hopstep.domain.store_position import StoreLease, StorePosition
from hopstep.exceptions import ErrorCode, StoreError
from hopstep.ports.key_value_store import KeyValueStorePort, StoredValue, WatchBatch

MIN_WAIT_SECONDS = 0.1
MAX_WAIT_SECONDS = 1.5
MAX_TOTAL_SECONDS = 8.0
"""Longest time for the repeats of one call."""

Result = TypeVar("Result")


class RateLimitRetryStore(KeyValueStorePort):
    """Repeats rate-limited calls for some seconds; every other error is raised at once."""

    def __init__(self, store: KeyValueStorePort, rng: random.Random) -> None:
        """Wrap ``store``; ``rng`` spreads the repeats of many clients."""
        self._store = store
        self._rng = rng

    async def get(self, key: str) -> StoredValue | None:
        """Return the value of ``key``; see the port."""
        return await self._retry(lambda: self._store.get(key))

    async def list(self, prefix: str, after_key: str = "", limit: int = 1000) -> list[StoredValue]:
        """Return a page of values; see the port."""
        return await self._retry(lambda: self._store.list(prefix, after_key, limit))

    async def compare_and_swap(
        self,
        key: str,
        expected_version: StorePosition,
        value: bytes,
        lease: StoreLease | None = None,
    ) -> StorePosition:
        """Write one key at an expected version; see the port."""
        return await self._retry(
            lambda: self._store.compare_and_swap(key, expected_version, value, lease)
        )

    async def delete(self, key: str, expected_version: StorePosition) -> None:
        """Delete one key at an expected version; see the port."""
        await self._retry(lambda: self._store.delete(key, expected_version))

    async def watch(self, prefix: str, after: StorePosition, wait_seconds: float) -> WatchBatch:
        """Return changes after a store position; see the port."""
        return await self._retry(lambda: self._store.watch(prefix, after, wait_seconds))

    async def grant_lease(self, time_to_live_seconds: float) -> StoreLease:
        """Return a new lease; see the port."""
        return await self._retry(lambda: self._store.grant_lease(time_to_live_seconds))

    async def keep_alive(self, lease: StoreLease) -> None:
        """Renew a lease; see the port."""
        await self._retry(lambda: self._store.keep_alive(lease))

    async def _retry(self, call: Callable[[], Awaitable[Result]]) -> Result:
        """Repeat a call while it is rate-limited."""
        give_up_at = trio.current_time() + MAX_TOTAL_SECONDS
        wait = MIN_WAIT_SECONDS
        while True:
            try:
                return await call()
            except StoreError as error:
                if error.code is not ErrorCode.STORE_RATE_LIMITED:
                    raise
                if trio.current_time() + wait > give_up_at:
                    raise
            await trio.sleep(wait * self._rng.uniform(0.5, 1.5))
            wait = min(wait * 2, MAX_WAIT_SECONDS)
