"""The routers that share the limits of a group of tenants: the owner, since when, and the floor.

Tenants that the same routers may serve form one group. Each tenant has one owner in it, by
rendezvous hashing over the group's live routers. A new owner doesn't have the earlier one's
leases, so a router records for how long it has been the owner without a break.
"""

from __future__ import annotations

from collections import deque

import msgspec

from hopstep.domain.limits.limiter import FLOOR_RATIO, PARTS_PER_LIMIT
from hopstep.domain.rendezvous import Rendezvous

MAX_VIEWS = 8
"""Number of earlier views that are kept; the owners before them count as unknown."""

MAX_UPDATE_GAP_SECONDS = 2.5
"""Time in seconds between two updates of the live routers above which this router must have been
paused."""

LEASE_SECONDS = 12.0
"""Length in seconds of a lease in a small group: longer than it takes to detect a dead owner."""

SMALL_GROUP = 20
"""Number of routers up to which a lease has ``LEASE_SECONDS``. Beyond it the length grows with the
number, since a router has as many owners to report to."""

FEW_TENANTS = 100
"""Number of tenants up to which a lease has ``LEASE_SECONDS``; beyond it the length grows with
the number."""

RENEWALS = 4
"""Number of reports that a holder makes within a lease."""

_KEY_PREFIX = "limits/"


class _PastView(msgspec.Struct, frozen=True):
    """An earlier view of the live routers; None for an unknown one.

    Attributes:
        ended_at: When it ended.
        owners: Owners under it.
        routers: Number of its routers.
    """

    ended_at: float
    owners: Rendezvous | None = None
    routers: int = 0


class LimitOwners:
    """One group's current view of its live routers, and its recent views."""

    def __init__(self, own_name: str, now: float) -> None:
        """Start with an unknown past.

        Args:
            own_name: Name of this router.
            now: Time of the start in seconds.
        """
        self._own_name = own_name
        self._names = frozenset({own_name})
        self._expected = 1
        self._tenants = 0
        self._current = Rendezvous.unweighted(self._names)
        self._past: deque[_PastView] = deque((_PastView(now),))
        self._updated_at = now

    @property
    def routers(self) -> int:
        """Number of live routers, this one included."""
        return len(self._names | {self._own_name})

    @property
    def lease_seconds(self) -> float:
        """Length of a lease."""
        routers = max(self.routers, self._expected)
        return LEASE_SECONDS * max(1.0, routers / SMALL_GROUP, self._tenants / FEW_TENANTS)

    @property
    def renewal_seconds(self) -> float:
        """Time between two reports of a tenant, and the longest time for which views may differ."""
        return self.lease_seconds / RENEWALS

    @property
    def learning_seconds(self) -> float:
        """Time for which a new owner leases only the parts that are already held.

        An earlier owner may grant leases while views differ, and its last one ends a lease later.
        The time is shorter when every router that may exist has reported to the new owner.
        """
        return self.lease_seconds + self.renewal_seconds

    def update(
        self, now: float, live_routers: frozenset[str], expected: int, tenants: int = 0
    ) -> None:
        """Update the routers of the group that take new work; this one may be missing.

        After a pause the past counts as unknown: others may have been the owners during it.

        Args:
            now: Time in seconds.
            live_routers: Their names.
            expected: Number of routers that may exist, including those that are down.
            tenants: Tenants of the group in the configuration.
        """
        self._expected, self._tenants = expected, tenants
        if now - self._updated_at > MAX_UPDATE_GAP_SECONDS:
            self._past.clear()
            self._past.append(_PastView(now))
        self._updated_at = now
        if live_routers == self._names or not live_routers:
            return
        self._past.append(_PastView(now, self._current, self.routers))
        if len(self._past) > MAX_VIEWS:
            self._past.popleft()
            self._past[0] = _PastView(self._past[0].ended_at)
        self._names = live_routers
        self._current = self._current.updated(dict.fromkeys(live_routers, 1.0))

    def owner(self, tenant: str) -> str:
        """Return the owner of a tenant's limits."""
        return _owner(self._current, tenant)

    def owner_since(self, tenant: str) -> float:
        """Return the time since which this router has been the owner without a break.

        Args:
            tenant: Name of the tenant.
        """
        for view in reversed(self._past):
            if view.owners is None or _owner(view.owners, tenant) != self._own_name:
                return view.ended_at
        return float("-inf")

    def floor_part(self, now: float) -> int:
        """Return this router's millionths of any limit, whatever the demand.

        It shrinks at once and grows when the views of all routers agree; while the past is
        unknown, all routers that may exist are counted.
        """
        since = now - self.learning_seconds
        counts = [
            view.routers if view.owners else self._expected
            for view in self._past
            if view.ended_at > since
        ]
        if now - self._updated_at > MAX_UPDATE_GAP_SECONDS:
            counts.append(self._expected)
        return int(PARTS_PER_LIMIT * FLOOR_RATIO) // max(self.routers, *counts, 1)


def _owner(view: Rendezvous, tenant: str) -> str:
    return view.owners(_KEY_PREFIX + tenant)[0]
