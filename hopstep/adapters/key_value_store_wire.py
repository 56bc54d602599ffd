"""Messages of the platform's key-value service over HTTP, as JSON.

Every operation is one ``POST`` to ``STORE_PATH``; the field ``operation`` names it and bytes
are base64. The body of a response with status 200 is the result, of the type that the operation's
class documents. Every other status has a ``StoreFailure`` as its body. All responses carry the
service's era in the header ``ERA_HEADER``, if the service has one, and repeat the call's id
(``hopstep.adapters.call_ids``).
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
    """A stored value as the service sends it.

    Attributes:
        key: Key.
        value: Bytes; empty where a watch reports a deleted key.
        version: Store-wide revision of the last write, above 0.
    """

    key: str
    value: bytes
    version: int

    def to_stored_value(self, era: int) -> StoredValue:
        """Return the value with its store position in the given era."""
        return StoredValue(self.key, self.value, StorePosition(era, self.version))


class Changes(msgspec.Struct, frozen=True):
    """Result of a watch.

    Attributes:
        revision: Store-wide revision up to which changes are included.
        values: Changed values, oldest first.
    """

    revision: int
    values: tuple[Item, ...]


class Get(msgspec.Struct, frozen=True, tag_field="operation", tag="get"):
    """Read one key; the result is ``Item | None``."""

    key: str


class List(msgspec.Struct, frozen=True, tag_field="operation", tag="list"):
    """Read a page of keys; the result is ``list[Item]``."""

    prefix: str
    after_key: str = ""
    limit: int = 1000


class CompareAndSwap(msgspec.Struct, frozen=True, tag_field="operation", tag="compare_and_swap"):
    """Write one key; the result is its new version as ``int``."""

    key: str
    expected_version: int
    value: bytes
    lease: str = ""


class Delete(msgspec.Struct, frozen=True, tag_field="operation", tag="delete"):
    """Delete one key; the result is ``None``."""

    key: str
    expected_version: int


class Watch(msgspec.Struct, frozen=True, tag_field="operation", tag="watch"):
    """Read changes; the result is ``Changes``. Waits up to ``wait_seconds`` for the first one."""

    prefix: str
    after_revision: int
    wait_seconds: float = 0.0


class GrantLease(msgspec.Struct, frozen=True, tag_field="operation", tag="grant_lease"):
    """Grant a lease; the result is its name as ``str``."""

    time_to_live_seconds: float


class KeepAlive(msgspec.Struct, frozen=True, tag_field="operation", tag="keep_alive"):
    """Renew a lease; the result is ``None``."""

    lease: str


StoreOperation = Get | List | CompareAndSwap | Delete | Watch | GrantLease | KeepAlive
"""Any operation."""

StoreResult = object
"""Result of any operation; each adapter method checks its own type."""


class StoreFailure(msgspec.Struct, frozen=True):
    """Error of an operation.

    Attributes:
        code: Stable code of the store's errors.
        message: One sentence for a person.
    """

    code: ErrorCode
    message: str


def is_write(operation: StoreOperation) -> bool:
    """Return whether the operation writes, so that its effect is unknown if the answer is lost."""
    return not isinstance(operation, Get | List | Watch)
