"""Registered nodes, and which of them are relays for the other nodes of their zone.

Every node ranks the registered nodes of its zone in the same order, so relays need no election.
Views may differ briefly: any node answers any other with its state and the age of that state.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import msgspec

from hopstep.domain.rendezvous import hash_name
from hopstep.domain.store_position import UNSPECIFIED_ERA

NODES_PER_RELAY = 24
MAX_UNANSWERED = 3
"""Consecutive unanswered queries after which a node is no longer asked, only probed."""

PROBE_SECONDS = 2.0
"""Shortest time between two probes of a node."""

STAND_INS = 2
"""Nodes of a zone, next in rank to its relays, that read the store when all relays have lost it."""


MESSAGE_FORMAT_VERSION = 7
"""Format version of the messages and records that this version writes. It rises with each change
after which an older version can't read all of them; 0 means a node that doesn't state it (design
0029)."""

FORMAT_VERSION_WITH_ERAS = 3
"""First format version in which nodes state the era of each store position."""

FORMAT_VERSION_WITH_STREAMS = 5
"""First format version in which nodes pass on the software versions of instances, and the origins
of streams."""


REWRITES_PER_SECOND = 150.0
"""Entries a second that all nodes together write after a restore, on average: with the writes of
others this is below the lowest write rate that a store accepts (400 a second)."""

MIN_REWRITING_SECONDS = 0.2
"""Shortest time over which nodes spread the writing of their entries."""


def rewriting_seconds(nodes: int) -> float:
    """Return the time over which nodes spread the writing of their entries after a restore."""
    return max(MIN_REWRITING_SECONDS, nodes / REWRITES_PER_SECOND)


class NodeRecord(msgspec.Struct, frozen=True):
    """A node's entry in the store.

    Attributes:
        address: ``ip:port`` of its datagrams.
        zone: Its zone.
        key: Secret of this process that signs its messages.
        capacity: Processor cores; the nodes with most cores become relays.
        form: ``MESSAGE_FORMAT_VERSION`` of the node; 0 when it doesn't state it.
        era: Era of the store in which the entry was written.
    """

    address: str
    zone: str = ""
    key: bytes = b""
    capacity: float = 1.0
    form: int = 0
    era: int = UNSPECIFIED_ERA


class RelayPlan:
    """Which nodes this node asks, by their answers and by whether they have lost the store.

    Attributes:
        heard: Registered nodes of which a message has arrived since this node's start.
    """

    def __init__(self, name: str, record: NodeRecord) -> None:
        """Start without other nodes.

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
        self.heard: set[str] = set()

    def set_nodes(self, nodes: Mapping[str, NodeRecord]) -> None:
        """Rank the registered nodes of each zone."""
        known = {**nodes, self._name: self._record}
        zones: dict[str, list[str]] = {}
        for name, record in known.items():
            zones.setdefault(record.zone, []).append(name)
        for names in zones.values():
            names.sort(key=lambda name: _rank(name, known[name]))
        self._zones = zones
        self._unanswered = {n: count for n, count in self._unanswered.items() if n in known}
        self._without_store &= known.keys()
        self.heard &= known.keys()

    def note_asked(self, name: str) -> None:
        """Count a query that was sent."""
        self._unanswered[name] = self._unanswered.get(name, 0) + 1

    def note_message(self, name: str) -> None:
        """Note that a message of a node has arrived."""
        self._unanswered.pop(name, None)
        self.heard.add(name)

    def note_store(self, name: str, *, lost: bool) -> None:
        """Note whether a node that answered has lost the store."""
        if lost:
            self._without_store.add(name)
        else:
            self._without_store.discard(name)

    def relay(self) -> str:
        """Return the node to ask; empty when none ranked before this one in its zone answers.

        A node that has lost the store is asked only when no other answers, for its load reports.
        """
        live = [name for name in self._preferred() if self._is_live(name)]
        return next((name for name in live if self._has_store(name)), next(iter(live), ""))

    @property
    def has_source(self) -> bool:
        """Whether there is a node to ask that hasn't lost the store, as far as known."""
        relay = self.relay()
        return bool(relay) and self._has_store(relay)

    @property
    def is_stand_in(self) -> bool:
        """Whether this node is among the first to read the store when relays have lost it."""
        ranked = self._zones[self._record.zone]
        return ranked.index(self._name) < self._relays(ranked) + STAND_INS

    def probe(self, now: float) -> str:
        """Return a preferred node that isn't asked and is due for a probe; empty for none."""
        for name in self._preferred():
            if self._is_live(name) and self._has_store(name):
                return ""
            if now - self._probed_at.get(name, -PROBE_SECONDS) >= PROBE_SECONDS:
                self._probed_at[name] = now
                return name
        return ""

    def readers_elsewhere(self, turn: int, count: int = 1) -> list[str]:
        """Return nodes that may have another route to the store, the next ones at each turn."""
        readers = [name for zone in self._zones for name in self._may_read(zone)]
        others = sorted(name for name in readers if name != self._name)
        first = turn * count
        return [others[(first + n) % len(others)] for n in range(min(count, len(others)))]

    def _may_read(self, zone: str) -> list[str]:
        """Return the nodes of a zone that may read the store: its relays and some ranked next.

        In this node's own zone these are all stand-ins, since there may be no other zone.
        """
        ranked = self._zones[zone]
        behind = STAND_INS if zone == self._record.zone else 1
        return ranked[: self._relays(ranked) + behind]

    def digest_targets(self) -> list[str]:
        """Return the relays of all zones except this node, and stand-ins for unresponsive ones."""
        targets: list[str] = []
        for ranked in self._zones.values():
            targets += self._first_live(ranked)
        return [name for name in targets if name != self._name]

    def live_relays(self) -> list[str]:
        """Return the relays that answer, as far as this node knows, and itself."""
        return [self._name, *(name for name in self.digest_targets() if self._is_live(name))]

    def _first_live(self, ranked: list[str]) -> list[str]:
        """Return a zone's relays, and for each unresponsive one also the next in rank."""
        chosen: list[str] = []
        live = 0
        for name in ranked:
            chosen.append(name)
            live += self._is_live(name)
            if live >= self._relays(ranked):
                break
        return chosen

    def _preferred(self) -> Iterable[str]:
        """Return the nodes ranked before this one in its zone, its own relay first."""
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
        """Return whether a node has fewer than ``MAX_UNANSWERED`` queries unanswered."""
        return self._unanswered.get(name, 0) < MAX_UNANSWERED

    def _has_store(self, name: str) -> bool:
        """Return whether a node hasn't lost the store, as far as known."""
        return name not in self._without_store

    @staticmethod
    def _relays(ranked: list[str]) -> int:
        """Return how many nodes of a zone are relays."""
        return -(-len(ranked) // NODES_PER_RELAY)


def _rank(name: str, record: NodeRecord) -> tuple[bool, float, int]:
    """Return the rank of a node among those of its zone, the first relays first.

    Nodes that don't pass on software versions are last: what they relay lacks them.
    """
    lacks_versions = record.form < FORMAT_VERSION_WITH_STREAMS
    return lacks_versions, -record.capacity, hash_name(name)
