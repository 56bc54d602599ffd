"""The nodes that a node knows: their own entries, in the order in which they wrote them.

After a restore a copy may lack entries of nodes that live, or show what an earlier process wrote.
Each node writes its entry again in the new era; until then the known ones stand.
"""

from __future__ import annotations

import trio

from hopstep.domain.exchanges.nodes import (
    FORMAT_VERSION_WITH_ERAS,
    NodeRecord,
    RelayPlan,
    rewriting_seconds,
)
from hopstep.domain.exchanges.store_contact import RELISTING_SECONDS
from hopstep.domain.store_position import NO_POSITION, StorePosition
from hopstep.services.exchanges.directory.message_forms import MessageForms
from hopstep.services.exchanges.directory.records import decode_node


class KnownNodes:
    """Records by name.

    Attributes:
        records: Records of the nodes, this one's own too once it is registered.
        relays: Which of them relay.
    """

    def __init__(self, name: str, own: NodeRecord) -> None:
        """Know this node alone.

        Args:
            name: Name of this node.
            own: Its entry.
        """
        self.records: dict[str, NodeRecord] = {}
        self.relays = RelayPlan(name, own)
        self._name = name
        self._forms = MessageForms(own.form)
        self._kept_until = -float("inf")
        self._missing: set[str] = set()

    @property
    def count(self) -> int:
        """How many nodes may be alive, this one included."""
        return len(self.records.keys() | {self._name})

    @property
    def has_others(self) -> bool:
        """Whether any other node is registered."""
        return bool(self.records.keys() - {self._name})

    @property
    def all_know_eras(self) -> bool:
        """Whether the versions of all registered nodes tell the store's eras."""
        return all(record.form >= FORMAT_VERSION_WITH_ERAS for record in self.records.values())

    def count_behind(self, era: int) -> int:
        """Return how many nodes have not written their entry since the store entered an era."""
        known = (
            record for record in self.records.values() if record.form >= FORMAT_VERSION_WITH_ERAS
        )
        return sum(1 for record in known if record.era < era)

    def note_restore(self, now: float) -> None:
        """Expect the entries that a copy lacks to be written again."""
        self._kept_until = now + RELISTING_SECONDS + 2 * rewriting_seconds(self.count)

    def take(
        self, name: str, value: bytes, place: StorePosition, known_at: StorePosition = NO_POSITION
    ) -> None:
        """Take a node's entry.

        Args:
            name: Name of the node.
            value: The entry; empty when it is gone.
            place: Its place.
            known_at: Place of the node's entry that was known before.

        Raises:
            msgspec.DecodeError: Names the field that can't be read.
        """
        self._missing.discard(name)
        if value:
            self._put(name, decode_node(value), place, known_at)
        elif name in self.records and trio.current_time() < self._kept_until:
            self._missing.add(name)
        else:
            self.records.pop(name, None)
        self._publish()

    def expire(self) -> None:
        """Forget nodes whose entries a copy lacked and that haven't written them again in time."""
        if not self._missing or trio.current_time() < self._kept_until:
            return
        for name in self._missing:
            self.records.pop(name, None)
        self._missing.clear()
        self._publish()

    def _put(
        self, name: str, record: NodeRecord, place: StorePosition, known_at: StorePosition
    ) -> None:
        """Take a record unless it is what a copy has of before the known one."""
        of_before = record.form >= FORMAT_VERSION_WITH_ERAS and record.era < place.era
        older = known_at.era < place.era and known_at.revision > place.revision
        if name in self.records and of_before and older:
            return
        self.records[name] = record

    def _publish(self) -> None:
        """Rank the nodes, and log which forms of messages they write."""
        self.relays.set_nodes(self.records)
        self._forms.note(self.records.values())
