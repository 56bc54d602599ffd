"""Encoding of changes, snapshots and transfers: CBOR of plain maps."""

from __future__ import annotations

from typing import Any

import cbor2
import msgspec

from hopstep.domain.configuration.decoding import convert_document
from hopstep.domain.configuration.document import (
    AcceptedConfiguration,
    BackEnd,
    Model,
    RequestClass,
    RoutingPolicy,
    Tenant,
)
from hopstep.domain.configuration.log import (
    AcceptedChange,
    Change,
    ConfigurationTransfer,
    Edit,
    Item,
    Section,
)
from hopstep.exceptions import ErrorCode, ValidationError

ITEM_TYPES: dict[Section, type[Item]] = {
    Section.BACK_ENDS: BackEnd,
    Section.TENANTS: Tenant,
    Section.CLASSES: RequestClass,
    Section.MODELS: Model,
    Section.ROUTING: RoutingPolicy,
}


class _EditRecord(msgspec.Struct, forbid_unknown_fields=True):
    """An edit on the wire; ``section`` determines the type of ``item``."""

    section: Section
    name: str
    item: dict[str, Any] | None


class _ChangeRecord(msgspec.Struct, forbid_unknown_fields=True):
    """A change on the wire."""

    change_id: str
    author: str
    note: str
    base_revision: int
    edits: list[_EditRecord]


class _AcceptedChangeRecord(msgspec.Struct, forbid_unknown_fields=True):
    """An accepted change on the wire."""

    revision: int
    change: _ChangeRecord


class _TransferRecord(msgspec.Struct, forbid_unknown_fields=True):
    """A transfer on the wire."""

    snapshot: AcceptedConfiguration | None
    changes: list[_AcceptedChangeRecord]


def encode(value: msgspec.Struct) -> bytes:
    """Return the encoding of a change, a snapshot or a transfer."""
    return cbor2.dumps(msgspec.to_builtins(value))


def decode_change(data: bytes) -> Change:
    """Return the change that the bytes encode.

    Raises:
        ValidationError: When they don't encode a change.
    """
    return _to_change(convert_document(load_document(data), _ChangeRecord))


def decode_snapshot(data: bytes) -> AcceptedConfiguration:
    """Return the snapshot that the bytes encode.

    Raises:
        ValidationError: When they don't encode a snapshot.
    """
    return convert_document(load_document(data), AcceptedConfiguration)


def decode_transfer(data: bytes) -> ConfigurationTransfer:
    """Return the transfer that the bytes encode.

    Raises:
        ValidationError: When they don't encode a transfer.
    """
    record = convert_document(load_document(data), _TransferRecord)
    changes = tuple(
        AcceptedChange(item.revision, _to_change(item.change)) for item in record.changes
    )
    return ConfigurationTransfer(record.snapshot, changes)


def load_document(data: bytes) -> object:
    """Return decoded maps and lists.

    Raises:
        ValidationError: When the bytes aren't CBOR.
    """
    try:
        value: object = cbor2.loads(data)
    except Exception as error:
        # The decoder raises errors of many types.
        message = f"not a CBOR document ({type(error).__name__})"
        raise ValidationError(ErrorCode.INVALID_CONFIGURATION, message) from None
    return value


def _to_change(record: _ChangeRecord) -> Change:
    """Return the change with its items typed by their sections."""
    edits = tuple(_to_edit(edit) for edit in record.edits)
    return Change(record.change_id, record.author, record.note, record.base_revision, edits)


def _to_edit(record: _EditRecord) -> Edit:
    """Return the edit with its item typed by its section."""
    if record.item is None:
        return Edit(record.section, record.name, None)
    item = convert_document(record.item, ITEM_TYPES[record.section])
    return Edit(record.section, record.name, item)
