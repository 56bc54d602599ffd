"""Leases on parts of tenants' limits: the owner's ledger and the holder's side.

A part is a number of millionths of a tenant's limits. The floor is not leased: every router has
its even share of it at any time. The rest is leased by the owner for a bounded time, counted at
the holder from the sending of its report and at the owner from its receipt. So the owner never
counts a part as free that a holder may still use, also when messages are lost, late or repeated.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from hopstep.domain.limits.limiter import FLOOR_RATIO, PARTS_PER_LIMIT
from hopstep.domain.peer_message import LimitDemand

POOL = PARTS_PER_LIMIT - round(PARTS_PER_LIMIT * FLOOR_RATIO)
"""Part of each limit that is leased, in millionths."""

GROWTH_DIVISOR = 4
"""A demand that grew by more than one part in this many, beyond the part held, is reported at
once."""


class _Grant(msgspec.Struct, frozen=True):
    """Part that a router may hold, and the part that it wanted."""

    part: int
    wanted: int
    reported_at: float
    ends_at: float


class LimitLedger:
    """Leases that this router, as owner, has granted."""

    def __init__(self) -> None:
        """Start without any grants."""
        self._grants: dict[str, dict[str, _Grant]] = {}

    def grant(
        self,
        now: float,
        router: str,
        demand: LimitDemand,
        *,
        routers: int,
        lease_seconds: float,
        settled: bool,
    ) -> int:
        """Return the part that a router gets from now on.

        Args:
            now: Time in seconds.
            router: Name of the router that asks.
            demand: Parts that it wants and holds.
            routers: Live routers that may serve the tenant.
            lease_seconds: Length of its leases.
            settled: Whether this router knows all leases; if not, no router's part grows.
        """
        grants = self._grants.setdefault(demand.tenant, {})
        for name in [key for key, grant in grants.items() if grant.ends_at <= now]:
            del grants[name]
        others = [grant for name, grant in grants.items() if name != router]
        target = _target(demand.wanted, sum(grant.wanted for grant in others), routers)
        if not settled:
            target = min(target, demand.held)
        free = POOL - sum(grant.part for grant in others)
        part = max(0, min(target, free))
        # Until it applies this answer, the router uses the part that it holds.
        grants[router] = _Grant(max(part, demand.held), demand.wanted, now, now + lease_seconds)
        return part

    def reporters(self, tenant: str, since: float) -> set[str]:
        """Return the routers whose leases of a tenant's limits are known.

        Args:
            tenant: Name of the tenant.
            since: Earliest time of their reports.
        """
        grants = self._grants.get(tenant, {})
        return {name for name, grant in grants.items() if grant.reported_at >= since}

    def forget_expired(self, now: float) -> None:
        """Forget tenants whose leases have all expired."""
        self._grants = {
            tenant: grants
            for tenant, grants in self._grants.items()
            if any(grant.ends_at > now for grant in grants.values())
        }

    def __len__(self) -> int:
        """Return the number of tenants with leases."""
        return len(self._grants)


def _target(wanted: int, wanted_by_others: int, routers: int) -> int:
    """Return a router's part by demand; the part that no router wants is split evenly."""
    total = wanted + wanted_by_others
    if total >= POOL:
        return POOL * wanted // total
    return wanted + (POOL - total) // routers


class _Lease(msgspec.Struct):
    """A tenant's lease at the holder.

    Attributes:
        part: Leased part.
        ends_at: When it ends.
        number: Number of the report whose answer may change it; 0 for none.
        reported_at: When that report was made.
        wanted: Part that the report asked for.
    """

    part: int = 0
    ends_at: float = float("-inf")
    number: int = 0
    reported_at: float = float("-inf")
    wanted: int = 0


class LeaseHolder:
    """Leases that this router holds."""

    def __init__(self) -> None:
        """Start without any leases."""
        self._leases: dict[str, _Lease] = {}

    def part(self, tenant: str, now: float) -> int:
        """Return the leased part of a tenant's limits that is in force."""
        lease = self._leases.get(tenant)
        return lease.part if lease is not None and now < lease.ends_at else 0

    def is_due(self, tenant: str, wanted: int, now: float, interval: float) -> bool:
        """Return whether a tenant is to be reported.

        Args:
            tenant: Name of the tenant.
            wanted: Part that is wanted.
            now: Time in seconds.
            interval: Time between two reports unless the demand grows.
        """
        lease = self._leases.get(tenant)
        if lease is None or now - lease.reported_at >= interval:
            return True
        grown = wanted > lease.wanted + lease.wanted // GROWTH_DIVISOR
        return grown and wanted > lease.part and lease.number == 0

    def ends_at(self, tenant: str) -> float:
        """Return when a tenant's lease ends; minus infinity for none."""
        lease = self._leases.get(tenant)
        return lease.ends_at if lease is not None else float("-inf")

    def ask(self, now: float, number: int, tenant: str, wanted: int) -> LimitDemand:
        """Record that a report is made; only the answer to the latest one counts.

        Args:
            now: Time in seconds.
            number: Number of the report, higher than any earlier one.
            tenant: Name of the tenant.
            wanted: Part that is wanted.
        """
        lease = self._leases.setdefault(tenant, _Lease())
        lease.number, lease.reported_at, lease.wanted = number, now, wanted
        return LimitDemand(tenant, wanted, self.part(tenant, now))

    def take(self, number: int, tenant: str, part: int, seconds: float) -> None:
        """Apply an answer, unless a later report was made.

        Args:
            number: Number of the report that is answered.
            tenant: Name of the tenant.
            part: Part that is leased.
            seconds: Length of the lease, from the time of the report.
        """
        lease = self._leases.get(tenant)
        if lease is None or lease.number != number:
            return
        lease.number = 0
        lease.part = part
        lease.ends_at = lease.reported_at + seconds

    def forget_except(self, now: float, tenants: Iterable[str]) -> None:
        """Forget expired leases of tenants other than the given ones."""
        kept = set(tenants)
        self._leases = {
            name: lease
            for name, lease in self._leases.items()
            if name in kept or now < lease.ends_at
        }
