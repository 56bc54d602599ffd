"""News that are gathered in busy moments, so that what a node sends doesn't grow with their rate.

Load pattern: 75 long prompts a second at 79 nodes, each told to every node at once, were 5,900
datagrams a second. Sent no more often than every ``GATHER_SECONDS`` they are at most 25 messages a
second to each node, of at most ``MAX_GATHERED`` news, whatever the fleet sends.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Sequence
from typing import Generic, TypeVar

import msgspec

SENDING_INTERVAL_SECONDS = 0.04
"""A fifth of the time between two tellings of loads, which news of single prompts precede."""

MAX_PENDING = 64
"""The latest ones; some 100 bytes each. Loads that are told regularly hold what is left out."""

Update = TypeVar("Update")


class UpdateBatch(msgspec.Struct, Generic[Update], frozen=True):
    """News for some nodes.

    Attributes:
        news: In the order in which they came.
        targets: Names of nodes that haven't sent any of them.
    """

    updates: tuple[Update, ...]
    targets: tuple[str, ...]


class PendingUpdates(Generic[Update]):
    """Holds news until they are sent on."""

    def __init__(self, bound: int = MAX_PENDING) -> None:
        """Hold none.

        Args:
            bound: Most news that are held; the oldest are left out.
        """
        self._pending: deque[tuple[str, Update]] = deque(maxlen=bound)

    def __len__(self) -> int:
        """Return how many are held."""
        return len(self._pending)

    def add(self, origin: str, updates: Iterable[Update]) -> None:
        """Add news of a node, which won't get them back."""
        self._pending.extend((origin, each) for each in updates)

    def take(self, targets: Sequence[str]) -> list[UpdateBatch[Update]]:
        """Return what to send to nodes, at most one bundle for each, and hold nothing.

        Args:
            targets: Names of the nodes.
        """
        held = list(self._pending)
        self._pending.clear()
        origins = {origin for origin, _ in held}
        others = tuple(name for name in targets if name not in origins)
        bundles = [UpdateBatch(tuple(updates for _, updates in held), others)]
        for name in targets:
            if name in origins:
                bundles.append(
                    UpdateBatch(tuple(n for origin, n in held if origin != name), (name,))
                )
        return [bundle for bundle in bundles if bundle.updates and bundle.targets]
