"""Pure model of the key-value service: no clock, no network, no randomness.

The model is one store-wide revision, a table of keys, a bounded history of changes for
watches, and leases that expire according to the time that callers pass in.
"""

from __future__ import annotations

import collections
from collections.abc import Mapping

import msgspec

from hopstep.adapters import key_value_store_wire as wire
from hopstep.domain.store_position import UNSPECIFIED_ERA
from hopstep.exceptions import ErrorCode, StoreConflictError, StoreError

ABSENT_REVISION = 0
"""Revision of a key that does not exist."""

DEFAULT_HISTORY_LENGTH = 1024
"""Number of past changes that a watch can read."""


class _Lease(msgspec.Struct):
    """A lease, the time at which it expires (seconds), and the keys bound to it."""

    time_to_live_seconds: float
    expires_at: float
    keys: set[str] = msgspec.field(default_factory=set)


class StoreBackup(msgspec.Struct, frozen=True):
    """Backup of the service's state at one revision.

    Attributes:
        revision: Store-wide revision.
        values: Values by key.
        history: Past changes that a watch can read.
        leases: Time to live in seconds of each lease, and the keys bound to it.
        leases_granted: Number of leases granted so far.
    """

    revision: int
    values: Mapping[str, wire.Item]
    history: tuple[wire.Item, ...]
    leases: Mapping[str, tuple[float, frozenset[str]]]
    leases_granted: int


