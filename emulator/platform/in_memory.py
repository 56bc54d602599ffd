"""In-process platform for tests on a virtual clock, with the same faults as over HTTP."""

from __future__ import annotations

from typing import Any

import trio

from emulator.platform.machine_list import MachineListModel
from emulator.platform.shared_store import SharedStore
from hopstep.adapters import key_value_store_wire as wire
from hopstep.exceptions import ErrorCode, StoreError, StoreOutcomeUnknownError
from hopstep.ports.key_value_store import KeyValueStorePort, StoredValue, WatchBatch
from hopstep.ports.machine_list import Machine, MachineListPort

DEFAULT_TIMEOUT_SECONDS = 2.0
"""Longest wait for an answer, beyond what a watch asks for."""


class InMemoryStore(KeyValueStorePort):
    """One client's handle on a shared store.

    When the store is down or this client is cut off, every method raises ``StoreError``;
    an answer later than the timeout makes a write's outcome unknown.

    Args:
        shared: Store that several clients share.
        timeout_seconds: Longest wait for an answer, beyond what a watch asks for.
    """

    def __init__(
        self, shared: SharedStore, timeout_seconds: float = DEFAULT_TIMEOUT_SECONDS
    ) -> None:
        self.cut_off = False
        self._shared = shared
        self._timeout_seconds = timeout_seconds

    async def get(self, key: str) -> StoredValue | None:
        """Return the value of ``key``; see the port."""
        value: StoredValue | None = await self._call(wire.Get(key))
        return value

    async def list(self, prefix: str, after_key: str = "", limit: int = 1000) -> list[StoredValue]:
        """Return a page of values; see the port."""
        page: list[StoredValue] = await self._call(wire.List(prefix, after_key, limit))
        return page

    async def compare_and_swap(
        self, key: str, expected_version: int, value: bytes, lease: str = ""
    ) -> int:
        """Write one key at an expected version; see the port."""
        operation = wire.CompareAndSwap(key, expected_version, value, lease)
        version: int = await self._call(operation)
        return version

    async def delete(self, key: str, expected_version: int) -> None:
        """Delete one key at an expected version; see the port."""
        await self._call(wire.Delete(key, expected_version))

    async def watch(self, prefix: str, after_revision: int, wait_seconds: float) -> WatchBatch:
        """Return changes after a revision; see the port."""
        operation = wire.Watch(prefix, after_revision, wait_seconds)
        batch: WatchBatch = await self._call(operation, extra_seconds=wait_seconds)
        return batch

    async def grant_lease(self, time_to_live_seconds: float) -> str:
        """Return a new lease; see the port."""
        lease: str = await self._call(wire.GrantLease(time_to_live_seconds))
        return lease

    async def keep_alive(self, lease: str) -> None:
        """Renew a lease; see the port."""
        await self._call(wire.KeepAlive(lease))

    async def _call(self, operation: wire.StoreOperation, extra_seconds: float = 0.0) -> Any:
        """Carry out an operation within the timeout."""
        if self.cut_off:
            await trio.lowlevel.checkpoint()
            raise StoreError(ErrorCode.STORE_UNAVAILABLE, "this client is cut off")
        with trio.move_on_after(self._timeout_seconds + extra_seconds):
            return await self._shared.execute(operation)
        message = "no answer came in time"
        if wire.is_write(operation):
            raise StoreOutcomeUnknownError(ErrorCode.STORE_OUTCOME_UNKNOWN, message)
        raise StoreError(ErrorCode.STORE_UNAVAILABLE, message)


class InMemoryMachineList(MachineListPort):
    """One client's handle on a shared machine list.

    Args:
        model: wire.List that several clients share.
    """

    def __init__(self, model: MachineListModel) -> None:
        self.cut_off = False
        self._model = model

    async def machines(self) -> list[Machine]:
        """Return the list as the platform shows it now; see the port."""
        await trio.lowlevel.checkpoint()
        if self.cut_off:
            raise StoreError(ErrorCode.STORE_UNAVAILABLE, "this client is cut off")
        return self._model.visible(trio.current_time())
