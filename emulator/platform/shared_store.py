"""The key-value service that all stand-ins share: the pure model, its faults, trio's clock."""

from __future__ import annotations

from typing import Any

import msgspec
import trio

from emulator.platform.faults import FaultOrder, StoreFaults
from emulator.platform.store_model import (
    KeyValueStoreModel,
    StoreBackup,
    TokenBucket,
    list_page,
)
from hopstep.adapters import key_value_store_wire as wire
from hopstep.exceptions import ErrorCode, StoreError, StoreOutcomeUnknownError

BURST_SECONDS = 1.0
"""Size of a burst, as seconds of the rate limit."""


class Effect(msgspec.Struct, frozen=True):
    """Result of an executed operation.

    Attributes:
        result: The result that the operation's class documents.
        era: The store's era at the time of execution.
        revision: The store's revision at the time of execution.
    """

    result: Any
    era: int
    revision: int


class SharedStore:
    """One key-value service that several clients share.

    Args:
        history_length: Number of past changes that a watch can read.
    """

    def __init__(self, history_length: int = 1024) -> None:
        self.model = KeyValueStoreModel(history_length)
        self.faults = StoreFaults()
        self._bucket = TokenBucket()
        self._cache: dict[str, wire.Item] | None = None
        self._hidden_versions: set[int] = set()
        self._changed = trio.Event()

    def order_faults(self, order: FaultOrder) -> None:
        """Activate the store's faults of ``order``."""
        self._refresh_cache(order)
        for field in self.faults.__struct_fields__:
            value = getattr(order, field)
            if value is not None:
                setattr(self.faults, field, value)
        if order.requests_per_second is not None:
            self._limit_rate(order.requests_per_second)
        if order.lapse_leases:
            self.model.expire_all_leases()
            self._notify_watches()

    def end_lease(self, lease: str) -> None:
        """End a lease with its keys, if there is such a lease."""
        if self.model.has_lease(lease):
            self.model.expire_lease(lease)
            self._notify_watches()

    def restore(self, backup: StoreBackup) -> None:
        """Restore the store from a backup."""
        self.model.restore(backup, trio.current_time())
        self._hidden_versions.clear()
        self._notify_watches()

    async def wait_changed(self) -> None:
        """Wait until something changes."""
        await self._changed.wait()

    def write_directly(self, operation: wire.StoreOperation, now: float | None = None) -> object:
        """Execute a write without faults, as a store may serve some clients and not others.

        Args:
            operation: The write.
            now: Time in seconds, for writes outside of the event loop.
        """
        result = self.model.apply(operation, trio.current_time() if now is None else now)
        self._notify_watches()
        return result

    async def execute(self, operation: wire.StoreOperation) -> object:
        """Execute an operation under the active faults.

        Returns:
            The result that the operation's class documents.

        Raises:
            StoreError: Outage, rate limit or conflict; no effect.
            StoreOutcomeUnknownError: A write was lost, before or after its effect.
        """
        return (await self.execute_in_era(operation)).result

    async def execute_in_era(self, operation: wire.StoreOperation) -> Effect:
        """Execute an operation and return its era and revision too; see ``execute``."""
        delay = self.faults.slow_seconds / 2
        await trio.sleep(delay)
        self._require_available()
        result = await self._apply(operation)
        effect = Effect(result, self.model.era, self.model.revision)
        await trio.sleep(delay)
        return effect

    async def _apply(self, operation: wire.StoreOperation) -> object:
        """Execute an operation now, unless a fault loses it or its answer."""
        if not wire.is_write(operation):
            return await self._read(operation)
        if self.faults.lost_requests > 0:
            self.faults.lost_requests -= 1
            raise _lost_error()
        result = self._write(operation)
        if self.faults.lost_answers > 0:
            self.faults.lost_answers -= 1
            raise _lost_error()
        return result

    def _write(self, operation: wire.StoreOperation) -> object:
        """Apply a write and wake the watches."""
        revision = self.model.revision
        result = self.model.apply(operation, trio.current_time())
        changes = range(revision + 1, self.model.revision + 1)
        for version in changes[: self.faults.dropped_changes]:
            self.faults.dropped_changes -= 1
            self._hidden_versions.add(version)
        self._notify_watches()
        return result

    async def _read(self, operation: wire.StoreOperation) -> object:
        """Execute a read, from the cache if a fault asks for stale reads."""
        if isinstance(operation, wire.Watch):
            return await self._watch(operation)
        if self.faults.stale_reads > 0 and self._cache is not None:
            self.faults.stale_reads -= 1
            if isinstance(operation, wire.Get):
                return self._cache.get(operation.key)
            if isinstance(operation, wire.List):
                return list_page(self._cache, operation)
        return self.model.apply(operation, trio.current_time())

    async def _watch(self, operation: wire.Watch) -> wire.Changes:
        """Wait until there is a visible change below the prefix or the wait time is over."""
        deadline = trio.current_time() + operation.wait_seconds
        while True:
            batch = self._visible_changes(operation)
            if batch.values or trio.current_time() >= deadline:
                return batch
            changed, era = self._changed, self.model.era
            with trio.move_on_at(min(deadline, self.model.next_expiry())):
                await changed.wait()
            self._require_up()
            if self.model.era != era:
                raise StoreError(ErrorCode.STORE_UNAVAILABLE, "the store was restored")

    def _visible_changes(self, operation: wire.Watch) -> wire.Changes:
        """Return the changes that a watch shows now."""
        self.model.expire_leases(trio.current_time())
        batch = self.model.changes(operation.prefix, operation.after_revision)
        visible = tuple(
            value for value in batch.values if value.version not in self._hidden_versions
        )
        return msgspec.structs.replace(batch, values=visible)

    def _require_available(self) -> None:
        """Raise ``StoreError`` in an outage or when the rate limit is used up."""
        self._require_up()
        if not self._bucket.admit(trio.current_time()):
            raise StoreError(ErrorCode.STORE_RATE_LIMITED, "the rate limit is used up")

    def _require_up(self) -> None:
        """Raise ``StoreError`` in an outage."""
        if self.faults.outage:
            raise StoreError(ErrorCode.STORE_UNAVAILABLE, "the store is down")

    def _refresh_cache(self, order: FaultOrder) -> None:
        """Copy the values when an outage begins, for stale reads after it."""
        begins = bool(order.outage) and not self.faults.outage
        if begins or (order.stale_reads and self._cache is None):
            self._cache = self.model.snapshot()

    def _limit_rate(self, requests_per_second: float) -> None:
        """Set a new rate limit; 0 switches it off."""
        if requests_per_second == 0:
            self._bucket = TokenBucket()
            return
        burst = max(1.0, requests_per_second * BURST_SECONDS)
        self._bucket = TokenBucket(requests_per_second, burst)

    def _notify_watches(self) -> None:
        """Wake every watch."""
        self._changed.set()
        self._changed = trio.Event()


def _lost_error() -> StoreOutcomeUnknownError:
    """Return the error of a write whose answer was lost."""
    return StoreOutcomeUnknownError(ErrorCode.STORE_OUTCOME_UNKNOWN, "the answer was lost")
