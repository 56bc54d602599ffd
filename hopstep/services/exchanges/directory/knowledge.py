"""What a node knows of configuration, instances, weights and nodes, and how old it is.

Everything comes from the serving directory: read from the store by this node, or told by another
node. The age counts from the sending of the call or query that was answered, plus the age that the
answering node told. While the store is down the node goes on with what it has; requests with keys
are refused once the age exceeds the revocation bound. Beside the age a node knows the silence: the
time since the store last answered it or whoever told it (see ``domain.exchanges.freshness``).
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping

import msgspec
import trio

from hopstep import log_events
from hopstep.domain.exchanges.directory_feed import DirectoryFeed, FeedEntry
from hopstep.domain.exchanges.instance_table import InstanceTable
from hopstep.domain.exchanges.instances import NamedWeights
from hopstep.domain.exchanges.nodes import NodeRecord, RelayPlan
from hopstep.domain.exchanges.restored_copy import RestoredCopy
from hopstep.domain.exchanges.serving import ServingConfiguration, ServingIndex
from hopstep.domain.exchanges.store_contact import StoreContact
from hopstep.domain.exchanges.weights import WeightsBook
from hopstep.domain.store_place import ABSENT, NOWHERE, StorePlace
from hopstep.exceptions import ErrorCode, ServiceError, StoreError
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
from hopstep.services.exchanges.directory.instance_changes import InstanceChanges
from hopstep.services.exchanges.directory.known_nodes import KnownNodes
from hopstep.services.exchanges.directory.records import NODES_PREFIX, ROLLOUT_KEY

MARGIN_SECONDS = 0.6
"""Requests with keys are refused this long before the revocation bound."""

DEAF_SECONDS = 1.0
"""A watch may have heard nothing for so long before its history was lost."""

FIRST_READING_SECONDS = 1.0
"""So long after its start a node lets requests wait for its first reading of the store.

