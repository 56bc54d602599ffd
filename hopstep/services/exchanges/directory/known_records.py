"""Keys that hopstep's nodes write to the store: node entries, the rollout's holder, others."""

from __future__ import annotations

from collections.abc import Callable

from hopstep.ports.serving_directory import RecordWritten
from hopstep.services.exchanges.directory.change_origin import ChangeOrigin
from hopstep.services.exchanges.directory.known_nodes import KnownNodes
from hopstep.services.exchanges.directory.records import NODES_PREFIX, ROLLOUT_KEY

RecordListener = Callable[[RecordWritten], None]
"""Called with a key that hopstep's nodes write; its value is empty when it was removed."""


class KnownRecords:
    """Dispatches records by the prefixes of their keys.

    Attributes:
        rollout: Record of the rollout's key; None when there is none.
    """

    def __init__(self, nodes: KnownNodes) -> None:
        """Start without records.

        Args:
            nodes: Receives the nodes' entries.
        """
        self.rollout: RecordWritten | None = None
        self._nodes = nodes
        self._listeners: dict[str, RecordListener] = {}

    def subscribe_records(self, prefix: str, listener: RecordListener) -> None:
        """Call a listener for each record under a prefix."""
        self._listeners[prefix] = listener

    def apply(self, record: RecordWritten, origin: ChangeOrigin) -> None:
        """Apply a record.

        Raises:
            msgspec.DecodeError: Names the field of a node's entry that can't be read.
        """
        for prefix, listener in self._listeners.items():
            if record.key.startswith(prefix):
                listener(record)
        if record.key == ROLLOUT_KEY:
            self.rollout = record if record.value else None
        elif record.key.startswith(NODES_PREFIX):
            name = record.key.removeprefix(NODES_PREFIX)
            self._nodes.apply(name, record.value, record.version, origin.previous_position)
