"""What a node knows of configuration, instances, weights and nodes, and how old it is.

Everything comes from the serving directory: read from the store by this node, or told by another
node. Ages count from the sending of the call or query that was answered, plus the age that the
answering node told. While the store is down the node goes on with what it has; requests with keys
are refused once the age of keys exceeds the revocation bound. Beside the ages a node knows the
silence: the time since the store last answered it or whoever told it (see
``domain.exchanges.freshness``).

Each kind of document is kept by a module of its own, in its own order where it has one: a
configuration and named weights by version, a life of an instance by its start and by its word that
it leaves. For the rest the place in the store's history decides.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

import msgspec
import trio

from hopstep import log_events
from hopstep.domain.exchanges.directory_feed import DirectoryFeed, FeedEntry
from hopstep.domain.exchanges.instance_table import InstanceTable
from hopstep.domain.exchanges.nodes import NodeRecord, RelayPlan
from hopstep.domain.exchanges.serving import ServingConfiguration, ServingIndex
from hopstep.domain.exchanges.store_contact import StoreContact
from hopstep.domain.exchanges.weights import WeightsBook
from hopstep.domain.store_place import ABSENT, NOWHERE, StorePlace
from hopstep.exceptions import ErrorCode, ServiceError
from hopstep.logs import emit
from hopstep.ports.serving_directory import (
    ConfigurationPublished,
    DirectoryBatch,
    DirectoryChange,
    DirectoryEntry,
    InstanceListed,
    InstanceRejected,
    InstanceRemoved,
    RecordWritten,
    RejectReason,
    Unreadable,
    WeightsPublished,
)
from hopstep.services.exchanges.directory.copy_losses import CopyLosses, losses_of
from hopstep.services.exchanges.directory.instance_changes import InstanceChanges
from hopstep.services.exchanges.directory.key_freshness import KeyFreshness
from hopstep.services.exchanges.directory.known_configuration import KnownConfiguration
from hopstep.services.exchanges.directory.known_nodes import KnownNodes
from hopstep.services.exchanges.directory.known_records import KnownRecords
from hopstep.services.exchanges.directory.known_weights import KnownWeights
from hopstep.services.exchanges.directory.news import STORE_SOURCE, News, feed_entry
from hopstep.services.exchanges.directory.store_history import StoreHistory

DEAF_SECONDS = 1.0
"""A watch may have heard nothing for so long before its history was lost."""

FIRST_READING_SECONDS = 1.0
"""So long after its start a node lets requests wait for its first reading of the store.

