"""One node's sends and permits for one incarnation of an instance that has named a limit.

All times are of the steady clock, in seconds.
"""

from __future__ import annotations

import math

from hopstep.domain.limits.fleet_usage import Usage
from hopstep.domain.limits.send_permits import WINDOW_SECONDS, PermitStock
from hopstep.domain.limits.usage_window import UsageWindow

DEMAND_SECONDS = 1.0
"""Time in seconds over which the demand is counted from which future demand is forecast."""

FORECAST_SECONDS = 0.4
"""Permits are asked for the demand expected within this time in seconds, the interval of two
messages to the relay. More of them would mostly expire."""


class LimitedSends:
    """Counts this node's sends to a limited instance, and its demand.

    Attributes:
        permits: Permits that this node may use.
        waiting: Requests of this node that wait for a permit.
        claimed: Permits that requests which have waited are about to use.
    """

    def __init__(self) -> None:
        """Start without any sends."""
        self.permits = PermitStock()
        self.waiting = 0
        self.claimed = 0
        self._sent = UsageWindow(WINDOW_SECONDS)
        self._received = UsageWindow(WINDOW_SECONDS)
        self._demand = UsageWindow(DEMAND_SECONDS)

    def free(self, now: float) -> int:
        """Return the number of permits that requests which haven't waited may use."""
        return self.permits.held(now) - self.claimed

    def receive(self, count: int, until: float, now: float) -> None:
        """Store permits that a relay gave, and that may be used until a time."""
        self.permits.put(count, until)
        self._received.add(now, count)

    def note_sent(self, now: float) -> None:
        """Count a send: a request, a report or an order."""
        self._sent.add(now, 1)

    def note_wanted(self, now: float) -> None:
        """Count a request for which this instance is the best choice."""
        self._demand.add(now, 1)

    def permits_per_second(self, now: float) -> float:
        """Return the rate at which permits were received within the window."""
        return self._received.total(now) / WINDOW_SECONDS

    def sent(self, now: float) -> int:
        """Return the number of sends within the window."""
        return round(self._sent.total(now))

    def usage(self, incarnation: str, now: float) -> Usage:
        """Return the usage that is reported to other nodes.

        Args:
            incarnation: The instance incarnation as text.
            now: The time.
        """
        forecast = self._demand.total(now) * FORECAST_SECONDS / DEMAND_SECONDS
        expected = math.ceil(forecast) - self.permits.held(now)
        return Usage(incarnation, self.sent(now), self.waiting, max(0, expected))
