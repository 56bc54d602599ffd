"""The directory of operators and instances as a test's store holds it, and its faults."""

import msgspec
import trio

from hopstep.domain.store_place import UNTOLD_ERA, StorePlace
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
    """Return the key that a change is of."""
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
    """Return the value that stands for a change."""
    return msgspec.msgpack.encode(change)


def read_entry(stored, era=UNTOLD_ERA):
    """Return the entry that a stored value stands for; records of nodes are values as they are."""
    key, value, place = stored.key, stored.value, StorePlace(era, stored.version)
    if not key.startswith(PUBLISHED_PREFIXES):
        return DirectoryEntry(key, place, RecordWritten(key, value, place))
    if not value:
        return DirectoryEntry(key, place, InstanceRemoved(key.removeprefix(INSTANCES_PREFIX)))
    return DirectoryEntry(key, place, msgspec.msgpack.decode(value, type=DirectoryChange))


class EmulatedDirectory(ServingDirectory):
    """A directory over a test's store, whose own faults don't touch it.

    Its attributes are slots, so that a test which sets a fault that doesn't exist fails.

    Attributes:
        down: Calls fail at once.
        dark: Calls get no answer, also those under way, and fail after the adapter's limit.
        deaf: Watches hear nothing.
        answer_seconds: Time that an answer takes.
    """

    __slots__ = (
        "_connection",
        "_silent_connection",
        "_world",
        "answer_seconds",
        "dark",
        "deaf",
        "down",
    )

    def __init__(self, world):
        self._world = world
        self.down = False
        self.dark = False
        self.deaf = False
        self.answer_seconds = 0.004
        self._connection = 0
        self._silent_connection = -1

    def silence_connections(self):
        """Let calls on connections that are open now get nothing, and later ones on them."""
        self._silent_connection = self._connection

    async def reconnect(self):
        await trio.lowlevel.checkpoint()
        self._connection += 1

    async def _pass_connection(self, connection):
        if connection <= self._silent_connection:
            await trio.sleep(ANSWER_SECONDS)
            raise StoreError(ErrorCode.STORE_UNAVAILABLE, "no answer")

    async def snapshot(self):
        self._world.calls += 1
        await trio.sleep(self.answer_seconds)
        await self._pass_connection(self._connection)
        await self._check_answered(ANSWER_SECONDS)
        self._check()
        model = self._world.shared.model
        entries = tuple(read_entry(item, model.era) for item in model.snapshot().values())
        return DirectoryBatch(StorePlace(model.era, model.revision), entries)

    async def changes(self, after, wait_seconds):
        self._world.calls += 1
        connection = self._connection
        model = self._world.shared.model
        deadline = trio.current_time() + wait_seconds
        while self._hears_nothing(after) and trio.current_time() < deadline:
            self._check()
            with trio.move_on_at(min(deadline, model.next_expiry())):
                await self._world.shared.wait_changed()
        await trio.sleep(self.answer_seconds)
        await self._pass_connection(connection)
        await self._check_answered(ANSWER_SECONDS)
        self._check()
        if not model.has_history_after(after.revision):
            raise StoreHistoryLostError(ErrorCode.STORE_HISTORY_LOST, "the history is gone")
        require_era(after.era, model.era)
        batch = model.changes("", after.revision)
        entries = tuple(read_entry(item, model.era) for item in batch.values)
        return DirectoryBatch(StorePlace(model.era, batch.revision), entries)

    def _hears_nothing(self, after):
        model = self._world.shared.model
        model.expire_leases(trio.current_time())
        return model.revision == after.revision or self.deaf or self.dark

    async def _check_answered(self, limit_seconds):
        if self.dark:
            await trio.sleep(limit_seconds)
            raise StoreError(ErrorCode.STORE_UNAVAILABLE, "no answer")

    def _check(self):
        if self.down:
            raise StoreError(ErrorCode.STORE_UNAVAILABLE, "down")
