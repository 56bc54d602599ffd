"""Which places in the store's history other nodes mean, also those whose versions tell no era."""

from __future__ import annotations

from hopstep.domain.exchanges.nodes import FORM_WITH_ERAS
from hopstep.domain.store_place import NOWHERE, UNTOLD_ERA, StorePlace
from hopstep.ports.node_exchange import ReportedEntry
from hopstep.services.exchanges.directory.knowledge import ServingKnowledge


class ToldPlaces:
    """Reads places that nodes tell."""

    def __init__(self, knowledge: ServingKnowledge) -> None:
        """Use a node's knowledge of the others and of the store."""
        self._knowledge = knowledge

    def read(self, node: str, place: StorePlace) -> StorePlace:
        """Return the place that a node means.

        One without eras means the only one that this node has seen; after a restore that can't be
        told, and what it means counts as of before.

        Args:
            node: Name of the node.
            place: As the node told it.
        """
        record = self._knowledge.nodes.get(node)
        told = record is not None and record.form >= FORM_WITH_ERAS
        if told or place == NOWHERE or self._knowledge.place == NOWHERE:
            return place
        era = UNTOLD_ERA if self._knowledge.history.was_restored else self._knowledge.place.era
        return StorePlace(era, place.revision)

    def era_of(self, node: str, entry: ReportedEntry) -> int:
        """Return the era that a node means by an entry."""
        return self.read(node, StorePlace(entry.era, entry.revision)).era