The reading takes some 20 ms, ten times that where the store is slow. Requests that come later than
this find a store that doesn't answer and are refused at once.
"""

MILLISECONDS = 1_000

Entry = FeedEntry[DirectoryEntry]


class ServingKnowledge:
    """Takes what the directory says; readers look at its fields."""

    def __init__(
        self,
        name: str,
        record: NodeRecord,
        table: InstanceTable,
        weights: WeightsBook,
        revocation_seconds: float,
    ) -> None:
        """Know nothing yet. Must be called inside the event loop.

        Args:
            name: Name of this node.
            record: Its entry for other nodes.
            table: Takes the instances.
            weights: Takes the named weights.
            revocation_seconds: Longest time for which a key may be taken for valid.
        """
        self.name = name
        self.record = record
        self.table = table
        self.weights = weights
        self._started_at = trio.current_time()
        self.feed: DirectoryFeed[DirectoryEntry] = DirectoryFeed()
        self.contact = StoreContact(self._started_at)
        self.node_book = KnownNodes(name, record)
        self.history = StoreHistory(self.contact, self.node_book, self.feed)
        self.configuration = KnownConfiguration(table)
        self.named_weights = KnownWeights(weights, self.contact)
        self.instances = InstanceChanges(table, self.contact)
        self.records = KnownRecords(self.node_book)
        self.keys = KeyFreshness(revocation_seconds)
        self.node_heard_at = -float("inf")
        self.changed = trio.Event()
        self._count_rejected: Callable[[RejectReason], None] = lambda _reason: None

    def follow_rejections(self, listener: Callable[[RejectReason], None]) -> None:
        """Tell a listener of each document that can't be trusted."""
        self._count_rejected = listener

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
    def place(self) -> StorePlace:
        """Everything up to this place in the store's history is known."""
        return self.history.place

    @property
    def nodes(self) -> Mapping[str, NodeRecord]:
        """The registered nodes by name."""
        return self.node_book.records

    @property
    def relays(self) -> RelayPlan:
        """Which of the nodes relay."""
        return self.node_book.relays

    def count_nodes(self) -> int:
        """Return how many nodes may be alive, this one included."""
        return self.node_book.count

    @property
    def told_silence_seconds(self) -> float:
        """Time since the store last answered any other node that told this one everything."""
        return trio.current_time() - self.contact.told_at

    @property
    def is_settling(self) -> bool:
        """Whether the store has come back from a copy that may lack what others know."""
        return self.history.copy.is_settling(trio.current_time())

    async def wait_first_reading(self) -> None:
        """Wait for the first configuration, for as long as a node that has just started may."""
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

    def version_of(self, key: str) -> StorePlace:
        """Return the version of a key that a write may expect; ``ABSENT`` when there is none."""
        entry = self.feed.get(key)
        if entry is None or entry.removed:
            return ABSENT
        return StorePlace(self.place.era, entry.place.revision)

    def take_snapshot(self, batch: DirectoryBatch, sent_at: float) -> None:
        """Take all entries of the store; what isn't among them doesn't exist.

        Args:
            batch: The entries.
            sent_at: When the first call for them was sent.

        Raises:
            StoreError: When the answer was made before the store's last restore.
        """
        self.history.require_current(batch.position)
        reached_at, is_first = self.history.reached_at, self.place == NOWHERE
        since = max(reached_at - DEAF_SECONDS, self.weights.oldest_since(sent_at))
        self.contact.note_return(trio.current_time())
        if self.history.is_later_era(batch.position):
            self._enter(batch.position, STORE_SOURCE, losses_of(batch, self.feed))
        self.feed.start(batch.position)
        entries = (*batch.entries, *self._removed_by(batch))
        self._take_read([feed_entry(entry, since) for entry in entries])
        if is_first:
            self.history.suspect_restore(batch.position)
        self._confirm_read(batch.position, sent_at)

    def take_changes(self, batch: DirectoryBatch, since: float, sent_at: float) -> None:
        """Take changes of the store.

        Args:
            batch: The changes after ``place``.
            since: Time after which they were made.
            sent_at: When the call for them was sent.

        Raises:
            StoreError: When the answer was made before the store's last restore.
        """
        self.history.require_current(batch.position)
        self.contact.note_return(trio.current_time())
        self._take_read([feed_entry(entry, since) for entry in batch.entries])
        self._confirm_read(batch.position, sent_at)

    def enter(self, place: StorePlace, source: str) -> None:
        """Go on in a later era if another node tells of a place in one."""
        if self.history.is_later_era(place):
            self._enter(place, source, CopyLosses())

    def take_entries(self, entries: Iterable[Entry], source: str) -> None:
        """Take changes; those that are known already change nothing.

        Args:
            entries: The changes.
            source: Node that told them, or ``STORE_SOURCE``; for the log.
        """
        taken = False
        for entry in sorted(entries, key=lambda entry: entry.place):
            known = self.feed.get(entry.key)
            if _is_same_write(known, entry) or self._is_outdated(entry.change.change):
                continue
            if self.feed.put(entry):
                taken = True
                known_at = known.place if known is not None else NOWHERE
                self._take_change(entry, self._news(entry, source, known_at))
        if taken:
            self._tell_changed()

    def take_documents(self, entries: Iterable[Entry], source: str) -> None:
        """Take documents that have an order of their own, wherever in the store's history.

        Args:
            entries: Configurations and named weights.
            source: Node that told them; for the log.
        """
        newer = [entry for entry in entries if not self._is_outdated(entry.change.change)]
        for entry in newer:
            self._take_change(entry, self._news(entry, source, NOWHERE))
        if newer:
            self._tell_changed()

    def confirm_keys(self, confirmed_at: float) -> None:
        """Note that no key was taken away unnoticed before a time, by this node's steady clock."""
        if self.keys.confirm(confirmed_at):
            self._tell_changed()

    def _enter(self, place: StorePlace, source: str, losses: CopyLosses) -> None:
        """Go on in a later era."""
        self.history.enter(place, source, losses)
        self._tell_changed()

    def _tell_changed(self) -> None:
        """Wake whoever waits for news."""
        self.changed.set()
        self.changed = trio.Event()

    def _take_read(self, entries: list[Entry]) -> None:
        """Take entries that the store has shown this node itself."""
        for entry in entries:
            if isinstance(entry.change.change, ConfigurationPublished):
                self._see_configuration(entry, entry.change.change.configuration.version)
        self.take_entries(entries, STORE_SOURCE)

    def _confirm_read(self, place: StorePlace, sent_at: float) -> None:
        """Note that the store has shown everything up to a place, by a call sent at a time."""
        self.history.reach(place, sent_at)
        if self.history.copy.confirms(sent_at):
            self.confirm_keys(sent_at)
        self.contact.note_read(trio.current_time())

    def _see_configuration(self, entry: Entry, version: int) -> None:
        """Look whether a configuration shows that operators have written what a copy lacks."""
        known = self.feed.get(entry.key)
        known_at = known.place if known is not None else NOWHERE
        self.history.copy.see_configuration(
            entry.place, version, self.configuration.version, known_at
        )

    def _is_outdated(self, change: DirectoryChange) -> bool:
        """Return whether a document is known as new or newer, by its own order."""
        match change:
            case ConfigurationPublished(configuration):
                return self.configuration.is_outdated(configuration)
            case WeightsPublished(weights):
                return self.named_weights.is_outdated(weights)
        return False

    def _removed_by(self, batch: DirectoryBatch) -> list[DirectoryEntry]:
        """Return the removals of keys that a snapshot doesn't have."""
        present = {entry.key for entry in batch.entries}
        known = (entry.change for entry in self.feed.listed() if entry.key not in present)
        removals = (entry.as_removed(batch.position) for entry in known)
        return [removal for removal in removals if removal is not None]

    def _news(self, entry: Entry, source: str, known_at: StorePlace) -> News:
        """Return how a change is known."""
        age_ms = round((trio.current_time() - entry.since) * MILLISECONDS)
        may_be_copied = self.history.copy.may_hold(entry.place)
        return News(source, entry.since, age_ms, entry.place, known_at, may_be_copied)

    def _take_change(self, entry: Entry, news: News) -> None:
        """Take one change."""
        change = entry.change.change
        match change:
            case ConfigurationPublished(configuration):
                self.configuration.take(configuration, news)
            case InstanceListed(instance):
                self.instances.take_listed(instance, news)
            case InstanceRejected():
                self.table.reject(change.instance_id)
                key = change.instance_id
                self._log_rejected(key, change.reason, change.field, change.detail)
            case InstanceRemoved(instance_id):
                self.instances.take_removed(instance_id, news)
            case WeightsPublished(weights):
                self.named_weights.take(weights, news)
            case RecordWritten():
                self._take_record(change, news)
            case Unreadable():
                self._log_rejected(change.key, change.reason, change.field, change.detail)

    def _take_record(self, record: RecordWritten, news: News) -> None:
        """Take a key of hopstep's own."""
        try:
            self.records.take(record, news)
        except msgspec.DecodeError as error:
            self._log_rejected(record.key, RejectReason.UNREADABLE, "", str(error))
        if self.node_book.has_others:
            self.table.first_telling.note_others()

    def _log_rejected(self, key: str, reason: RejectReason, field: str, detail: str) -> None:
        """Log and count a document that can't be trusted: once for each of its revisions."""
        self._count_rejected(reason)
        emit(
            log_events.DIRECTORY_ENTRY_REJECTED,
            key=key,
            reason=reason.value,
            field=field,
            detail=detail,
        )


def _is_same_write(known: Entry | None, entry: Entry) -> bool:
    """Return whether an entry is one of an earlier era that a copy has kept as it was."""
    if known is None or known.place.era >= entry.place.era:
        return False
    same_revision = known.place.revision == entry.place.revision
    return same_revision and _content(known.change.change) == _content(entry.change.change)


def _content(change: DirectoryChange) -> DirectoryChange:
    """Return a change without the era in which it was seen."""
    if isinstance(change, RecordWritten):
        return RecordWritten(change.key, change.value, ABSENT)
    return change
