"""A lease of the store for keys that end by themselves; replaced before it gets too old."""

from __future__ import annotations

import trio

from hopstep.domain.store_position import StoreLease
from hopstep.ports.key_value_store import KeyValueStorePort

MAX_LEASE_SECONDS = 600.0
"""Longest lease that the platform grants."""


class ShortLease:
    """Grants a lease for further keys, each of which lasts for at least a given time."""

    def __init__(self, store: KeyValueStorePort, use_seconds: float) -> None:
        """Start without a lease.

        Args:
            store: The store.
            use_seconds: Age above which a lease isn't used for further keys.
        """
        self._store = store
        self._use_seconds = use_seconds
        self._keep_seconds = 0.0
        self._lease: StoreLease | None = None
        self._used_until = -float("inf")

    @property
    def longest_keep_seconds(self) -> float:
        """Longest time for which a key can be kept, whenever it is written."""
        return MAX_LEASE_SECONDS - self._use_seconds

    async def current(self, keep_seconds: float) -> StoreLease:
        """Return a lease under which a key that is written now is kept for a time.

        Args:
            keep_seconds: The time; above ``longest_keep_seconds`` it is cut.
        """
        now = trio.current_time()
        keep_seconds = min(keep_seconds, self.longest_keep_seconds)
        if self._lease is None or now >= self._used_until or keep_seconds > self._keep_seconds:
            self._keep_seconds = max(self._keep_seconds, keep_seconds)
            self._lease = await self._store.grant_lease(self._keep_seconds + self._use_seconds)
            self._used_until = now + self._use_seconds
        return self._lease

    def forget(self) -> None:
        """Use another lease for the next key: this one may have ended."""
        self._lease = None
