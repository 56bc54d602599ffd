"""In-process platform for tests on a virtual clock, with the same faults as the HTTP one."""

from __future__ import annotations

import trio

from emulator.platform.machine_list import MachineListModel
from emulator.platform.shared_store import Effect, SharedStore
from hopstep.adapters import key_value_store_wire as wire
from hopstep.domain.store_position import StoreLease, StorePosition
from hopstep.exceptions import ErrorCode, StoreError, StoreOutcomeUnknownError
from hopstep.ports.key_value_store import (
    KeyValueStorePort,
    StoredValue,
    WatchBatch,
    require_era,
    require_lease_era,
    require_write_era,
)
from hopstep.ports.machine_list import Machine, MachineListPort

DEFAULT_TIMEOUT_SECONDS = 2.0
"""Timeout of a call in seconds; a watch adds its own wait time."""


class InMemoryStore(KeyValueStorePort):
    """One client's connection to a shared store.

    When the store is down or this client is cut off, every method raises ``StoreError``.
    The outcome of a write whose answer doesn't come within the timeout is unknown.

    Args:
        shared: Store that several clients share.
        timeout_seconds: Timeout of a call; a watch adds its own wait time.
    """

    def __init__(
        self, shared: SharedStore, timeout_seconds: float = DEFAULT_TIMEOUT_SECONDS
    ) -> None:
        self.cut_off = False
        self._shared = shared
        self._timeout_seconds = timeout_seconds

    async def get(self, key: str) -> StoredValue | None:
        """Return the value of ``key``; see the port."""
        effect = await self._call(wire.Get(key))
        item: wire.Item | None = effect.result
        return item.to_stored_value(effect.era) if item is not None else None

    async def list(self, prefix: str, after_key: str = "", limit: int = 1000) -> list[StoredValue]:
        """Return a page of values; see the port."""
        effect = await self._call(wire.List(prefix, after_key, limit))
        return [item.to_stored_value(effect.era) for item in effect.result]

    async def compare_and_swap(
        self,
        key: str,
        expected_version: StorePosition,
        value: bytes,
        lease: StoreLease | None = None,
    ) -> StorePosition:
        """Write a key if it is at the expected version; see the port."""
        name = lease.name if lease is not None else ""
        operation = wire.CompareAndSwap(key, expected_version.revision, value, name)
        effect = await self._call(operation)
        require_write_era(expected_version, lease, effect.era)
        return StorePosition(effect.era, effect.result)

    async def delete(self, key: str, expected_version: StorePosition) -> None:
        """Delete a key if it is at the expected version; see the port."""
        effect = await self._call(wire.Delete(key, expected_version.revision))
        require_write_era(expected_version, None, effect.era)

    async def watch(self, prefix: str, after: StorePosition, wait_seconds: float) -> WatchBatch:
        """Return changes after a store position; see the port."""
        operation = wire.Watch(prefix, after.revision, wait_seconds)
        effect = await self._call(operation, extra_seconds=wait_seconds)
        require_era(after.era, effect.era)
        changes: wire.Changes = effect.result
        values = tuple(item.to_stored_value(effect.era) for item in changes.values)
        return WatchBatch(StorePosition(effect.era, changes.revision), values)

    async def grant_lease(self, time_to_live_seconds: float) -> StoreLease:
        """Return a new lease; see the port."""
        effect = await self._call(wire.GrantLease(time_to_live_seconds))
        return StoreLease(effect.result, effect.era)

    async def keep_alive(self, lease: StoreLease) -> None:
        """Renew a lease; see the port."""
        effect = await self._call(wire.KeepAlive(lease.name))
        require_lease_era(lease, effect.era)

    async def end_lease(self, lease: StoreLease) -> None:
        """End a lease early, whoever holds one of that name; see the port."""
        await trio.lowlevel.checkpoint()
        if self.cut_off or self._shared.faults.outage:
            raise StoreError(ErrorCode.STORE_UNAVAILABLE, "the store is out of reach")
        self._shared.end_lease(lease.name)

    async def _call(self, operation: wire.StoreOperation, extra_seconds: float = 0.0) -> Effect:
        """Execute an operation within the timeout."""
        if self.cut_off:
            await trio.lowlevel.checkpoint()
            raise StoreError(ErrorCode.STORE_UNAVAILABLE, "this client is cut off")
        with trio.move_on_after(self._timeout_seconds + extra_seconds):
            return await self._shared.execute_in_era(operation)
        message = "no answer came in time"
        if wire.is_write(operation):
            raise StoreOutcomeUnknownError(ErrorCode.STORE_OUTCOME_UNKNOWN, message)
        raise StoreError(ErrorCode.STORE_UNAVAILABLE, message)


class InMemoryMachineList(MachineListPort):
    """One client's connection to a shared machine list.

    Args:
        model: Machine list that several clients share.
    """

    def __init__(self, model: MachineListModel) -> None:
        self.cut_off = False
        self._model = model

    async def machines(self) -> list[Machine]:
        """Return the machines that the list shows now; see the port."""
        await trio.lowlevel.checkpoint()
        if self.cut_off:
            raise StoreError(ErrorCode.STORE_UNAVAILABLE, "this client is cut off")
        return self._model.visible(trio.current_time())