The reading takes some 20 ms, ten times that where the store is slow. Requests that come later than
this find a store that doesn't answer and are refused at once.
"""

OVERDUE = "overdue"
"""Reason of a lost store whose answer is still waited for when the first request is refused."""

NO_AGE_MS = -1

STORE_SOURCE = "store"
"""Source of what this node has read from the store itself."""

MILLISECONDS = 1_000

Entry = FeedEntry[DirectoryEntry]

RecordListener = Callable[[RecordWritten], None]
"""Takes a key of hopstep's own; its value is empty when it is gone."""


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
        self.index: ServingIndex | None = None
        self.node_book = KnownNodes(name, record)
        self.feed: DirectoryFeed[DirectoryEntry] = DirectoryFeed()
        self.place = NOWHERE
        self.placed_at = -float("inf")
        self.restored_at = -float("inf")
        self.copy = RestoredCopy()
        self.confirmed_at = -float("inf")
        self._started_at = trio.current_time()
        self.contact = StoreContact(self._started_at)
        self.instances = InstanceChanges(table, self.contact)
        self.node_heard_at = -float("inf")
        self.rollout_record: RecordWritten | None = None
        self.changed = trio.Event()
        self._record_listeners: dict[str, RecordListener] = {}
        self._count_rejected: Callable[[RejectReason], None] = lambda _reason: None
        self._max_age = revocation_seconds - MARGIN_SECONDS
        self._expired = False

    def follow_records(self, prefix: str, listener: RecordListener) -> None:
        """Tell a listener of hopstep's own keys under a prefix."""
        self._record_listeners[prefix] = listener

    def follow_rejections(self, listener: Callable[[RejectReason], None]) -> None:
        """Tell a listener of each document that can't be trusted."""
        self._count_rejected = listener

    @property
    def current(self) -> ServingConfiguration | None:
        """The configuration in force, or None before the first."""
        return self.index.configuration if self.index is not None else None

    @property
    def has_engines(self) -> bool:
        """Whether the configuration has a service of language-model engines."""
        services = self.current.services if self.current is not None else ()
        return any(service.engine is not None for service in services)

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
    def age_seconds(self) -> float:
        """Time since no key can have been taken away without this node's knowledge."""
        return trio.current_time() - self.confirmed_at

    @property
    def shown_age_ms(self) -> int:
        """The age as log lines show it; ``NO_AGE_MS`` when nothing was ever confirmed."""
        age = self.age_seconds
        return round(age * MILLISECONDS) if math.isfinite(age) else NO_AGE_MS

    @property
    def place_age_seconds(self) -> float:
        """Time since ``place`` was the newest in the store."""
        return trio.current_time() - self.placed_at

    @property
    def told_silence_seconds(self) -> float:
        """Time since the store last answered any other node that told this one everything."""
        return trio.current_time() - self.contact.told_at

    @property
    def is_fresh(self) -> bool:
        """Whether keys may still be taken for valid."""
        return self.age_seconds <= self._max_age

    @property
    def was_restored(self) -> bool:
        """Whether the store has been restored since this node started, or shortly before."""
        return math.isfinite(self.restored_at)

    @property
    def is_settling(self) -> bool:
        """Whether the store has come back from a copy that may lack what others know."""
        return self.copy.is_settling(trio.current_time())

    async def wait_first_reading(self) -> None:
        """Wait for the first configuration, for as long as a node that has just started may."""
        with trio.move_on_at(self._started_at + FIRST_READING_SECONDS):
            while self.index is None or (self.is_settling and not self.is_fresh):
                await self.changed.wait()

    def require_index(self) -> ServingIndex:
        """Return the configuration in force.

        Raises:
            ServiceError: ``NOT_READY`` before the first.
        """
        if self.index is None:
            raise ServiceError(ErrorCode.NOT_READY, "this node has no configuration yet")
        return self.index

    def require_fresh(self) -> None:
        """Raise ``ISOLATED`` when keys may have been revoked without this node's knowledge."""
        if not self.is_fresh:
            self._note_expired()
            raise ServiceError(
                ErrorCode.ISOLATED, "this node can't tell whether the key is still valid"
            )

    def take_snapshot(self, batch: DirectoryBatch, sent_at: float) -> None:
        """Take all entries of the store; what isn't among them doesn't exist.

        Args:
            batch: The entries.
            sent_at: When the first call for them was sent.

        Raises:
            StoreError: When the answer was made before the store's last restore.
        """
        self._require_current(batch.place)
        since = max(self.placed_at - DEAF_SECONDS, self.weights.oldest_since(sent_at))
        is_first = self.place == NOWHERE
        self.contact.note_return(trio.current_time())
        self.enter(batch.place)
        self.feed.start(batch.place)
        entries = (*batch.entries, *self._removed_by(batch))
        self._take_read([_feed_entry(entry, since) for entry in entries])
        if is_first:
            self._suspect_restore(batch.place)
        self._confirm_read(batch.place, sent_at)
        self.contact.note_read(trio.current_time())

    def take_changes(self, batch: DirectoryBatch, since: float, sent_at: float) -> None:
        """Take changes of the store.

        Args:
            batch: The changes after ``place``.
            since: Time after which they were made.
            sent_at: When the call for them was sent.

        Raises:
            StoreError: When the answer was made before the store's last restore.
        """
        self._require_current(batch.place)
        self.contact.note_return(trio.current_time())
        self._take_read([_feed_entry(entry, since) for entry in batch.entries])
        self._confirm_read(batch.place, sent_at)
        self.contact.note_read(trio.current_time())

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
                self._take_change(entry, source, known.place if known is not None else NOWHERE)
        if taken:
            self._tell_changed()

    def _tell_changed(self) -> None:
        """Wake whoever waits for news."""
        self.changed.set()
        self.changed = trio.Event()

    def confirm(self, place: StorePlace, confirmed_at: float) -> None:
        """Note that everything up to a place is known.

        Args:
            place: The place.
            confirmed_at: Time at which it was the newest, by this node's steady clock.
        """
        self.enter(place)
        self.place = max(self.place, place)
        self.placed_at = max(self.placed_at, confirmed_at)

    def confirm_keys(self, confirmed_at: float) -> None:
        """Note that no key was taken away unnoticed before a time, by this node's steady clock."""
        was_fresh = self.is_fresh
        self.confirmed_at = max(self.confirmed_at, confirmed_at)
        if self.is_fresh and not was_fresh:
            self._tell_changed()
        if self._expired and self.is_fresh:
            self._expired = False
            emit(log_events.STORE_REGAINED, age_seconds=round(self.age_seconds, 3))

    def version_of(self, key: str) -> StorePlace:
        """Return the version of a key that a write may expect; ``ABSENT`` when there is none."""
        entry = self.feed.get(key)
        if entry is None or entry.removed:
            return ABSENT
        return StorePlace(self.place.era, entry.place.revision)

    def _require_current(self, place: StorePlace) -> None:
        """Raise ``StoreError`` for an answer that was made before the store's last restore."""
        if place.era >= self.place.era:
            return
        emit(
            log_events.STORE_ANSWER_OUTDATED,
            era=place.era,
            revision=place.revision,
            known_era=self.place.era,
        )
        raise StoreError(ErrorCode.STORE_UNAVAILABLE, "the answer is of before a restore")

    def enter(self, place: StorePlace) -> None:
        """Note that the store has been restored, when a place is of a later era."""
        if self.place == NOWHERE or place.era <= self.place.era:
            return
        self._note_restore(place)
        self.feed.leave(self.place)
        emit(
            log_events.STORE_ERA_CHANGED,
            era=place.era,
            previous=self.place.era,
            revision=place.revision,
            previous_revision=self.place.revision,
        )
        self.place = StorePlace(place.era, NOWHERE.revision)
        self._tell_changed()

    def _note_restore(self, place: StorePlace) -> None:
        """Expect others to write again what a copy lacks; a place is the first one seen of it."""
        now = trio.current_time()
        self.restored_at = now
        self.copy.enter(place, now)
        self.node_book.note_restore(now)
        self.contact.note_restore(now)

    def _suspect_restore(self, place: StorePlace) -> None:
        """Look, at the start, whether the store was restored just before: few know of its era.

        Without this a node that starts in that moment takes the copy for all there is.
        """
        behind = self.node_book.count_behind(place.era)
        if behind:
            self.restored_at = trio.current_time()
        if 2 * behind > len(self.nodes):
            self._note_restore(place)

    def _confirm_read(self, place: StorePlace, sent_at: float) -> None:
        """Note that the store has shown everything up to a place, by a call sent at a time."""
        self.confirm(place, sent_at)
        if self.copy.confirms(sent_at):
            self.confirm_keys(sent_at)

    def _take_read(self, entries: list[Entry]) -> None:
        """Take entries that the store has shown this node itself."""
        for entry in entries:
            if isinstance(entry.change.change, ConfigurationPublished):
                self._see_configuration(entry, entry.change.change.configuration.version)
        self.take_entries(entries, STORE_SOURCE)

    def _see_configuration(self, entry: Entry, version: int) -> None:
        """Look whether a configuration shows that operators have written what a copy lacks."""
        known = self.feed.get(entry.key)
        known_version = self.current.version if self.current is not None else 0
        known_at = known.place if known is not None else NOWHERE
        self.copy.see_configuration(entry.place, version, known_version, known_at)

    def take_documents(self, entries: Iterable[Entry], source: str) -> None:
        """Take documents that have an order of their own, wherever in the store's history.

        Args:
            entries: Configurations and named weights.
            source: Node that told them; for the log.
        """
        newer = [entry for entry in entries if not self._is_outdated(entry.change.change)]
        for entry in newer:
            self._take_change(entry, source, NOWHERE)
        if newer:
            self._tell_changed()

    def _is_outdated(self, change: DirectoryChange) -> bool:
        """Return whether a document is known as new or newer, by its own order."""
        match change:
            case ConfigurationPublished(configuration):
                return self.current is not None and configuration.version <= self.current.version
            case WeightsPublished(weights):
                return weights.version <= self.weights.newest(weights.model)
        return False

    def _removed_by(self, batch: DirectoryBatch) -> list[DirectoryEntry]:
        """Return the removals of keys that a snapshot doesn't have."""
        present = {entry.key for entry in batch.entries}
        known = (entry.change for entry in self.feed.listed() if entry.key not in present)
        removals = (entry.as_removed(batch.place) for entry in known)
        return [removal for removal in removals if removal is not None]

    def _take_change(self, entry: Entry, source: str, known_at: StorePlace) -> None:
        """Take one change; the one before it of its key was known at a place."""
        change = entry.change.change
        age_ms = round((trio.current_time() - entry.since) * MILLISECONDS)
        match change:
            case ConfigurationPublished(configuration):
                self._take_configuration(configuration, source, age_ms)
            case InstanceListed(instance):
                may_be_copied = self.copy.may_hold(entry.place)
                self.instances.take_listed(instance, source, age_ms, may_be_copied=may_be_copied)
            case InstanceRejected():
                self.table.reject(change.instance_id)
                key = change.instance_id
                self._log_rejected(key, change.reason, change.field, change.detail)
            case InstanceRemoved(instance_id):
                self.instances.take_removed(instance_id, source, age_ms)
            case WeightsPublished(weights):
                self._take_weights(weights, entry.since, age_ms)
            case RecordWritten():
                self._take_record(change, known_at)
            case Unreadable():
                self._log_rejected(change.key, change.reason, change.field, change.detail)

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

    def _take_weights(self, weights: NamedWeights, since: float, age_ms: int) -> None:
        """Take named weights; their bound leaves out the time in which the store was away."""
        counts_from = max(since, self.contact.away_until)
        if not self.weights.put(weights, counts_from):
            return
        emit(
            log_events.WEIGHTS_NAMED,
            model=weights.model,
            version=weights.version,
            age_ms=age_ms,
            counted_ms=round((trio.current_time() - counts_from) * MILLISECONDS),
        )

    def _take_configuration(
        self, configuration: ServingConfiguration, source: str, age_ms: int
    ) -> None:
        """Put a configuration in force if its version is higher."""
        current = self.current
        if current is not None and configuration.version <= current.version:
            return
        self.index = ServingIndex(configuration)
        self.table.set_cache_tokens(
            {
                service.name: service.engine.cache_tokens
                for service in configuration.services
                if service.engine is not None
            }
        )
        emit(
            log_events.SERVING_CONFIGURATION_APPLIED,
            version=configuration.version,
            routes=len(configuration.routes),
            tenants=len(configuration.tenants),
            source=source,
            age_ms=age_ms,
        )

    def _take_record(self, record: RecordWritten, known_at: StorePlace) -> None:
        """Take a key of hopstep's own."""
        if record.key == ROLLOUT_KEY:
            self.rollout_record = record if record.value else None
        elif record.key.startswith(NODES_PREFIX):
            self._take_node(record, known_at)
        for prefix, listener in self._record_listeners.items():
            if record.key.startswith(prefix):
                listener(record)

    def _take_node(self, record: RecordWritten, known_at: StorePlace) -> None:
        """Take a node's entry."""
        name = record.key.removeprefix(NODES_PREFIX)
        try:
            self.node_book.take(name, record.value, record.version, known_at)
        except msgspec.DecodeError as error:
            self._log_rejected(record.key, RejectReason.UNREADABLE, "", str(error))
        if self.node_book.has_others:
            self.table.first_telling.note_others()

    def _note_expired(self) -> None:
        """Log once that the node no longer knows enough."""
        if self._expired:
            return
        self._expired = True
        age = round(self.age_seconds, 3) if self.index is not None else -1.0
        emit(log_events.STORE_LOST, reason=OVERDUE, age_seconds=age)


def _feed_entry(entry: DirectoryEntry, since: float) -> Entry:
    """Return an entry with the time after which it was made."""
    return FeedEntry(entry.key, entry.place, entry, since, entry.removed)


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
