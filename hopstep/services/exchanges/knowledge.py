"""What a node knows of configuration, instances, weights and peers, and how old it is.

Everything comes from the serving directory: one snapshot, then changes. The age of the knowledge
counts from the sending of the last call that was answered. While the store is down the node goes
on with what it has; requests with keys are refused once the age exceeds the revocation bound.
"""

from __future__ import annotations

import random

import trio

from hopstep import log_events
from hopstep.domain.exchanges.instance_table import InstanceTable
from hopstep.domain.exchanges.serving import ServingConfiguration, ServingIndex
from hopstep.domain.exchanges.weights import WeightsBook
from hopstep.exceptions import ErrorCode, ServiceError, StoreError, StoreHistoryLostError
from hopstep.logs import emit
from hopstep.ports.serving_directory import (
    ConfigurationPublished,
    DirectoryBatch,
    DirectoryChange,
    InstanceListed,
    InstanceRemoved,
    RecordWritten,
    ServingDirectory,
    Unreadable,
    WeightsPublished,
)
from hopstep.services.exchanges.records import NODES_PREFIX, ROLLOUT_KEY

WATCH_SECONDS = 1.8
"""Wait of one watch: twice this and the time of a call stay below the revocation bound."""

MARGIN_SECONDS = 0.6
"""Requests with keys are refused this long before the revocation bound."""

WATCH_LAG_SECONDS = 0.3
"""A pending watch is answered at most this long after a change was acknowledged."""

DEAF_SECONDS = 1.0
"""A watch may have heard nothing for so long before its history was lost."""

MIN_PAUSE_SECONDS = 0.1
MAX_PAUSE_SECONDS = 0.8
STALE_RETRY_AFTER_SECONDS = 1.0
OVERDUE = "overdue"
"""Reason of a lost store whose answer is still waited for when the first request is refused."""


