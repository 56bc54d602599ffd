"""Position in the history of a store that may be restored from a backup.

After a restore the store's revisions go back and are assigned again, so revisions alone don't show
which of two changes is later. The era rises with each restore.
"""

from __future__ import annotations

import msgspec

UNSPECIFIED_ERA = 0
"""Era of a store that states none."""


class StorePosition(msgspec.Struct, frozen=True, order=True):
    """A position in the store's history; later ones compare greater.

    Attributes:
        era: How often the store had been restored, as it states.
        revision: Store-wide revision within the era.
    """

    era: int
    revision: int


NO_POSITION = StorePosition(-1, -1)
"""Before all positions: the position of a node without any data."""

ABSENT = StorePosition(UNSPECIFIED_ERA, 0)
"""Version of a key that does not exist."""


class StoreLease(msgspec.Struct, frozen=True):
    """A lease; it is invalid in another era, in which another lease may have its name.

    Attributes:
        name: Name that the store assigned.
        era: Era in which it was granted.
    """

    name: str
    era: int
