"""Nodes as they register themselves, and which of them relay for the others of their zone.

Every node ranks the registered nodes of its zone alike, so the choice needs no election. Views may
differ for a moment: any node answers any other with what it knows and how old that is.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import msgspec

from hopstep.domain.rendezvous import hash_name
from hopstep.domain.store_position import UNSPECIFIED_ERA

NODES_PER_RELAY = 24
MAX_UNANSWERED = 3
"""A node that has let so many queries in a row unanswered isn't asked, only probed."""

PROBE_SECONDS = 2.0

STAND_INS = 2
"""Nodes of a zone behind its relays, by rank, that read the store when all relays have lost it."""


MESSAGE_FORMAT_VERSION = 3
"""Form of the messages and records that this version writes. It rises with each change after which
an older version reads less of them; 0 is all before nodes told it (design 0029)."""

FORMAT_VERSION_WITH_ERAS = 3
"""From this form on nodes tell the era of each place in the store's history."""


REWRITES_PER_SECOND = 150.0
"""Entries that all nodes together write a second after a restore, on average: below the fewest
writes a second that a store takes (400), beside those of others."""

MIN_REWRITING_SECONDS = 0.2


def rewriting_seconds(nodes: int) -> float:
    """Return the time over which nodes spread the writing of their entries after a restore."""
    return max(MIN_REWRITING_SECONDS, nodes / REWRITES_PER_SECOND)


class NodeRecord(msgspec.Struct, frozen=True):
    """A node's entry in the store.

    Attributes:
        address: ``ip:port`` of its datagrams.
        zone: Its zone.
        key: Secret of this process, under which its messages are signed.
        capacity: Processor cores; larger nodes relay.
        form: ``MESSAGE_FORM`` of its version; 0 from versions that don't tell it.
        era: Era of the store in which the entry was written.
    """

    address: str
    zone: str = ""
    key: bytes = b""
    capacity: float = 1.0
    form: int = 0
    era: int = UNSPECIFIED_ERA


class RelayPlan:
    """Whom this node asks, by who has answered and who has lost the store."""

    def __init__(self, name: str, record: NodeRecord) -> None:
        """Know no other node.

        Args:
            name: Name of this node.
            record: Its entry.
        """
        self._name = name
        self._record = record
        self._zones: dict[str, list[str]] = {record.zone: [name]}
        self._unanswered: dict[str, int] = {}
        self._without_store: set[str] = set()
        self._probed_at: dict[str, float] = {}

    def set_nodes(self, nodes: Mapping[str, NodeRecord]) -> None:
        """Rank the registered nodes of each zone."""
        known = {**nodes, self._name: self._record}
        zones: dict[str, list[str]] = {}
        for name, record in known.items():
            zones.setdefault(record.zone, []).append(name)
        for names in zones.values():
            names.sort(key=lambda name: (-known[name].capacity, hash_name(name)))
        self._zones = zones
        self._unanswered = {n: count for n, count in self._unanswered.items() if n in known}
        self._without_store &= known.keys()

    def note_asked(self, name: str) -> None:
        """Count a query that was sent."""
        self._unanswered[name] = self._unanswered.get(name, 0) + 1

    def note_message(self, name: str) -> None:
        """Note a message of a node."""
        self._unanswered.pop(name, None)

    def note_store(self, name: str, *, lost: bool) -> None:
        """Note whether a node that answered has lost the store."""
        if lost:
            self._without_store.add(name)
        else:
            self._without_store.discard(name)

    def relay(self) -> str:
        """Return the node to ask; empty when none before this one in its zone answers.

        One that has lost the store is asked only when no other answers: it still tells loads.
        """
        live = [name for name in self._preferred() if self._is_live(name)]
        return next((name for name in live if self._has_store(name)), next(iter(live), ""))

    @property
    def has_source(self) -> bool:
        """Whether the node to ask is one that hasn't lost the store, as far as known."""
        relay = self.relay()
        return bool(relay) and self._has_store(relay)

    @property
    def is_stand_in(self) -> bool:
        """Whether this node is among the first to read the store when relays have lost it."""
        ranked = self._zones[self._record.zone]
        return ranked.index(self._name) < self._relays(ranked) + STAND_INS

    def probe(self, now: float) -> str:
        """Return a preferred node that isn't asked and is due to be asked again; or empty."""
        for name in self._preferred():
            if self._is_live(name) and self._has_store(name):
                return ""
            if now - self._probed_at.get(name, -PROBE_SECONDS) >= PROBE_SECONDS:
                self._probed_at[name] = now
                return name
        return ""

    def readers_elsewhere(self, turn: int, count: int = 1) -> list[str]:
        """Return nodes that may have another way to the store; each turn the next ones."""
        readers = [name for zone in self._zones for name in self._may_read(zone)]
        others = sorted(name for name in readers if name != self._name)
        first = turn * count
        return [others[(first + n) % len(others)] for n in range(min(count, len(others)))]

    def _may_read(self, zone: str) -> list[str]:
        """Return the nodes of a zone that may read the store: its relays, and some behind them.

        In this node's own zone that is all stand-ins, since there may be no other zone.
        """
        ranked = self._zones[zone]
        behind = STAND_INS if zone == self._record.zone else 1
        return ranked[: self._relays(ranked) + behind]

    def digest_targets(self) -> list[str]:
        """Return the relays of all zones but this node, with stand-ins for silent ones."""
        targets: list[str] = []
        for ranked in self._zones.values():
            targets += self._first_live(ranked)
        return [name for name in targets if name != self._name]

    def live_relays(self) -> list[str]:
        """Return the relays that answer, as this one knows them, itself included."""
        return [self._name, *(name for name in self.digest_targets() if self._is_live(name))]

    def _first_live(self, ranked: list[str]) -> list[str]:
        """Return a zone's relays; behind silent ones also the next in rank."""
        chosen: list[str] = []
        live = 0
        for name in ranked:
            chosen.append(name)
            live += self._is_live(name)
            if live >= self._relays(ranked):
                break
        return chosen

    def _preferred(self) -> Iterable[str]:
        """Return the nodes before this one in its zone, its own relay first."""
        ranked = self._zones[self._record.zone]
        own = ranked.index(self._name)
        relays = self._relays(ranked)
        if own < relays:
            return ()
        first = hash_name(self._name) % relays
        others = [
            *range(first, relays),
            *range(first),
            *range(relays, min(own, relays + STAND_INS)),
        ]
        return (ranked[index] for index in others)

    def _is_live(self, name: str) -> bool:
        """Return whether a node has answered lately, or wasn't asked."""
        return self._unanswered.get(name, 0) < MAX_UNANSWERED

    def _has_store(self, name: str) -> bool:
        """Return whether a node hasn't lost the store, as far as known."""
        return name not in self._without_store

    @staticmethod
    def _relays(ranked: list[str]) -> int:
        """Return how many nodes of a zone relay."""
        return -(-len(ranked) // NODES_PER_RELAY)
