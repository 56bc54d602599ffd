"""Port to the platform's key-value service: compare-and-swap, leases, watches.

The service is small, rate-limited, and has outages. When it is down every method raises
``StoreError`` at once or after the adapter's timeout; nothing blocks for longer.

It may be restored from a backup that is some seconds old: later writes and leases are lost, and
their revisions and lease names are assigned again. Versions and leases therefore carry the era of
the response that named them; the service checks a condition against the revision alone.
"""

from __future__ import annotations

import abc

import msgspec

from hopstep.domain.store_position import ABSENT, StoreLease, StorePosition
from hopstep.exceptions import (
    ErrorCode,
    StoreHistoryLostError,
    StoreOutcomeUnknownError,
    StoreRestoredError,
)


class StoredValue(msgspec.Struct, frozen=True):
    """A value with its version.

    Attributes:
        key: Key.
        value: Bytes.
        version: Store position of the last write to this key, after ``ABSENT``. Its era is that
            of the response: the write itself may have been made in an earlier one.
    """

    key: str
    value: bytes
    version: StorePosition


class WatchBatch(msgspec.Struct, frozen=True):
    """Changed keys since a store position; deleted keys have an empty value.

    Attributes:
        position: Store position up to which the batch reaches.
        values: Changed values, oldest first. A watch may lose changes: readers list again
            from time to time.
    """

    position: StorePosition
    values: tuple[StoredValue, ...]


class StoreListing(msgspec.Struct, frozen=True):
    """All values below a prefix, with the store position from which a watch continues.

    Attributes:
        position: Store position; a watch that starts here shows every later change, of which
            ``values`` may already contain some.
        values: Values in the order of their keys.
    """

    position: StorePosition
    values: tuple[StoredValue, ...]


class KeyValueStorePort(abc.ABC):
    """The key-value service.

    All methods raise ``StoreError`` (no effect: unavailable or rate-limited). Writes raise
    ``StoreConflictError`` when the expected version differs and ``StoreOutcomeUnknownError``
    when the response was lost after sending, or when the service was restored from a backup between
    the read or grant that the write relies on and the write.
    """

    @abc.abstractmethod
    async def get(self, key: str) -> StoredValue | None:
        """Return the value of ``key``, or None; it may be stale after an outage."""

    @abc.abstractmethod
    async def list(self, prefix: str, after_key: str = "", limit: int = 1000) -> list[StoredValue]:
        """Return values whose keys start with ``prefix`` and sort after ``after_key``."""

    @abc.abstractmethod
    async def compare_and_swap(
        self,
        key: str,
        expected_version: StorePosition,
        value: bytes,
        lease: StoreLease | None = None,
    ) -> StorePosition:
        """Write ``value`` if the key is at ``expected_version`` (``ABSENT`` to create).

        Args:
            key: Key.
            expected_version: Version that the key must have.
            value: New bytes.
            lease: Lease that the key is bound to; None for none.

        Returns:
            The new version.
        """

    @abc.abstractmethod
    async def delete(self, key: str, expected_version: StorePosition) -> None:
        """Delete ``key`` if it is at ``expected_version``."""

    @abc.abstractmethod
    async def watch(self, prefix: str, after: StorePosition, wait_seconds: float) -> WatchBatch:
        """Return changes below ``prefix`` after a store position, waiting up to ``wait_seconds``.

        Raises:
            StoreHistoryLostError: When the service doesn't have the position, or no longer has
                these changes; list again.
        """

    async def listing(self, prefix: str) -> StoreListing:
        """Return all values below ``prefix``, page by page, and where a watch continues.

        Adapters whose service reports its revision override this; here it is the highest one seen
        on the first page, which is never too high.

        Raises:
            StoreHistoryLostError: When the service was restored between pages; list again.
        """
        values: list[StoredValue] = []
        position: StorePosition | None = None
        while page := await self.list(prefix, values[-1].key if values else ""):
            if position is None:
                position = max(value.version for value in page)
            require_era(position.era, page[0].version.era)
            values.extend(page)
        return StoreListing(position or ABSENT, tuple(values))

    @abc.abstractmethod
    async def grant_lease(self, time_to_live_seconds: float) -> StoreLease:
        """Return a new lease; keys bound to it are deleted when it expires."""

    @abc.abstractmethod
    async def keep_alive(self, lease: StoreLease) -> None:
        """Renew a lease; raises ``StoreConflictError`` when it has expired or is of another era.

        The latter is a ``StoreRestoredError``.
        """

    async def reconnect(self) -> None:  # noqa: B027 - optional
        """Close connections that may be unresponsive; adapters without any do nothing."""

    async def end_lease(self, lease: StoreLease) -> None:  # noqa: B027 - optional
        """End a lease early and delete its keys; without such a call it just expires."""


def require_era(expected: int, era: int) -> None:
    """Raise ``StoreHistoryLostError`` unless a response is of the era that its reader expects."""
    if era != expected:
        raise StoreHistoryLostError(
            ErrorCode.STORE_HISTORY_LOST, f"the response is of era {era}, not {expected}"
        )


def require_lease_era(lease: StoreLease, era: int) -> None:
    """Raise ``StoreRestoredError`` unless a renewal's response is of the lease's own era."""
    if era != lease.era:
        raise StoreRestoredError(
            ErrorCode.STORE_CONFLICT, f"the lease was granted in era {lease.era}, not in {era}"
        )


def require_write_era(expected_version: StorePosition, lease: StoreLease | None, era: int) -> None:
    """Raise ``StoreOutcomeUnknownError`` unless a write was made in the era that it relies on.

    In another era it may have overwritten another value, or be bound to another client's lease.
    """
    relied_eras = [lease.era] if lease is not None else []
    if expected_version != ABSENT:
        relied_eras.append(expected_version.era)
    if any(relied_era != era for relied_era in relied_eras):
        raise StoreOutcomeUnknownError(
            ErrorCode.STORE_OUTCOME_UNKNOWN,
            f"the write was made in era {era}, not in the one it relies on",
        )
