"""Applies one change of the directory to the kind of document that it is of."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from hopstep.domain.exchanges.instance_table import InstanceTable
from hopstep.error_reports import describe_unexpected
from hopstep.log_events.configuration import DIRECTORY_ENTRY_REJECTED
from hopstep.logs import emit
from hopstep.ports.serving_directory import (
    ConfigurationPublished,
    DirectoryChange,
    InstanceListed,
    InstanceRejected,
    InstanceRemoved,
    RecordWritten,
    RejectReason,
    Unreadable,
    WeightsPublished,
)
from hopstep.services.exchanges.directory.change_origin import ChangeOrigin
from hopstep.services.exchanges.directory.instance_changes import InstanceChanges
from hopstep.services.exchanges.directory.known_configuration import KnownConfiguration
from hopstep.services.exchanges.directory.known_nodes import KnownNodes
from hopstep.services.exchanges.directory.known_records import KnownRecords
from hopstep.services.exchanges.directory.known_weights import KnownWeights

MAX_DETAIL = 200
"""Characters of a logged detail; errors may repeat a part of the document."""


class DocumentChanges:
    """Passes changes on by their kind, and logs those that can't be trusted."""

    def __init__(
        self,
        configuration: KnownConfiguration,
        weights: KnownWeights,
        instances: InstanceChanges,
        records: KnownRecords,
        nodes: KnownNodes,
        table: InstanceTable,
    ) -> None:
        """Pass changes on to these.

        Args:
            configuration: Receives configurations.
            weights: Receives named weights.
            instances: Receives instances that are listed or removed.
            records: Receives the keys that hopstep's nodes write.
            nodes: The nodes that these keys name.
            table: Receives untrusted entries of instances, and that there are other nodes.
        """
        self._configuration = configuration
        self._weights = weights
        self._instances = instances
        self._records = records
        self._nodes = nodes
        self._table = table
        self._count_rejected: Callable[[RejectReason], None] = lambda _reason: None

    def subscribe_rejections(self, listener: Callable[[RejectReason], None]) -> None:
        """Call a listener for each rejected document."""
        self._count_rejected = listener

    def apply(self, change: DirectoryChange, origin: ChangeOrigin) -> None:
        """Apply one change.

        Whatever its reader raises rejects this change only: the process, the position of the watch
        and the other changes of the batch go on.
        """
        try:
            self._apply(change, origin)
        except msgspec.DecodeError as error:
            self._log_rejected(_key_of(change), RejectReason.UNREADABLE, "", str(error))
        except Exception as error:
            detail = describe_unexpected(error)
            self._log_rejected(_key_of(change), RejectReason.UNEXPECTED, "", detail)

    def _apply(self, change: DirectoryChange, origin: ChangeOrigin) -> None:
        """Apply one change by its kind."""
        match change:
            case ConfigurationPublished(configuration):
                self._configuration.apply(configuration, origin)
            case InstanceListed(instance):
                self._instances.apply_listed(instance, origin)
            case InstanceRejected():
                self._table.reject(change.instance_id)
                key = change.instance_id
                self._log_rejected(key, change.reason, change.field, change.detail)
            case InstanceRemoved(instance_id):
                self._instances.apply_removed(instance_id, origin)
            case WeightsPublished(weights):
                self._weights.apply(weights, origin)
            case RecordWritten():
                self._apply_record(change, origin)
            case Unreadable():
                self._log_rejected(change.key, change.reason, change.field, change.detail)

    def _apply_record(self, record: RecordWritten, origin: ChangeOrigin) -> None:
        """Apply a key that hopstep's nodes write."""
        self._records.apply(record, origin)
        if self._nodes.has_others:
            self._table.first_peer_report.note_other_nodes()

    def _log_rejected(self, key: str, reason: RejectReason, field: str, detail: str) -> None:
        """Log and count a rejected document: once for each of its revisions."""
        self._count_rejected(reason)
        emit(
            DIRECTORY_ENTRY_REJECTED,
            key=key,
            reason=reason.value,
            field=field,
            detail=detail[:MAX_DETAIL],
        )


def _key_of(change: DirectoryChange) -> str:
    """Return what names a change in the log: its key, or what the document names."""
    match change:
        case ConfigurationPublished(configuration):
            return f"{type(change).__name__} {configuration.version}"
        case WeightsPublished(weights):
            return f"{type(change).__name__} {weights.model} {weights.version}"
        case InstanceListed(instance):
            return instance.instance_id
        case InstanceRejected() | InstanceRemoved():
            return change.instance_id
    return change.key
