"""Reads what operators and instances publish in the platform's store.

Any client of the store may have written a value. One that can't be read is rejected whatever its
reader raises, and the other values of its page or watch are read.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from hopstep.domain.store_position import StorePosition
from hopstep.exceptions import ErrorCode, StoreError, StoreHistoryLostError
from hopstep.platform import names
from hopstep.platform.documents import (
    ConfigurationDocument,
    EntryDocument,
    WeightsDocument,
    read_configuration,
    read_instance,
    read_weights,
)
from hopstep.platform.rejections import rejection_of
from hopstep.platform.vocabulary import UnrecognizedValueReporter
from hopstep.ports.key_value_store import KeyValueStorePort, StoredValue
from hopstep.ports.serving_directory import (
    ConfigurationPublished,
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
from hopstep.ports.unrecognized_values import (
    UnrecognizedValueListener,
    ValueLocation,
    ignore_unrecognized,
)

ALL_KEYS = ""
"""Prefix of all keys."""

DOCUMENT_TYPES: Mapping[type, tuple[ValueLocation, type[msgspec.Struct]]] = {
    ConfigurationPublished: (ValueLocation.CONFIGURATION, ConfigurationDocument),
    InstanceListed: (ValueLocation.ENTRY, EntryDocument),
    WeightsPublished: (ValueLocation.WEIGHTS, WeightsDocument),
}
"""Kind and type of the document behind each change whose unrecognized fields are reported."""


class PlatformDirectory(ServingDirectory):
    """Reads all keys by one listing and one watch; raises the store's errors when it is down."""

    def __init__(
        self,
        store: KeyValueStorePort,
        on_unrecognized: UnrecognizedValueListener = ignore_unrecognized,
    ) -> None:
        """Use a store.

        Args:
            store: The platform's store.
            on_unrecognized: Called for each unrecognized field of a document.
        """
        self._store = store
        self._unrecognized = UnrecognizedValueReporter(on_unrecognized)

    async def snapshot(self) -> DirectoryBatch:
        """Return all entries; see the port."""
        listing = await self._store.listing(ALL_KEYS)
        return DirectoryBatch(listing.position, self._read_all(listing.values))

    async def reconnect(self) -> None:
        """Close the idle connections to the store; see the port."""
        await self._store.reconnect()

    async def changes(self, after: StorePosition, wait_seconds: float) -> DirectoryBatch:
        """Return changes; see the port.

        A listing is read in pages of bounded size, so it takes the place of a watch whose answer
        has more changes than one answer may hold: repeating the watch would give the same answer.
        """
        try:
            batch = await self._store.watch(ALL_KEYS, after, wait_seconds)
        except StoreError as error:
            if error.code is ErrorCode.STORE_ANSWER_TOO_LONG:
                raise StoreHistoryLostError(
                    ErrorCode.STORE_HISTORY_LOST, "the changes exceed the bound of one answer"
                ) from error
            raise
        return DirectoryBatch(batch.position, self._read_all(batch.values))

    def _read_all(self, values: tuple[StoredValue, ...]) -> tuple[DirectoryEntry, ...]:
        """Return the entries that stored values describe."""
        entries = []
        for value in values:
            change = read_change(value)
            if change is not None:
                entries.append(DirectoryEntry(value.key, value.version, change))
                self._report_fields(value, change)
        return tuple(entries)

    def _report_fields(self, value: StoredValue, change: DirectoryChange) -> None:
        """Report the unrecognized fields of a document that was read."""
        read = DOCUMENT_TYPES.get(type(change))
        if read is not None:
            location, shape = read
            self._unrecognized.report_fields(location, value.key, value.value, shape)


def read_change(value: StoredValue) -> DirectoryChange | None:
    """Return the change that one value describes, for any bytes; None for operators' other keys."""
    key = value.key
    if key.startswith(names.INSTANCES_PREFIX):
        return _read_entry(key.removeprefix(names.INSTANCES_PREFIX), value.value)
    try:
        if key == names.CONFIGURATION_KEY:
            return ConfigurationPublished(read_configuration(value.value))
        if key.startswith(names.WEIGHTS_PREFIX):
            return WeightsPublished(read_weights(value.value))
    except Exception as error:
        rejection = rejection_of(error)
        return Unreadable(key, rejection.reason, rejection.field, rejection.detail)
    if key.startswith(names.OPERATORS_PREFIX):
        return None
    return RecordWritten(key, value.value, value.version)


def _read_entry(instance_id: str, value: bytes) -> DirectoryChange:
    """Return the change that the value of an instance's key describes."""
    if not value:
        return InstanceRemoved(instance_id)
    try:
        return InstanceListed(read_instance(instance_id, value))
    except Exception as error:
        rejection = rejection_of(error)
        return InstanceRejected(instance_id, rejection.reason, rejection.field, rejection.detail)
