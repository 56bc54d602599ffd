"""A place in the history of a store that may be restored from a copy.

After a restore the store's revisions go back and are given out again, so that a revision alone says
nothing of which of two changes is the later one. The era rises with each restore.
"""

from __future__ import annotations

import msgspec

UNSPECIFIED_ERA = 0
"""Era of a store that tells none."""


class StorePosition(msgspec.Struct, frozen=True, order=True):
    """A moment of the store's history; later ones are greater.

    Attributes:
        era: How often the store had been restored, as it tells.
        revision: Store-wide revision within the era.
    """

    era: int
    revision: int


NO_POSITION = StorePosition(-1, -1)
"""Before anything: place of a node that knows nothing."""

ABSENT = StorePosition(UNSPECIFIED_ERA, 0)
"""Version of a key that does not exist."""


class StoreLease(msgspec.Struct, frozen=True):
    """A lease; it means nothing in another era, where its name may be that of another lease.

    Attributes:
        name: Name that the service gave it.
        era: Era in which it was granted.
    """

    name: str
    era: int
