"""Port to the platform's key-value service: compare-and-swap, leases, watches.

The service is small, rate-limited, and has outages. When it is down every method raises
``StoreError`` at once or after the adapter's timeout; nothing blocks for longer.

It may come back from a copy that is some seconds old: what was written since is gone, leases too,
and revisions and leases are given out again. Versions and leases therefore carry the era of the
answer that named them; a condition is checked by the service against the revision alone.
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
        version: Place of the last write to this key, after ``ABSENT``. Its era is that of the
            answer: the write itself may have been made in an earlier one.
    """

    key: str
    value: bytes
    version: StorePosition


class WatchBatch(msgspec.Struct, frozen=True):
    """Changed keys since a place; deleted keys have an empty value.

    Attributes:
        place: Place up to which the batch reaches.
        values: Changed values, oldest first. A watch may lose changes: readers list again
            from time to time.
    """

    place: StorePosition
    values: tuple[StoredValue, ...]


class StoreListing(msgspec.Struct, frozen=True):
    """All values below a prefix, with the place from which a watch goes on.

    Attributes:
        place: No change after it is missing from a watch that starts here; values may already
            hold later ones.
        values: Values by key.
    """

    place: StorePosition
    values: tuple[StoredValue, ...]


class KeyValueStorePort(abc.ABC):
    """The key-value service.

    All methods raise ``StoreError`` (no effect: unavailable or rate-limited). Writes raise
    ``StoreConflictError`` when the expected version differs and ``StoreOutcomeUnknownError``
    when the answer was lost after sending, or when the service was restored from a copy between
    what the write relies on and the write.
    """

    @abc.abstractmethod
    async def get(self, key: str) -> StoredValue | None:
        """Return the value of ``key`` or None; may be stale after an outage."""

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
        """Return changes below ``prefix`` after a place, waiting up to ``wait_seconds``.

        Raises:
            StoreHistoryLostError: When the service doesn't have the place, or has forgotten these
                changes; list again.
        """

    async def listing(self, prefix: str) -> StoreListing:
        """Return all values below ``prefix``, page by page, and where a watch goes on.

        Adapters whose service tells its revision override this; here it is the highest one seen
        on the first page, which is never too high.

        Raises:
            StoreHistoryLostError: When the service was restored meanwhile; list again.
        """
        values: list[StoredValue] = []
        place: StorePosition | None = None
        while page := await self.list(prefix, values[-1].key if values else ""):
            if place is None:
                place = max(value.version for value in page)
            require_era(place.era, page[0].version.era)
            values.extend(page)
        return StoreListing(place or ABSENT, tuple(values))

    @abc.abstractmethod
    async def grant_lease(self, time_to_live_seconds: float) -> StoreLease:
        """Return a new lease; keys bound to it vanish when it lapses."""

    @abc.abstractmethod
    async def keep_alive(self, lease: StoreLease) -> None:
        """Renew a lease; raises ``StoreConflictError`` when it has lapsed or is of another era.

        The latter is a ``StoreRestoredError``.
        """

    async def reconnect(self) -> None:  # noqa: B027 - optional
        """Leave connections that may have fallen silent; adapters without any do nothing."""

    async def end_lease(self, lease: StoreLease) -> None:  # noqa: B027 - optional
        """End a lease early, with its keys; services without such a call let it lapse."""


def require_era(expected: int, era: int) -> None:
    """Raise ``StoreHistoryLostError`` unless an answer is of the era that a reader goes on from."""
    if era != expected:
        raise StoreHistoryLostError(
            ErrorCode.STORE_HISTORY_LOST, f"an answer of era {era} in place of {expected}"
        )


def require_lease_era(lease: StoreLease, era: int) -> None:
    """Raise ``StoreRestoredError`` unless a renewal's answer is of the lease's own era."""
    if era != lease.era:
        raise StoreRestoredError(
            ErrorCode.STORE_CONFLICT, f"the lease was granted in era {lease.era}, not in {era}"
        )


def require_write_era(expected_version: StorePosition, lease: StoreLease | None, era: int) -> None:
    """Raise ``StoreOutcomeUnknownError`` unless a write was done in the era that it relies on.

    Done in another one it may have overwritten something else, or be bound to another's lease.
    """
    relied = [lease.era] if lease is not None else []
    if expected_version != ABSENT:
        relied.append(expected_version.era)
    if any(relied_era != era for relied_era in relied):
        raise StoreOutcomeUnknownError(
            ErrorCode.STORE_OUTCOME_UNKNOWN, f"the write was done in era {era}"
        )
