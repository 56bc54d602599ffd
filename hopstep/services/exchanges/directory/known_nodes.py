"""The registered nodes, by the latest entry that each of them wrote.

After a restore the backup may lack entries of live nodes, or have those of earlier processes. Each
node writes its entry again in the new era; until then the entries from before the restore are kept.
"""

from __future__ import annotations

import hashlib

import trio

from hopstep.domain.exchanges.nodes import (
    FORMAT_VERSION_WITH_ERAS,
    NodeRecord,
    RelayPlan,
    rewriting_seconds,
)
from hopstep.domain.exchanges.store_contact import RELISTING_SECONDS
from hopstep.domain.store_position import NO_POSITION, StorePosition
from hopstep.services.exchanges.directory.message_formats import MessageFormats
from hopstep.services.exchanges.directory.records import decode_node

PROCESS_MARK = "@"
"""Separates a node's name from the digest of its process in ``process_id``."""

DIGEST_BYTES = 8


class KnownNodes:
    """Keeps the records of nodes by name.

    Attributes:
        records: Records of the registered nodes; includes this one once it is registered.
        relays: Which of the nodes are relays.
    """

    def __init__(self, name: str, own: NodeRecord) -> None:
        """Start with this node only.

        Args:
            name: Name of this node.
            own: Its record.
        """
        self.records: dict[str, NodeRecord] = {}
        self.relays = RelayPlan(name, own)
        self._name = name
        self._own_key = own.key
        self._formats = MessageFormats(own.form)
        self._retained_until = -float("inf")
        self._unlisted: set[str] = set()

    @property
    def count(self) -> int:
        """Number of nodes that may be alive, this one included."""
        return len(self.records.keys() | {self._name})

    @property
    def has_others(self) -> bool:
        """Whether any other node is registered."""
        return bool(self.records.keys() - {self._name})

    @property
    def own_process(self) -> str:
        """Identifier of this node's process; empty while its entry isn't known."""
        record = self.records.get(self._name)
        if record is None or record.key != self._own_key:
            return ""
        return process_id(self._name, record)

    def has_ended(self, process: str) -> bool:
        """Return whether the entry of a process was replaced by its node's next one, or removed."""
        name = process.rpartition(PROCESS_MARK)[0]
        record = self.records.get(name)
        return record is None or process_id(name, record) != process

    @property
    def all_support_eras(self) -> bool:
        """Whether all registered nodes use a message format that includes the store's era."""
        return all(record.form >= FORMAT_VERSION_WITH_ERAS for record in self.records.values())

    def count_behind(self, era: int) -> int:
        """Return how many nodes haven't written their entry since an era of the store began."""
        known = (
            record for record in self.records.values() if record.form >= FORMAT_VERSION_WITH_ERAS
        )
        return sum(1 for record in known if record.era < era)

    def note_restore(self, now: float) -> None:
        """Keep entries that the backup lacks until their nodes had time to write them again."""
        self._retained_until = now + RELISTING_SECONDS + 2 * rewriting_seconds(self.count)

    def apply(
        self,
        name: str,
        value: bytes,
        position: StorePosition,
        previous_position: StorePosition = NO_POSITION,
    ) -> None:
        """Apply a node's entry.

        Args:
            name: Name of the node.
            value: The entry; empty when it was removed.
            position: Its store position.
            previous_position: Store position of the node's previous entry.

        Raises:
            msgspec.DecodeError: Names the field that can't be read.
        """
        self._unlisted.discard(name)
        if value:
            self._put(name, decode_node(value), position, previous_position)
        elif name in self.records and trio.current_time() < self._retained_until:
            self._unlisted.add(name)
        else:
            self.records.pop(name, None)
        self._publish()

    def expire(self) -> None:
        """Remove nodes that the backup lacked and that didn't write their entry again in time."""
        if not self._unlisted or trio.current_time() < self._retained_until:
            return
        for name in self._unlisted:
            self.records.pop(name, None)
        self._unlisted.clear()
        self._publish()

    def _put(
        self,
        name: str,
        record: NodeRecord,
        position: StorePosition,
        previous_position: StorePosition,
    ) -> None:
        """Store a record unless it is from the backup and older than the known one."""
        from_earlier_era = record.form >= FORMAT_VERSION_WITH_ERAS and record.era < position.era
        older = (
            previous_position.era < position.era and previous_position.revision > position.revision
        )
        if name in self.records and from_earlier_era and older:
            return
        self.records[name] = record

    def _publish(self) -> None:
        """Update the plan of relays, and log changes of the message formats in use."""
        self.relays.set_nodes(self.records)
        self._formats.update(self.records.values())


def process_id(name: str, record: NodeRecord) -> str:
    """Return what identifies a node's process: each has a key of its own, which stays secret."""
    digest = hashlib.blake2b(record.key, digest_size=DIGEST_BYTES)
    return name + PROCESS_MARK + digest.hexdigest()
