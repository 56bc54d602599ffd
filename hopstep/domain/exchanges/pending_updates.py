"""Batches updates between nodes, so that the number of messages doesn't grow with their rate.

Load pattern: 75 long prompts a second at 79 nodes, each reported to every node at once, are 5,900
datagrams a second. Sent no more often than every ``SENDING_INTERVAL_SECONDS`` they are at most 25
messages a second to each node, of at most ``MAX_PENDING`` updates, whatever the fleet sends.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Sequence
from typing import Generic, TypeVar

import msgspec

SENDING_INTERVAL_SECONDS = 0.04
"""A fifth of the interval of load reports, which updates about single prompts precede."""

MAX_PENDING = 64
"""Updates that are held, the latest ones; some 100 bytes each. Regular load reports include what is
left out."""

Update = TypeVar("Update")


class UpdateBatch(msgspec.Struct, Generic[Update], frozen=True):
    """Updates for some nodes.

    Attributes:
        updates: In the order of their arrival.
        targets: Names of nodes that haven't sent any of them.
    """

    updates: tuple[Update, ...]
    targets: tuple[str, ...]


class PendingUpdates(Generic[Update]):
    """Holds updates until they are sent on."""

    def __init__(self, bound: int = MAX_PENDING) -> None:
        """Start without updates.

        Args:
            bound: Updates that are held; beyond it the oldest are dropped.
        """
        self._pending: deque[tuple[str, Update]] = deque(maxlen=bound)

    def __len__(self) -> int:
        """Return the number of held updates."""
        return len(self._pending)

    def add(self, origin: str, updates: Iterable[Update]) -> None:
        """Add updates from a node; they aren't sent back to it."""
        self._pending.extend((origin, each) for each in updates)

    def take(self, targets: Sequence[str]) -> list[UpdateBatch[Update]]:
        """Return what to send to nodes, at most one batch for each, and drop all held updates.

        Args:
            targets: Names of the nodes.
        """
        held = list(self._pending)
        self._pending.clear()
        origins = {origin for origin, _ in held}
        others = tuple(name for name in targets if name not in origins)
        batches = [UpdateBatch(tuple(updates for _, updates in held), others)]
        for name in targets:
            if name in origins:
                batches.append(
                    UpdateBatch(tuple(n for origin, n in held if origin != name), (name,))
                )
        return [bundle for bundle in batches if bundle.updates and bundle.targets]
