"""The sequence of accepted changes in the key-value store.

Revision n is accepted exactly when the key of change n is created; no other key matters. The keys
of trimmed changes stay, with an empty value: otherwise a writer that was paused for long could
create the key of an old revision a second time and take its change for accepted.
"""

from __future__ import annotations

import random

import msgspec

from hopstep.domain.configuration.document import AcceptedConfiguration
from hopstep.domain.configuration.encoding import decode_change, encode
from hopstep.domain.configuration.log import (
    AcceptedChange,
    Change,
    ConfigurationTransfer,
    apply_transfer,
    empty_configuration,
)
from hopstep.domain.store_position import ABSENT, UNSPECIFIED_ERA
from hopstep.exceptions import DomainError, ErrorCode, StoreError
from hopstep.ports.key_value_store import KeyValueStorePort, StoredValue
from hopstep.services.configuration.rate_limit_retry import RateLimitRetryStore
from hopstep.services.configuration.snapshots import (
    SNAPSHOT_INTERVAL,
    ConfigurationSnapshots,
    revision_text,
)

CHANGES_PREFIX = "configuration/changes/"
LIST_LIMIT = 200
"""Changes read in one call to the store."""

TRIMMED = b""
"""Value of a trimmed change's key."""


class ConfigurationHistory(msgspec.Struct, frozen=True):
    """The retained part of the sequence.

    Attributes:
        base: Snapshot (or revision 0) before the first retained change.
        latest: Highest accepted revision.
        changes: Retained changes in order, without a gap, from ``base`` to ``latest``.
    """

    base: AcceptedConfiguration
    latest: AcceptedConfiguration
    changes: tuple[AcceptedChange, ...]

    def find(self, change_id: str) -> AcceptedChange | None:
        """Return the retained change with that identity, or None."""
        return next((item for item in self.changes if item.change.change_id == change_id), None)

    def after(self, revision: int) -> tuple[AcceptedChange, ...]:
        """Return the retained changes after ``revision``."""
        return tuple(item for item in self.changes if item.revision > revision)

    def at(self, revision: int) -> AcceptedConfiguration | None:
        """Return the configuration at a retained revision, or None."""
        if not self.base.revision <= revision <= self.latest.revision:
            return None
        changes = tuple(item for item in self.changes if item.revision <= revision)
        return apply_transfer(self.base, ConfigurationTransfer(changes=changes))