class ServingKnowledge:
    """Follows the directory; readers look at its fields."""

    def __init__(
        self,
        directory: ServingDirectory,
        table: InstanceTable,
        weights: WeightsBook,
        generator: random.Random,
        revocation_seconds: float,
    ) -> None:
        """Know nothing yet.

        Args:
            directory: Where entries are published.
            table: Takes the instances.
            weights: Takes the named weights.
            generator: Spreads retries.
            revocation_seconds: Longest time for which a key may be taken for valid.
        """
        self.table = table
        self.weights = weights
        self.index: ServingIndex | None = None
        self.peers: dict[str, str] = {}
        self.rollout_record: RecordWritten | None = None
        self.changed = trio.Event()
        self._directory = directory
        self._generator = generator
        self._max_age = revocation_seconds - MARGIN_SECONDS
        self._confirmed_at = -float("inf")
        self._revision: int | None = None
        self._connected = True

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
    def age_seconds(self) -> float:
        """Age of the knowledge."""
        return trio.current_time() - self._confirmed_at

    @property
    def is_fresh(self) -> bool:
        """Whether keys may still be taken for valid."""
        return self.age_seconds <= self._max_age

    def require_index(self) -> ServingIndex:
        """Return the configuration in force.

        Raises:
            ServiceError: ``NOT_READY`` before the first.
        """
        if self.index is None:
            raise ServiceError(
                ErrorCode.NOT_READY,
                "this node has no configuration yet",
                retry_after_seconds=STALE_RETRY_AFTER_SECONDS,
            )
        return self.index

    def require_fresh(self) -> None:
        """Raise ``ISOLATED`` when keys may have been revoked without this node's knowledge."""
        if not self.is_fresh:
            self._note_connection(False, OVERDUE)
            raise ServiceError(
                ErrorCode.ISOLATED,
                "this node can't tell whether the key is still valid",
                retry_after_seconds=STALE_RETRY_AFTER_SECONDS,
            )

    async def run(self) -> None:
        """Follow the directory until cancelled."""
        pause = MIN_PAUSE_SECONDS
        while True:
            try:
                await self._step()
                pause = MIN_PAUSE_SECONDS
                self._note_connection(True, "")
            except StoreHistoryLostError:
                emit(log_events.DIRECTORY_HISTORY_LOST, revision=self._revision or 0)
                self._revision = None
            except StoreError as error:
                self._note_connection(False, error.code.value)
                await trio.sleep(pause * (0.5 + self._generator.random()))
                pause = min(MAX_PAUSE_SECONDS, pause * 2.0)

    async def _step(self) -> None:
        """Make one call and take what it says; after a failure one that is answered at once."""
        sent_at = trio.current_time()
        if self._revision is None:
            batch = await self._directory.snapshot()
            self._drop_missing(batch)
            self._take(batch, self._unseen_since(sent_at))
        else:
            wait_seconds = WATCH_SECONDS if self._connected else 0.0
            batch = await self._directory.changes(self._revision, wait_seconds)
            self._take(batch, max(sent_at, trio.current_time() - WATCH_LAG_SECONDS))
        self._revision = max(self._revision or 0, batch.revision)
        self._confirmed_at = sent_at

    def _drop_missing(self, batch: DirectoryBatch) -> None:
        """Forget what a snapshot doesn't have."""
        listed = [change for change in batch.changes if isinstance(change, InstanceListed)]
        self.table.retain({change.instance.instance_id for change in listed})
        records = [change for change in batch.changes if isinstance(change, RecordWritten)]
        keys = {record.key for record in records}
        self.peers = {name: at for name, at in self.peers.items() if NODES_PREFIX + name in keys}
        if ROLLOUT_KEY not in keys:
            self.rollout_record = None

    def _unseen_since(self, now: float) -> float:
        """Return the time before which nothing can have changed unseen."""
        seen_at = self._confirmed_at - DEAF_SECONDS
        return max(seen_at, self.weights.oldest_since(now))

    def _take(self, batch: DirectoryBatch, since: float) -> None:
        """Take the changes of a batch, which were made after ``since``."""
        for change in batch.changes:
            self._take_change(change, since)
        if batch.changes:
            self.changed.set()
            self.changed = trio.Event()

    def _take_change(self, change: DirectoryChange, since: float) -> None:
        """Take one change."""
        match change:
            case ConfigurationPublished(configuration):
                self._take_configuration(configuration)
            case InstanceListed(instance):
                known = self.table.get(instance.instance_id)
                drained = known is not None and known.instance.draining
                if self.table.put(instance) or drained != instance.draining:
                    emit(
                        log_events.INSTANCE_LISTED,
                        instance=instance.instance_id,
                        service=instance.service,
                        draining=instance.draining,
                        versions=dict(instance.versions),
                    )
            case InstanceRemoved(instance_id):
                if self.table.remove(instance_id):
                    emit(log_events.INSTANCE_REMOVED, instance=instance_id)
            case WeightsPublished(weights):
                if self.weights.put(weights, since):
                    emit(
                        log_events.WEIGHTS_NAMED,
                        model=weights.model,
                        version=weights.version,
                        age_ms=round((trio.current_time() - since) * 1_000),
                    )
            case RecordWritten():
                self._take_record(change)
            case Unreadable(key, reason):
                emit(log_events.DIRECTORY_ENTRY_REJECTED, key=key, reason=reason)

    def _take_configuration(self, configuration: ServingConfiguration) -> None:
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
        )

    def _take_record(self, record: RecordWritten) -> None:
        """Take a key of hopstep's own."""
        if record.key == ROLLOUT_KEY:
            self.rollout_record = record if record.value else None
        elif record.key.startswith(NODES_PREFIX):
            name = record.key.removeprefix(NODES_PREFIX)
            if record.value:
                self.peers[name] = record.value.decode()
            else:
                self.peers.pop(name, None)

    def _note_connection(self, connected: bool, reason: str) -> None:
        """Log a lost or regained store."""
        if connected == self._connected:
            return
        self._connected = connected
        age = round(self.age_seconds, 3) if self.index is not None else -1.0
        if connected:
            emit(log_events.STORE_REGAINED, age_seconds=age)
        else:
            emit(log_events.STORE_LOST, reason=reason, age_seconds=age)
