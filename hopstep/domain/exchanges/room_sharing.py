"""How much of a service's free places one node may take until the next load report.

Addresses many nodes that see the same free places at the same moment: each would fill them all, and
the instances would reject what comes last. No node knows what the others are about to send, so each
takes a share only.
"""

from __future__ import annotations

import random

import msgspec

SHORT_SHARE = 0.5
"""Capacity counts as short while less than this part of a service's places is free."""

RESERVE_FACTOR = 2.0
"""Shares of the free places for each node, as other nodes may have nothing to send."""


class ServiceRoom(msgspec.Struct, frozen=True):
    """Places of a service's usable instances, by the latest reports.

    Attributes:
        places: Slots and places in the allowances for the instances' queues.
        free: Places without a request of any node; negative when there are too many requests.
    """

    places: int
    free: int

    @property
    def is_short(self) -> bool:
        """Whether nodes take shares only."""
        return self.free < SHORT_SHARE * self.places


class RoomShare:
    """Requests that this node may send to the instances of one service in one report interval."""

    def __init__(self, generator: random.Random) -> None:
        """Start without a bound.

        Args:
            generator: Draws whether a share below one is a request.
        """
        self._generator = generator
        self._left: int | None = None

    def refresh(self, room: ServiceRoom, nodes: int) -> None:
        """Begin a report interval.

        Args:
            room: Places by the latest reports.
            nodes: Nodes that may be alive.
        """
        if not room.is_short:
            self._left = None
            return
        share = RESERVE_FACTOR * max(0, room.free) / max(1, nodes)
        whole = int(share)
        self._left = whole + (self._generator.random() < share - whole)

    @property
    def is_open(self) -> bool:
        """Whether another request may be sent in this interval."""
        return self._left is None or self._left > 0

    def take(self) -> bool:
        """Count a request that is sent; return False when it must wait for the next interval."""
        if not self.is_open:
            return False
        if self._left is not None:
            self._left -= 1
        return True
