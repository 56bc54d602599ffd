"""Emulates the directory of operators and instances over a test's store, with faults."""

import msgspec
import trio

from hopstep.domain.store_position import UNSPECIFIED_ERA, StorePosition
from hopstep.exceptions import ErrorCode, StoreError, StoreHistoryLostError
from hopstep.platform.store import ANSWER_SECONDS
from hopstep.ports.key_value_store import require_era
from hopstep.ports.serving_directory import (
    DirectoryBatch,
    DirectoryChange,
    DirectoryEntry,
    InstanceListed,
    InstanceRejected,
    InstanceRemoved,
    RecordWritten,
    ServingDirectory,
    Unreadable,
    WeightsPublished,
)

INSTANCES_PREFIX = "instances/"
PUBLISHED_PREFIXES = (INSTANCES_PREFIX, "weights/", "published/")


def directory_key(change):
    """Return the key of a change."""
    match change:
        case InstanceListed(instance):
            return f"{INSTANCES_PREFIX}{instance.instance_id}"
        case InstanceRemoved(instance_id) | InstanceRejected(instance_id):
            return f"{INSTANCES_PREFIX}{instance_id}"
        case WeightsPublished(weights):
            return f"weights/{weights.model}"
        case Unreadable(key):
            return f"published/{key}"
    return "published/configuration"


def encode_change(change):
    """Return the stored value of a change."""
    return msgspec.msgpack.encode(change)


def read_entry(stored, era=UNSPECIFIED_ERA):
    """Return the entry of a stored value; records of nodes are stored without encoding."""
    key, value, position = stored.key, stored.value, StorePosition(era, stored.version)
    if not key.startswith(PUBLISHED_PREFIXES):
        return DirectoryEntry(key, position, RecordWritten(key, value, position))
    if not value:
        return DirectoryEntry(key, position, InstanceRemoved(key.removeprefix(INSTANCES_PREFIX)))
    return DirectoryEntry(key, position, msgspec.msgpack.decode(value, type=DirectoryChange))


class EmulatedDirectory(ServingDirectory):
    """A directory over a test's store; its faults leave the store itself unaffected.

    Its attributes are slots, so that a test fails if it sets a fault that doesn't exist.

    Attributes:
        down: Calls fail at once.
        unresponsive: Calls, also pending ones, get no answer and fail at the adapter's timeout.
        watches_blocked: Watches receive no changes.
        answer_seconds: Time until an answer, in seconds.
    """

    __slots__ = (
        "_connection",
        "_silent_connection",
        "_world",
        "answer_seconds",
        "down",
        "unresponsive",
        "watches_blocked",
    )

    def __init__(self, world):
        self._world = world
        self.down = False
        self.unresponsive = False
        self.watches_blocked = False
        self.answer_seconds = 0.004
        self._connection = 0
        self._silent_connection = -1

    def silence_connections(self):
        """Leave calls on currently open connections without an answer, also later ones."""
        self._silent_connection = self._connection

    async def reconnect(self):
        await trio.lowlevel.checkpoint()
        self._connection += 1

    async def _check_connection(self, connection):
        if connection <= self._silent_connection:
            await trio.sleep(ANSWER_SECONDS)
            raise StoreError(ErrorCode.STORE_UNAVAILABLE, "no answer")

    async def snapshot(self):
        self._world.calls += 1
        await trio.sleep(self.answer_seconds)
        await self._check_connection(self._connection)
        await self._check_answered(ANSWER_SECONDS)
        self._check_available()
        model = self._world.shared.model
        entries = tuple(read_entry(item, model.era) for item in model.snapshot().values())
        return DirectoryBatch(StorePosition(model.era, model.revision), entries)

    async def changes(self, after, wait_seconds):
        self._world.calls += 1
        connection = self._connection
        model = self._world.shared.model
        deadline = trio.current_time() + wait_seconds
        while self._has_no_change(after) and trio.current_time() < deadline:
            self._check_available()
            with trio.move_on_at(min(deadline, model.next_expiry())):
                await self._world.shared.wait_changed()
        await trio.sleep(self.answer_seconds)
        await self._check_connection(connection)
        await self._check_answered(ANSWER_SECONDS)
        self._check_available()
        if not model.has_history_after(after.revision):
            raise StoreHistoryLostError(ErrorCode.STORE_HISTORY_LOST, "the history is gone")
        require_era(after.era, model.era)
        batch = model.changes("", after.revision)
        entries = tuple(read_entry(item, model.era) for item in batch.values)
        return DirectoryBatch(StorePosition(model.era, batch.revision), entries)

    def _has_no_change(self, after):
        model = self._world.shared.model
        model.expire_leases(trio.current_time())
        return model.revision == after.revision or self.watches_blocked or self.unresponsive

    async def _check_answered(self, limit_seconds):
        if self.unresponsive:
            await trio.sleep(limit_seconds)
            raise StoreError(ErrorCode.STORE_UNAVAILABLE, "no answer")

    def _check_available(self):
        if self.down:
            raise StoreError(ErrorCode.STORE_UNAVAILABLE, "down")
