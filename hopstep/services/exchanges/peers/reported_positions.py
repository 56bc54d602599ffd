"""Interprets store positions that other nodes report, also from versions without eras."""

from __future__ import annotations

from hopstep.domain.exchanges.nodes import FORMAT_VERSION_WITH_ERAS
from hopstep.domain.store_position import NO_POSITION, UNSPECIFIED_ERA, StorePosition
from hopstep.ports.node_exchange import ReportedEntry
from hopstep.services.exchanges.directory.knowledge import ServingKnowledge


class ReportedPositions:
    """Interprets store positions in messages of nodes."""

    def __init__(self, knowledge: ServingKnowledge) -> None:
        """Use the node's records of the others, and its own store position."""
        self._knowledge = knowledge

    def read(self, node: str, position: StorePosition) -> StorePosition:
        """Return the store position that a node reports.

        A version without eras means the only era that this node has seen. After a restore the era
        can't be determined, and the position counts as one from before the restore.

        Args:
            node: Name of the node.
            position: The position in its message.
        """
        record = self._knowledge.nodes.get(node)
        includes_era = record is not None and record.form >= FORMAT_VERSION_WITH_ERAS
        if includes_era or position == NO_POSITION or self._knowledge.store_position == NO_POSITION:
            return position
        era = (
            UNSPECIFIED_ERA
            if self._knowledge.history.was_restored
            else self._knowledge.store_position.era
        )
        return StorePosition(era, position.revision)

    def era_of(self, node: str, entry: ReportedEntry) -> int:
        """Return the era of an entry that a node reports."""
        return self.read(node, StorePosition(entry.era, entry.revision)).era
