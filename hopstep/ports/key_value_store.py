"""Port to the platform's key-value service: compare-and-swap, leases, watches.

The service is small, rate-limited, and has outages. When it is down every method raises
``StoreError`` at once or after the adapter's timeout; nothing blocks for longer.
"""

from __future__ import annotations

import abc

import msgspec

ABSENT = 0
"""Version of a key that does not exist."""


UNTOLD_ERA = 0
"""Era of a store that tells none."""


class StoredValue(msgspec.Struct, frozen=True):
    """A value with its version.

    Attributes:
        key: Key.
        value: Bytes.
        version: Store-wide revision of the last write to this key, above 0.
    """

    key: str
    value: bytes
    version: int


class WatchBatch(msgspec.Struct, frozen=True):
    """Changed keys since a revision; deleted keys have an empty value.

    Attributes:
        revision: Store-wide revision up to which the batch reaches.
        values: Changed values, oldest first. A watch may lose changes: readers list again
            from time to time.
        era: How often the store has been restored from a copy, as it tells.
    """

    revision: int
    values: tuple[StoredValue, ...]
    era: int = UNTOLD_ERA


class StoreListing(msgspec.Struct, frozen=True):
    """All values below a prefix, with the revision from which a watch goes on.

    Attributes:
        revision: No change after it is missing from a watch that starts here; values may already
            hold later ones.
        values: Values by key.
        era: How often the store has been restored from a copy, as it tells.
    """

    revision: int
    values: tuple[StoredValue, ...]
    era: int = UNTOLD_ERA


class KeyValueStorePort(abc.ABC):
    """The key-value service.

    All methods raise ``StoreError`` (no effect: unavailable or rate-limited). Writes raise
    ``StoreConflictError`` when the expected version differs and ``StoreOutcomeUnknownError``
    when the answer was lost after sending.
    """

    @abc.abstractmethod
    async def get(self, key: str) -> StoredValue | None:
        """Return the value of ``key`` or None; may be stale after an outage."""

    @abc.abstractmethod
    async def list(self, prefix: str, after_key: str = "", limit: int = 1000) -> list[StoredValue]:
        """Return values whose keys start with ``prefix`` and sort after ``after_key``."""

    @abc.abstractmethod
    async def compare_and_swap(
        self, key: str, expected_version: int, value: bytes, lease: str = ""
    ) -> int:
        """Write ``value`` if the key is at ``expected_version`` (``ABSENT`` to create).

        Args:
            key: Key.
            expected_version: Version that the key must have.
            value: New bytes.
            lease: Lease that the key is bound to; empty for none.

        Returns:
            The new version.
        """

    @abc.abstractmethod
    async def delete(self, key: str, expected_version: int) -> None:
        """Delete ``key`` if it is at ``expected_version``."""

    @abc.abstractmethod
    async def watch(self, prefix: str, after_revision: int, wait_seconds: float) -> WatchBatch:
        """Return changes below ``prefix`` after a revision, waiting up to ``wait_seconds``.

        Raises:
            StoreHistoryLostError: When the service has forgotten these changes; list again.
        """

    async def listing(self, prefix: str) -> StoreListing:
        """Return all values below ``prefix``, page by page, and where a watch goes on.

        Adapters whose service tells its revision override this; here it is the highest one seen
        on the first page, which is never too high.
        """
        values: list[StoredValue] = []
        revision: int | None = None
        while page := await self.list(prefix, values[-1].key if values else ""):
            if revision is None:
                revision = max(value.version for value in page)
            values.extend(page)
        return StoreListing(revision or 0, tuple(values))

    @abc.abstractmethod
    async def grant_lease(self, time_to_live_seconds: float) -> str:
        """Return a new lease; keys bound to it vanish when it lapses."""

    @abc.abstractmethod
    async def keep_alive(self, lease: str) -> None:
        """Renew a lease; raises ``StoreConflictError`` when it has lapsed."""

    async def reconnect(self) -> None:  # noqa: B027 - optional
        """Leave connections that may have fallen silent; adapters without any do nothing."""

    async def end_lease(self, lease: str) -> None:  # noqa: B027 - optional
        """End a lease early, with its keys; services without such a call let it lapse."""
