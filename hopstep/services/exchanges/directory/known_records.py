"""Keys that hopstep's own nodes keep in the store: nodes, the rollout's holder, and others."""

from __future__ import annotations

from collections.abc import Callable

from hopstep.ports.serving_directory import RecordWritten
from hopstep.services.exchanges.directory.known_nodes import KnownNodes
from hopstep.services.exchanges.directory.news import News
from hopstep.services.exchanges.directory.records import NODES_PREFIX, ROLLOUT_KEY

RecordListener = Callable[[RecordWritten], None]
"""Takes a key of hopstep's own; its value is empty when it is gone."""


class KnownRecords:
    """Passes records on by their keys.

    Attributes:
        rollout: The rollout's key; None when there is none.
    """

    def __init__(self, nodes: KnownNodes) -> None:
        """Know none yet.

        Args:
            nodes: Takes the nodes' entries.
        """
        self.rollout: RecordWritten | None = None
        self._nodes = nodes
        self._listeners: dict[str, RecordListener] = {}

    def subscribe_records(self, prefix: str, listener: RecordListener) -> None:
        """Tell a listener of the keys under a prefix."""
        self._listeners[prefix] = listener

    def take(self, record: RecordWritten, news: News) -> None:
        """Take a record.

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
            self._nodes.take(name, record.value, record.version, news.known_at)
