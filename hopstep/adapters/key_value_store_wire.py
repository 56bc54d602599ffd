"""Messages of the platform's key-value service over HTTP, as JSON.

Every operation is one ``POST`` to ``STORE_PATH``; the field ``operation`` names it and bytes
are base64. The answer of status 200 is the result alone, of the type that the operation's
class documents. Every other status carries a ``StoreFailure``. All answers name the service's era
in the header ``ERA_HEADER``, where it tells one.
"""

from __future__ import annotations

import msgspec

from hopstep.domain.store_position import StorePosition
from hopstep.exceptions import ErrorCode
from hopstep.ports.key_value_store import StoredValue

STORE_PATH = "/v1/store"
MACHINES_PATH = "/v1/machines"
ERA_HEADER = "store-era"


class Item(msgspec.Struct, frozen=True):
    """A value as the service holds it.

    Attributes:
        key: Key.
        value: Bytes; empty where a watch shows that the key is gone.
        version: Store-wide revision of the last write, above 0.
    """

    key: str
    value: bytes
    version: int

    def read(self, era: int) -> StoredValue:
        """Return the value as an answer of an era shows it."""
        return StoredValue(self.key, self.value, StorePosition(era, self.version))


class Changes(msgspec.Struct, frozen=True):
    """What a watch shows.

    Attributes:
        revision: Store-wide revision up to which it reaches.
        values: Changed values, oldest first.
    """

    revision: int
    values: tuple[Item, ...]


class Get(msgspec.Struct, frozen=True, tag_field="operation", tag="get"):
    """Read one key; answers ``Item | None``."""

    key: str


class List(msgspec.Struct, frozen=True, tag_field="operation", tag="list"):
    """Read a page of keys; answers ``list[Item]``."""

    prefix: str
    after_key: str = ""
    limit: int = 1000


class CompareAndSwap(msgspec.Struct, frozen=True, tag_field="operation", tag="compare_and_swap"):
    """Write one key; answers its new version as ``int``."""

    key: str
    expected_version: int
    value: bytes
    lease: str = ""


class Delete(msgspec.Struct, frozen=True, tag_field="operation", tag="delete"):
    """Delete one key; answers ``None``."""

    key: str
    expected_version: int


class Watch(msgspec.Struct, frozen=True, tag_field="operation", tag="watch"):
    """Read changes; answers ``Changes``, after up to ``wait_seconds`` without any."""

    prefix: str
    after_revision: int
    wait_seconds: float = 0.0


class GrantLease(msgspec.Struct, frozen=True, tag_field="operation", tag="grant_lease"):
    """Make a lease; answers its name as ``str``."""

    time_to_live_seconds: float


class KeepAlive(msgspec.Struct, frozen=True, tag_field="operation", tag="keep_alive"):
    """Renew a lease; answers ``None``."""

    lease: str


StoreOperation = Get | List | CompareAndSwap | Delete | Watch | GrantLease | KeepAlive
"""Any operation."""

StoreResult = object
"""Result of any operation; each adapter method checks its own type."""


class StoreFailure(msgspec.Struct, frozen=True):
    """Why an operation failed.

    Attributes:
        code: Stable code of the store's errors.
        message: One sentence for a person.
    """

    code: ErrorCode
    message: str


def is_write(operation: StoreOperation) -> bool:
    """Return whether a lost answer leaves the operation's effect unknown."""
    return not isinstance(operation, Get | List | Watch)