class KeyValueStoreModel:
    """State of the service, and the effect of each operation.

    Args:
        history_length: Number of past changes that a watch can read.
    """

    def __init__(self, history_length: int = DEFAULT_HISTORY_LENGTH) -> None:
        self.era = UNSPECIFIED_ERA
        self._revision = 0
        self._values: dict[str, wire.Item] = {}
        self._lease_of_key: dict[str, str] = {}
        self._leases: dict[str, _Lease] = {}
        self._leases_granted = 0
        self._history: collections.deque[wire.Item] = collections.deque(maxlen=history_length)

    @property
    def revision(self) -> int:
        """Store-wide revision of the last change; 0 before the first."""
        return self._revision

    def snapshot(self) -> dict[str, wire.Item]:
        """Return a copy of all values, as a cache in front of the service holds them."""
        return dict(self._values)

    def backup(self) -> StoreBackup:
        """Return a backup of the service's present state."""
        leases = {
            name: (lease.time_to_live_seconds, frozenset(lease.keys))
            for name, lease in self._leases.items()
        }
        return StoreBackup(
            self._revision, dict(self._values), tuple(self._history), leases, self._leases_granted
        )

    def restore(self, backup: StoreBackup, now: float) -> None:
        """Restore a backup: later changes are lost, and revisions and lease names repeat.

        Args:
            backup: The backup.
            now: Time in seconds; the backup's leases start again now.
        """
        self.era += 1
        self._revision = backup.revision
        self._values = dict(backup.values)
        self._history = collections.deque(backup.history, maxlen=self._history.maxlen)
        self._leases_granted = backup.leases_granted
        self._leases = {
            name: _Lease(seconds, now + seconds, set(keys))
            for name, (seconds, keys) in backup.leases.items()
        }
        self._lease_of_key = {
            key: name for name, lease in self._leases.items() for key in lease.keys
        }

    def apply(self, operation: wire.StoreOperation, now: float) -> object:
        """Execute an operation; a watch returns without waiting.

        Args:
            operation: The operation.
            now: Time in seconds, never smaller than at an earlier call.

        Returns:
            The result that the operation's class documents.

        Raises:
            StoreConflictError: When a version or lease differs from the expected one.
        """
        self.expire_leases(now)
        match operation:
            case wire.Get(key):
                return self._values.get(key)
            case wire.List():
                return list_page(self._values, operation)
            case wire.CompareAndSwap():
                return self._compare_and_swap(operation)
            case wire.Delete(key, expected_version):
                self._require_version(key, expected_version)
                self._remove(key)
            case wire.Watch(prefix, after_revision):
                return self.changes(prefix, after_revision)
            case wire.GrantLease(time_to_live_seconds):
                return self._grant_lease(time_to_live_seconds, now)
            case wire.KeepAlive(lease):
                self._keep_alive(lease, now)
        return None

    def has_history_after(self, revision: int) -> bool:
        """Return whether a revision was reached and every change after it is in the history."""
        return 0 <= self._revision - revision <= len(self._history)

    def clear_history(self) -> None:
        """Drop all past changes that watches could read."""
        self._history.clear()

    def changes(self, prefix: str, after_revision: int) -> wire.Changes:
        """Return changes after a revision, as far back as the history reaches."""
        changes = (change for change in self._history if change.version > after_revision)
        values = tuple(change for change in changes if change.key.startswith(prefix))
        return wire.Changes(self._revision, values)

    def expire_leases(self, now: float) -> None:
        """Expire every lease whose time to live is over."""
        due = [name for name, lease in self._leases.items() if lease.expires_at <= now]
        for name in due:
            self.expire_lease(name)

    def next_expiry(self) -> float:
        """Return the time at which the next lease expires; infinity if there is none."""
        return min((lease.expires_at for lease in self._leases.values()), default=float("inf"))

    def has_lease(self, name: str) -> bool:
        """Return whether a lease exists and hasn't expired."""
        return name in self._leases

    def expire_lease(self, name: str) -> None:
        """Expire a lease now and delete its keys."""
        lease = self._leases.pop(name)
        for key in sorted(lease.keys):
            self._remove(key)

    def extend_leases(self, seconds: float) -> None:
        """Extend every lease, as a store does that keeps leases while it is down."""
        for lease in self._leases.values():
            lease.expires_at += seconds

    def expire_all_leases(self) -> None:
        """Expire every lease now."""
        for name in list(self._leases):
            self.expire_lease(name)

    def _compare_and_swap(self, operation: wire.CompareAndSwap) -> int:
        """Write a value if the key is at the expected version."""
        self._require_version(operation.key, operation.expected_version)
        if operation.lease and operation.lease not in self._leases:
            raise StoreConflictError(ErrorCode.STORE_CONFLICT, "the lease has lapsed")
        self._unbind(operation.key)
        if operation.lease:
            self._lease_of_key[operation.key] = operation.lease
            self._leases[operation.lease].keys.add(operation.key)
        self._record(operation.key, operation.value)
        self._values[operation.key] = self._history[-1]
        return self._revision

    def _require_version(self, key: str, expected_version: int) -> None:
        """Raise a conflict unless ``key`` is at ``expected_version``."""
        value = self._values.get(key)
        version = value.version if value else ABSENT_REVISION
        if version != expected_version:
            raise StoreConflictError(
                ErrorCode.STORE_CONFLICT, f"version {version} found, {expected_version} expected"
            )

    def _remove(self, key: str) -> None:
        """Delete a key if it exists."""
        if self._values.pop(key, None) is None:
            return
        self._unbind(key)
        self._record(key, b"")

    def _unbind(self, key: str) -> None:
        """Remove a key from its lease, if it has one."""
        lease = self._leases.get(self._lease_of_key.pop(key, ""))
        if lease is not None:
            lease.keys.discard(key)

    def _record(self, key: str, value: bytes) -> None:
        """Increment the revision and add the change to the history."""
        self._revision += 1
        self._history.append(wire.Item(key, value, self._revision))

    def _grant_lease(self, time_to_live_seconds: float, now: float) -> str:
        """Grant a lease and return its name."""
        if time_to_live_seconds <= 0:
            raise StoreError(ErrorCode.STORE_UNAVAILABLE, "time_to_live_seconds must be above 0")
        self._leases_granted += 1
        name = f"lease-{self._leases_granted}"
        self._leases[name] = _Lease(time_to_live_seconds, now + time_to_live_seconds)
        return name

    def _keep_alive(self, name: str, now: float) -> None:
        """Renew a lease for its full time to live."""
        lease = self._leases.get(name)
        if lease is None:
            raise StoreConflictError(ErrorCode.STORE_CONFLICT, "the lease has lapsed")
        lease.expires_at = now + lease.time_to_live_seconds


def list_page(values: dict[str, wire.Item], operation: wire.List) -> list[wire.Item]:
    """Return one page of ``values`` in the order of their keys."""
    keys = sorted(
        key for key in values if key.startswith(operation.prefix) and key > operation.after_key
    )
    return [values[key] for key in keys[: operation.limit]]


class TokenBucket:
    """Token bucket that limits a rate and allows bursts.

    Args:
        requests_per_second: Sustained rate; infinity for no limit.
        burst: Largest number of requests at once.
    """

    def __init__(self, requests_per_second: float = float("inf"), burst: float = 1.0) -> None:
        self._rate = requests_per_second
        self._burst = burst
        self._tokens = burst
        self._updated_at = float("-inf")

    def admit(self, now: float) -> bool:
        """Take a token at ``now`` (seconds); return False when there is none."""
        if self._rate == float("inf"):
            return True
        earned = (now - self._updated_at) * self._rate
        self._tokens = min(self._burst, self._tokens + earned)
        self._updated_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