class ConfigurationStore:
    """Reads and appends accepted changes; raises ``StoreError`` when the store is down.

    Attributes:
        era: How often the store had been restored from a backup, by the newest listing.
    """

    def __init__(
        self,
        store: KeyValueStorePort,
        rng: random.Random,
        snapshot_interval: int = SNAPSHOT_INTERVAL,
    ) -> None:
        """Use ``store``.

        Args:
            store: Key-value service.
            rng: Spreads the repeats of rate-limited calls.
            snapshot_interval: Changes between two snapshots.
        """
        self._store = RateLimitRetryStore(store, rng)
        self._watched = ABSENT
        self.era = UNSPECIFIED_ERA
        self.snapshots = ConfigurationSnapshots(self._store, snapshot_interval)

    async def read_latest(self, after: int = 0) -> ConfigurationTransfer:
        """Return the changes or snapshot that lead from revision ``after`` to the latest one.

        Raises:
            StoreError: When the store is down or rate-limits, or when its answer is stale: older
                than revision ``after``.
            ValidationError: When a stored change or snapshot can't be decoded.
        """
        if after > 0:
            values = await self._list_changes(after - 1)
            if not values or _revision_of(values[0]) != after:
                raise StoreError(
                    ErrorCode.STORE_UNAVAILABLE,
                    f"the store's answer is older than revision {after}",
                )
            changes = _contiguous(values[1:], after)
            if changes or len(values) == 1:
                return ConfigurationTransfer(changes=changes)
        manifests = await self.snapshots.manifests()
        snapshot = await self.snapshots.read(manifests[-1]) if manifests else None
        start = snapshot.revision if snapshot else 0
        changes = _contiguous(await self._list_changes(start), start)
        return ConfigurationTransfer(snapshot, changes)

    async def read_era(self) -> None:
        """Update ``era`` from the first change in the store.

        Raises:
            StoreError: When the store is down.
        """
        first = await self._store.list(CHANGES_PREFIX, limit=1)
        self.era = max([self.era, *(value.version.era for value in first)])

    async def read_history(self) -> ConfigurationHistory:
        """Return the latest revision and every retained change.

        Raises:
            StoreError: When the store is down, or its answers are inconsistent.
        """
        for manifest in await self.snapshots.manifests():
            values = await self._list_changes(manifest.revision)
            if not any(value.value == TRIMMED for value in values):
                return _history(await self.snapshots.read(manifest), values)
        return _history(empty_configuration(), await self._list_changes(0))

    async def append(self, change: Change) -> int:
        """Create the key of a change after its base; the creation is the acceptance.

        Returns:
            The accepted revision.

        Raises:
            StoreConflictError: When another change has that revision.
            StoreOutcomeUnknownError: When the answer was lost.
            StoreError: When the store is down; nothing was written.
        """
        revision = change.base_revision + 1
        await self._store.compare_and_swap(change_key(revision), ABSENT, encode(change))
        return revision

    async def wait_for_change(self, wait_seconds: float) -> None:
        """Wait until there may be a new change, at most ``wait_seconds``.

        Raises:
            StoreError: When the store is down.
        """
        batch = await self._store.watch(CHANGES_PREFIX, self._watched, wait_seconds)
        self._watched = max(batch.position, self._watched)

    async def maintain(self, accepted: AcceptedConfiguration) -> bool:
        """Write a snapshot when one is due, and trim changes below an older one.

        Returns:
            Whether a snapshot was written.

        Raises:
            StoreError: When the store is down; the writes made before that do no harm.
        """
        floor = await self.snapshots.write_if_due(accepted)
        if floor is None:
            return False
        await self._trim(floor)
        return True

    async def _trim(self, floor: int) -> None:
        """Empty the changes up to ``floor``, the revision of the oldest kept snapshot."""
        start = max(0, floor - 2 * self.snapshots.interval)
        for value in await self._list_changes(start):
            if value.value != TRIMMED and _revision_of(value) <= floor:
                await self._store.compare_and_swap(value.key, value.version, TRIMMED)

    async def _list_changes(self, after: int) -> list[StoredValue]:
        """Return all stored changes after a revision."""
        values: list[StoredValue] = []
        after_key = change_key(after)
        while True:
            page = await self._store.list(CHANGES_PREFIX, after_key, LIST_LIMIT)
            values.extend(page)
            if len(page) < LIST_LIMIT:
                break
            after_key = page[-1].key
        self._watched = max([self._watched, *(value.version for value in values)])
        self.era = max(self.era, self._watched.era)
        return values


def change_key(revision: int) -> str:
    """Return the key of the change that makes ``revision``."""
    return f"{CHANGES_PREFIX}{revision_text(revision)}"


def _revision_of(value: StoredValue) -> int:
    """Return the revision of a stored change."""
    return int(value.key.removeprefix(CHANGES_PREFIX))


def _contiguous(values: list[StoredValue], after: int) -> tuple[AcceptedChange, ...]:
    """Return the changes that follow ``after`` without a gap; a trimmed change is a gap."""
    changes: list[AcceptedChange] = []
    for expected, value in enumerate(values, start=after + 1):
        if _revision_of(value) != expected or value.value == TRIMMED:
            break
        changes.append(AcceptedChange(expected, decode_change(value.value)))
    return tuple(changes)


def _history(base: AcceptedConfiguration, values: list[StoredValue]) -> ConfigurationHistory:
    """Return the history on a base; raises ``StoreError`` when there is a gap."""
    changes = _contiguous(values, base.revision)
    if len(changes) < len(values):
        raise StoreError(ErrorCode.STORE_UNAVAILABLE, "the store's answers are inconsistent")
    try:
        latest = apply_transfer(base, ConfigurationTransfer(changes=changes))
    except DomainError as error:
        raise StoreError(ErrorCode.STORE_UNAVAILABLE, error.message) from error
    return ConfigurationHistory(base, latest, changes)
