"""Port to the documents that operators and instances publish in the store.

When the store is down both methods raise ``StoreError``, at once or after a time limit.
"""

from __future__ import annotations

import abc
import enum

import msgspec

from hopstep.domain.exchanges.instances import Instance, NamedWeights
from hopstep.domain.exchanges.serving import ServingConfiguration
from hopstep.domain.store_position import StorePosition


class ConfigurationPublished(msgspec.Struct, frozen=True, tag=True):
    """Operators published a configuration."""

    configuration: ServingConfiguration


class InstanceListed(msgspec.Struct, frozen=True, tag=True):
    """An instance wrote its entry."""

    instance: Instance


class InstanceRemoved(msgspec.Struct, frozen=True, tag=True):
    """An instance's entry was deleted."""

    instance_id: str


class WeightsPublished(msgspec.Struct, frozen=True, tag=True):
    """Operators named weights."""

    weights: NamedWeights


class RecordWritten(msgspec.Struct, frozen=True, tag=True):
    """One of hopstep's own keys changed.

    Attributes:
        key: The key.
        value: Its value; empty when it was deleted.
        version: Store position of the change.
    """

    key: str
    value: bytes
    version: StorePosition


class RejectReason(enum.StrEnum):
    """Kinds of faults in a document that another program wrote.

    ``UNEXPECTED``: its reader raised an error that it doesn't declare, which is a fault of the
    reader.
    """

    UNREADABLE = "unreadable"
    FIELD_MISSING = "field_missing"
    FIELD_TYPE = "field_type"
    FIELD_VALUE = "field_value"
    UNEXPECTED = "unexpected"


class InstanceRejected(msgspec.Struct, frozen=True, tag=True):
    """An invalid entry; an instance that was used under this key is no longer used.

    Attributes:
        instance_id: Id in the key.
        reason: Kind of fault.
        field: Field at fault; empty when there is none.
        detail: What was expected, as text for operators.
    """

    instance_id: str
    reason: RejectReason
    field: str = ""
    detail: str = ""


class Unreadable(msgspec.Struct, frozen=True, tag=True):
    """Another document that can't be read; the version before it stays in force.

    Attributes:
        key: The key.
        reason: Kind of fault.
        field: Field at fault; empty when there is none.
        detail: What was expected, as text for operators.
    """

    key: str
    reason: RejectReason
    field: str = ""
    detail: str = ""


DirectoryChange = (
    ConfigurationPublished
    | InstanceListed
    | InstanceRejected
    | InstanceRemoved
    | WeightsPublished
    | RecordWritten
    | Unreadable
)


class DirectoryEntry(msgspec.Struct, frozen=True):
    """The newest change of one key.

    Attributes:
        key: Name of the key; the same one for all its changes.
        position: Store position of the change, in the era of the response that showed it.
        change: The change.
    """

    key: str
    position: StorePosition
    change: DirectoryChange

    @property
    def removed(self) -> bool:
        """Whether the key was deleted."""
        change = self.change
        return isinstance(change, InstanceRemoved) or (
            isinstance(change, RecordWritten) and not change.value
        )

    def as_removed(self, position: StorePosition) -> DirectoryEntry | None:
        """Return the entry after its key is deleted; None for keys that are never removed."""
        change: DirectoryChange
        if isinstance(self.change, InstanceListed):
            change = InstanceRemoved(self.change.instance.instance_id)
        elif isinstance(self.change, InstanceRejected):
            change = InstanceRemoved(self.change.instance_id)
        elif isinstance(self.change, RecordWritten):
            change = RecordWritten(self.change.key, b"", position)
        else:
            return None
        return DirectoryEntry(self.key, position, change)


class DirectoryBatch(msgspec.Struct, frozen=True):
    """Entries up to a store position.

    Attributes:
        position: Store position; later changes aren't included.
        entries: Entries, in any order.
    """

    position: StorePosition
    entries: tuple[DirectoryEntry, ...]


class ServingDirectory(abc.ABC):
    """Reads the directory."""

    __slots__ = ()

    @abc.abstractmethod
    async def snapshot(self) -> DirectoryBatch:
        """Return all entries; a key that isn't among them doesn't exist."""

    @abc.abstractmethod
    async def reconnect(self) -> None:
        """Make later calls on new connections: the open ones may be unresponsive."""

    @abc.abstractmethod
    async def changes(self, after: StorePosition, wait_seconds: float) -> DirectoryBatch:
        """Return changes after a store position as soon as there are any, or none after the wait.

        Raises:
            StoreHistoryLostError: When the store doesn't have the position, or no longer has the
                changes; take a snapshot.
        """
