"""A node's view of configuration, instances, weights and nodes, and the age of that view.

All of it comes from the serving directory: read from the store by this node, or reported by another
node. Ages count from the sending of the call or query that was answered, plus the age that the
answering node reported. While the store is down the node continues with what it has; requests with
keys are refused once the age of keys exceeds the revocation bound. A node also tracks the time
since the store last answered it or the nodes that report to it (see
``domain.exchanges.freshness``).

Each kind of document has a module of its own and, where it has one, its own order: configuration
and named weights are ordered by version, incarnations of an instance by their start and by their
announced shutdown. All others are ordered by store position.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import trio

from hopstep.domain.exchanges.directory_change_log import DirectoryChangeLog, LoggedChange
from hopstep.domain.exchanges.instance_table import InstanceTable
from hopstep.domain.exchanges.nodes import NodeRecord, RelayPlan
from hopstep.domain.exchanges.serving import ServingConfiguration, ServingIndex
from hopstep.domain.exchanges.store_contact import StoreContact
from hopstep.domain.exchanges.streams.recorded_versions import RecordedVersions
from hopstep.domain.exchanges.weights import NamedWeightsTable
from hopstep.domain.store_position import ABSENT, NO_POSITION, StorePosition
from hopstep.exceptions import ErrorCode, ServiceError
from hopstep.ports.serving_directory import (
    ConfigurationPublished,
    DirectoryBatch,
    DirectoryChange,
    DirectoryEntry,
    RecordWritten,
    WeightsPublished,
)
from hopstep.services.exchanges.directory.change_origin import (
    STORE_SOURCE,
    ChangeOrigin,
    feed_entry,
)
from hopstep.services.exchanges.directory.copy_losses import BackupLosses, find_losses
from hopstep.services.exchanges.directory.document_changes import DocumentChanges
from hopstep.services.exchanges.directory.instance_changes import InstanceChanges
from hopstep.services.exchanges.directory.key_freshness import KeyFreshness
from hopstep.services.exchanges.directory.known_configuration import KnownConfiguration
from hopstep.services.exchanges.directory.known_nodes import KnownNodes
from hopstep.services.exchanges.directory.known_records import KnownRecords
from hopstep.services.exchanges.directory.known_weights import KnownWeights
from hopstep.services.exchanges.directory.records import is_passed_on
from hopstep.services.exchanges.directory.store_history import StoreHistory

MAX_WATCH_GAP_SECONDS = 1.0
"""Longest time for which a watch may have received nothing before its history was lost."""

FIRST_READING_SECONDS = 1.0
"""Time after a node's start in which requests wait for its first reading of the store.

