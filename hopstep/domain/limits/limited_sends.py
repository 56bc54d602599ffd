"""What one node sends to one life of an instance that has named a limit, and holds permits for.

All times are of the steady clock, in seconds.
"""

from __future__ import annotations

import math

from hopstep.domain.limits.fleet_usage import Usage
from hopstep.domain.limits.send_permits import WINDOW_SECONDS, PermitStock
from hopstep.domain.limits.usage_window import UsageWindow

DEMAND_SECONDS = 1.0
"""What would have been sent there within this time foretells what will be."""

FORETOLD_SECONDS = 0.4
"""Permits are asked for what is expected within this time: two messages to the relay. More would
mostly expire."""


class LimitedSends:
    """Counts this node's sends to a limited instance, and what it would send.

    Attributes:
        permits: Permits that this node may use.
        waiting: Requests of this node that wait for a permit.
        claimed: Permits that requests which have waited are about to use.
    """

    def __init__(self) -> None:
        """Have sent nothing."""
        self.permits = PermitStock()
        self.waiting = 0
        self.claimed = 0
        self._sent = UsageWindow(WINDOW_SECONDS)
        self._received = UsageWindow(WINDOW_SECONDS)
        self._demand = UsageWindow(DEMAND_SECONDS)

    def free(self, now: float) -> int:
        """Return how many permits a request that hasn't waited may use."""
        return self.permits.held(now) - self.claimed

    def receive(self, count: int, until: float, now: float) -> None:
        """Take permits that a relay gives, and that may be used until a time."""
        self.permits.put(count, until)
        self._received.add(now, count)

    def note_sent(self, now: float) -> None:
        """Count a send: a request, a report or an order."""
        self._sent.add(now, 1)

    def note_wanted(self, now: float) -> None:
        """Count a request that is best sent there."""
        self._demand.add(now, 1)

    def permits_per_second(self, now: float) -> float:
        """Return how many permits came lately."""
        return self._received.total(now) / WINDOW_SECONDS

    def sent(self, now: float) -> int:
        """Return what was sent within the window."""
        return round(self._sent.total(now))

    def usage(self, life: str, now: float) -> Usage:
        """Return what other nodes are told.

        Args:
            life: The life, as ``str(InstanceIncarnation)``.
            now: The time.
        """
        foretold = self._demand.total(now) * FORETOLD_SECONDS / DEMAND_SECONDS
        expected = math.ceil(foretold) - self.permits.held(now)
        return Usage(life, self.sent(now), self.waiting, max(0, expected))
