"""Groups of callers that share cached prompt segments.

A group's name is part of the salt under which engines and cache stores keep segments. The common
group is named after the tenants that belong to it, so a segment under its name was made by one of
them, or by a request without a tenant. A tenant that is isolated or removed leaves the group, and
the others get another name: what they cached together before isn't found any more.

The name follows from the configuration alone, so all nodes agree on it after any restart.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Set

DIGEST_BYTES = 8

ISOLATED_PREFIX = "isolated-"
COMMON_PREFIX = "shared-"


class CacheGroups:
    """The groups of one configuration."""

    def __init__(self, sharing: Set[str]) -> None:
        """Name the groups.

        Args:
            sharing: Names of the tenants that aren't isolated.
        """
        self._sharing = frozenset(sharing)
        self.common = COMMON_PREFIX + _digest(sorted(self._sharing))

    def of(self, tenant: str) -> str:
        """Return the group of a tenant's requests.

        Args:
            tenant: Name of the tenant; empty for requests without one, which all may share.
        """
        if not tenant or tenant in self._sharing:
            return self.common
        return ISOLATED_PREFIX + tenant


def _digest(names: Iterable[str]) -> str:
    """Return a digest of names in order, in hexadecimal digits."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for name in names:
        encoded = name.encode()
        digest.update(len(encoded).to_bytes(DIGEST_BYTES, "big"))
        digest.update(encoded)
    return digest.hexdigest()
