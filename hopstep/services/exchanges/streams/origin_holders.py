"""Chooses the nodes that keep the record of a stream, and those that are asked for it."""

from __future__ import annotations

from hopstep.domain.exchanges.nodes import FORMAT_VERSION_WITH_STREAMS, NODES_PER_RELAY
from hopstep.domain.rendezvous import Rendezvous, hash_name
from hopstep.services.exchanges.directory.knowledge import ServingKnowledge

HASHED_HOLDERS = 3
"""Nodes that keep a record besides the one that began the stream and its writer."""

ASKED_HASHED = 5
"""Nodes with the highest rank for a stream that are asked: the holders, also after two nodes of a
higher rank have been registered since."""

SUBSTITUTES = 2
"""Nodes that write records to the store in the place of a writer that can't."""

SMALL_FLEET = 12
"""Up to this number all other nodes are asked."""


class OriginHolders:
    """Ranks the registered nodes for each stream by rendezvous hashing."""

    def __init__(self, knowledge: ServingKnowledge) -> None:
        """Use a node's view of the registered nodes."""
        self._knowledge = knowledge
        self._names: frozenset[str] = frozenset()
        self._ranking = Rendezvous.unweighted(())

    def others(self) -> frozenset[str]:
        """Return the other nodes that know origins of streams."""
        return frozenset(
            name
            for name, record in self._knowledge.nodes.items()
            if name != self._knowledge.name and record.form >= FORMAT_VERSION_WITH_STREAMS
        )

    def keepers(self, key: bytes) -> list[str]:
        """Return the other nodes that keep the record of a stream that this node has begun."""
        others = self.others()
        chosen = self._ranked(key, others, HASHED_HOLDERS)
        return sorted({*chosen, self.writer()} - {self._knowledge.name})

    def writers(self) -> int:
        """Return the number of nodes that write records to the store."""
        return -(-self._knowledge.count_nodes() // NODES_PER_RELAY)

    def writer(self) -> str:
        """Return the relay that writes this node's records to the store.

        Relays see the writes of all others by their watches, so they know all records then.
        """
        relays = self.others().intersection(self._knowledge.relays.digest_targets())
        if not self._knowledge.relays.relay():
            relays |= {self._knowledge.name}
        ranked = sorted(relays, key=hash_name)[: self.writers()]
        if not ranked:
            return self._knowledge.name
        return ranked[hash_name(self._knowledge.name) % len(ranked)]

    def substitutes(self, turn: int) -> list[str]:
        """Return the nodes that write to the store when this one can't, others at each turn."""
        readers = self._knowledge.relays.readers_elsewhere(turn, SUBSTITUTES)
        return sorted(self.others().intersection(readers))

    def asked(self, key: bytes) -> list[str]:
        """Return the nodes that are asked for the record of a stream."""
        others = self.others()
        if len(others) <= SMALL_FLEET:
            return sorted(others)
        relays = others.intersection(self._knowledge.relays.digest_targets())
        return sorted({*self._ranked(key, others, ASKED_HASHED), *relays})

    def _ranked(self, key: bytes, others: frozenset[str], count: int) -> tuple[str, ...]:
        """Return the nodes with the highest rank for a stream."""
        if others != self._names:
            self._names = others
            self._ranking = Rendezvous.unweighted(others)
        return self._ranking.owners_once(key.hex(), count)