The reading takes some 20 ms, ten times that if the store is slow. After this time the store counts
as unavailable, and requests are refused at once.
"""

MILLISECONDS = 1_000

Entry = LoggedChange[DirectoryEntry]


class ServingKnowledge:
    """Applies changes of the directory; readers use its fields."""

    def __init__(
        self,
        name: str,
        record: NodeRecord,
        table: InstanceTable,
        weights: NamedWeightsTable,
        revocation_seconds: float,
    ) -> None:
        """Start with an empty view. Must be called inside the event loop.

        Args:
            name: Name of this node.
            record: Its record for other nodes.
            table: Receives the instances.
            weights: Receives the named weights.
            revocation_seconds: Longest time for which a revoked key may still be accepted.
        """
        self.name = name
        self.record = record
        self.table = table
        self.weights = weights
        self._started_at = trio.current_time()
        self.feed: DirectoryChangeLog[DirectoryEntry] = DirectoryChangeLog()
        self.contact = StoreContact(self._started_at)
        self.registered_nodes = KnownNodes(name, record)
        self.history = StoreHistory(self.contact, self.registered_nodes, self.feed)
        self.configuration = KnownConfiguration(table)
        self.named_weights = KnownWeights(weights, self.contact)
        self.instances = InstanceChanges(table, self.contact)
        self.recorded_versions = RecordedVersions()
        self.records = KnownRecords(self.registered_nodes)
        self.documents = DocumentChanges(
            self.configuration,
            self.named_weights,
            self.instances,
            self.records,
            self.registered_nodes,
            table,
        )
        self.keys = KeyFreshness(revocation_seconds)
        self.last_answer_at = -float("inf")
        self.changed = trio.Event()

    @property
    def index(self) -> ServingIndex | None:
        """Lookups over the configuration in force, or None before the first."""
        return self.configuration.index

    @property
    def current(self) -> ServingConfiguration | None:
        """The configuration in force, or None before the first."""
        return self.configuration.current

    @property
    def has_engines(self) -> bool:
        """Whether the configuration has a service of language-model engines."""
        services = self.current.services if self.current is not None else ()
        return any(service.engine is not None for service in services)

    @property
    def store_position(self) -> StorePosition:
        """Store position up to which the node has all changes."""
        return self.history.store_position

    @property
    def nodes(self) -> Mapping[str, NodeRecord]:
        """The registered nodes by name."""
        return self.registered_nodes.records

    @property
    def relays(self) -> RelayPlan:
        """Which of the nodes are relays."""
        return self.registered_nodes.relays

    def count_nodes(self) -> int:
        """Return the number of nodes that may be alive, this one included."""
        return self.registered_nodes.count

    @property
    def seconds_since_relayed_contact(self) -> float:
        """Seconds since the store last answered a node that sent this one a complete answer."""
        return trio.current_time() - self.contact.reported_at

    @property
    def is_settling(self) -> bool:
        """Whether the store was restored from a backup that may lack changes that others have."""
        return self.history.backup.is_settling(trio.current_time())

    async def wait_first_reading(self) -> None:
        """Wait for the first configuration, up to ``FIRST_READING_SECONDS`` after the start."""
        with trio.move_on_at(self._started_at + FIRST_READING_SECONDS):
            while self.index is None or (self.is_settling and not self.keys.is_fresh):
                await self.changed.wait()

    def require_index(self) -> ServingIndex:
        """Return the configuration in force.

        Raises:
            ServiceError: ``NOT_READY`` before the first.
        """
        if self.index is None:
            raise ServiceError(ErrorCode.NOT_READY, "this node has no configuration yet")
        return self.index

    def version_of(self, key: str) -> StorePosition:
        """Return the version that a write of a key should expect; ``ABSENT`` without the key."""
        entry = self.feed.get(key)
        if entry is None or entry.removed:
            return ABSENT
        return StorePosition(self.store_position.era, entry.position.revision)

    def apply_snapshot(self, batch: DirectoryBatch, sent_at: float) -> None:
        """Apply all entries of the store; keys that aren't among them are removed.

        Args:
            batch: The entries.
            sent_at: When the first call for them was sent.

        Raises:
            StoreError: The answer is from before the store's last restore.
        """
        self.history.require_current(batch.position)
        reached_at, is_first = self.history.reached_at, self.store_position == NO_POSITION
        since = max(reached_at - MAX_WATCH_GAP_SECONDS, self.weights.oldest_since(sent_at))
        self.contact.note_outage_end(trio.current_time())
        if self.history.is_later_era(batch.position):
            self._enter_era(batch.position, STORE_SOURCE, find_losses(batch, self.feed))
        self.feed.start(batch.position)
        entries = (*batch.entries, *self._removed_by(batch))
        self._apply_read([feed_entry(entry, since) for entry in entries])
        if is_first:
            self.history.suspect_restore(batch.position)
        self._confirm_read(batch.position, sent_at)

    def apply_changes(self, batch: DirectoryBatch, since: float, sent_at: float) -> None:
        """Apply changes that were read from the store.

        Args:
            batch: The changes after ``store_position``.
            since: Time after which they were made.
            sent_at: When the call for them was sent.

        Raises:
            StoreError: The answer is from before the store's last restore.
        """
        self.history.require_current(batch.position)
        self.contact.note_outage_end(trio.current_time())
        self._apply_read([feed_entry(entry, since) for entry in batch.entries])
        self._confirm_read(batch.position, sent_at)

    def enter_era(self, position: StorePosition, source: str) -> None:
        """Continue in a later era if another node reports a position in one."""
        if self.history.is_later_era(position):
            self._enter_era(position, source, BackupLosses())

    def apply_entries(self, entries: Iterable[Entry], source: str) -> None:
        """Apply changes; known ones have no effect.

        Args:
            entries: The changes.
            source: Node that reported them, or ``STORE_SOURCE``; for the log.
        """
        applied = False
        for entry in sorted(entries, key=lambda entry: entry.position):
            if not is_passed_on(entry.key):
                self.documents.apply(entry.change.change, self._origin(entry, source, NO_POSITION))
                continue
            known = self.feed.get(entry.key)
            if _is_same_write(known, entry) or self._is_outdated(entry.change.change):
                continue
            if self.feed.put(entry):
                applied = True
                previous_position = known.position if known is not None else NO_POSITION
                self.documents.apply(
                    entry.change.change, self._origin(entry, source, previous_position)
                )
        if applied:
            self._notify_changed()

    def apply_documents(self, entries: Iterable[Entry], source: str) -> None:
        """Apply documents that are ordered by version, whatever their store position.

        Args:
            entries: Configurations and named weights.
            source: Node that reported them; for the log.
        """
        newer = [entry for entry in entries if not self._is_outdated(entry.change.change)]
        for entry in newer:
            self.documents.apply(entry.change.change, self._origin(entry, source, NO_POSITION))
        if newer:
            self._notify_changed()

    def confirm_keys(self, confirmed_at: float) -> None:
        """Note that all revocations before a time (by the steady clock) are known."""
        if self.keys.confirm(confirmed_at):
            self._notify_changed()

    def _enter_era(self, position: StorePosition, source: str, losses: BackupLosses) -> None:
        """Continue in a later era, with the known losses of the backup."""
        self.history.enter_era(position, source, losses)
        self._notify_changed()

    def _notify_changed(self) -> None:
        """Wake the tasks that wait for a change."""
        self.changed.set()
        self.changed = trio.Event()

    def _apply_read(self, entries: list[Entry]) -> None:
        """Apply entries that this node has read from the store itself."""
        for entry in entries:
            if isinstance(entry.change.change, ConfigurationPublished):
                self._check_configuration(entry, entry.change.change.configuration.version)
        self.apply_entries(entries, STORE_SOURCE)

    def _confirm_read(self, position: StorePosition, sent_at: float) -> None:
        """Note that the store was read up to a position, by a call that was sent at a time."""
        self.history.advance(position, sent_at)
        if self.history.backup.confirms(sent_at):
            self.confirm_keys(sent_at)
        self.contact.note_read(trio.current_time())

    def _check_configuration(self, entry: Entry, version: int) -> None:
        """Check whether a configuration shows that operators replaced what the backup lacks."""
        known = self.feed.get(entry.key)
        previous_position = known.position if known is not None else NO_POSITION
        self.history.backup.note_configuration(
            entry.position, version, self.configuration.version, previous_position
        )

    def _is_outdated(self, change: DirectoryChange) -> bool:
        """Return whether the same or a newer version of a document is already known."""
        match change:
            case ConfigurationPublished(configuration):
                return self.configuration.is_outdated(configuration)
            case WeightsPublished(weights):
                return self.named_weights.is_outdated(weights)
        return False

    def _removed_by(self, batch: DirectoryBatch) -> list[DirectoryEntry]:
        """Return removals of the known keys that a snapshot lacks."""
        present = {entry.key for entry in batch.entries}
        known = (entry.change for entry in self.feed.existing() if entry.key not in present)
        removals = (entry.as_removed(batch.position) for entry in known)
        return [removal for removal in removals if removal is not None]

    def _origin(self, entry: Entry, source: str, previous_position: StorePosition) -> ChangeOrigin:
        """Return the origin of a change."""
        age_ms = round((trio.current_time() - entry.since) * MILLISECONDS)
        may_be_copied = self.history.backup.may_hold(entry.position)
        return ChangeOrigin(
            source, entry.since, age_ms, entry.position, previous_position, may_be_copied
        )


def _is_same_write(known: Entry | None, entry: Entry) -> bool:
    """Return whether an entry is the known one of an earlier era, unchanged in the backup."""
    if known is None or known.position.era >= entry.position.era:
        return False
    same_revision = known.position.revision == entry.position.revision
    return same_revision and _content(known.change.change) == _content(entry.change.change)


def _content(change: DirectoryChange) -> DirectoryChange:
    """Return a change without its version, which names the era."""
    if isinstance(change, RecordWritten):
        return RecordWritten(change.key, change.value, ABSENT)
    return change
