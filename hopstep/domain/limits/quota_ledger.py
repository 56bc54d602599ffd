"""One node's part in holding tenants' quotas over all nodes, by what it knows of their usage.

Load pattern: a tenant that sends several times its quota, at all nodes or at one; and the many that
stay below theirs, of which none may be refused. Each node admits its share, by demand, of what is
left of a quota as of the last telling, and counts what it has admitted itself since. So all nodes
together admit no more than what is left, however late they hear of each other; see design 0026 for
the bound and for what a node may do that hears nobody or has forgotten.

Times are of the steady clock, in seconds.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from hopstep.domain.limits.fleet_usage import Usage, UsageReport, largest
from hopstep.domain.limits.usage_window import UsageWindow

USED_TOLERANCE = 0.25
"""Part of the operators' tolerance above a quota that is used; the rest is for shares that add up
to more than one while demand moves, and for chance."""

DEMAND_SECONDS = 1.0
"""Demand is what was offered within this time: two tellings between zones take 0.6 s."""

MAX_USAGE_AGE_SECONDS = 1.5
"""A node that was told nothing for longer takes itself for cut off."""

PREFERRED_SECONDS = 1.0
"""For so long what more nodes have told goes before what fewer have told later."""

TELLING_SECONDS = 0.4
"""What this node admitted within this time before it asked is known to the one that it asked, but
not to all others yet: two of their messages. Without counting it as unknown all nodes together
would admit too much."""

REDRAW_SECONDS = 0.8
"""A draw counts for so long: until all nodes know what was admitted by it. Drawn anew with each
telling, many nodes would admit too much together."""

LEAST_WAIT_SECONDS = 0.2
"""Between two tellings nothing changes."""


class QuotaBounds(msgspec.Struct, frozen=True):
    """What operators tolerate.

    Attributes:
        window_seconds: Length of the window over which usage is counted.
        overshoot: Share by which a quota may be exceeded in a window.
        slack: Units by which it may be exceeded beyond that.
    """

    window_seconds: float = 10.0
    overshoot: float = 0.0
    slack: float = 0.0


class TenantQuota(msgspec.Struct, frozen=True):
    """A tenant's quota over all nodes.

    Attributes:
        per_second: Units a second.
        burst: Units on top, in any window.
        in_tokens: Whether units are tokens; requests otherwise.
        plain_tokens: Tokens that a request counts which doesn't name its own.
    """

    per_second: float
    burst: float = 0.0
    in_tokens: bool = False
    plain_tokens: int = 0

    def cost(self, tokens: int | None) -> int:
        """Return what a request counts.

        Args:
            tokens: Of its prompt and longest answer; None when it doesn't say.
        """
        if not self.in_tokens:
            return 1
        return self.plain_tokens if tokens is None else tokens


class FleetUsage(msgspec.Struct, frozen=True):
    """What a node was told of all nodes, itself included.

    Attributes:
        report: Usage, and the number of nodes in it.
        asked_at: What this node admitted until then is in it.
    """

    report: UsageReport
    asked_at: float


class QuotaDecision(msgspec.Struct, frozen=True):
    """Whether a request is admitted, and by what.

    Attributes:
        wait_seconds: Until one like it may be admitted; 0 when this one is.
        free_units: Units that this node may still admit.
        share: This node's share of what is left.
        used: Units that all nodes had admitted, as far as known.
        nodes: Nodes of which that is known.
    """

    wait_seconds: float
    free_units: float
    share: float
    used: float
    nodes: int


class _TenantWindows:
    """What one tenant was admitted and offered at this node."""

    def __init__(self, window_seconds: float) -> None:
        self.admitted = UsageWindow(window_seconds)
        self.offered = UsageWindow(DEMAND_SECONDS)
        self.drawn = 1.0
        self.redraw_at = -float("inf")


class QuotaLedger:
    """What one node has admitted, knows of the others, and may admit."""

    def __init__(self, bounds: QuotaBounds, now: float) -> None:
        """Know nothing.

        Args:
            bounds: What operators tolerate.
            now: Start of the process.
        """
        self._bounds = bounds
        self._started_at = now
        self._tenants: dict[str, _TenantWindows] = {}
        self._fleet: FleetUsage | None = None
        self._told: dict[str, Usage] = {}

    def own_report(self, quotas: Mapping[str, TenantQuota], now: float, nodes: int) -> UsageReport:
        """Return this node's usage, to tell others.

        Args:
            quotas: By tenant.
            now: The time.
            nodes: Nodes that may be alive.
        """
        if now - self._started_at < self._bounds.window_seconds:
            for tenant in quotas:
                self._windows(tenant)
        usage = (
            Usage(
                tenant,
                round(windows.admitted.total(now) + self._forgotten(quotas[tenant], now, nodes)),
                round(windows.offered.total(now)),
            )
            for tenant, windows in self._tenants.items()
            if tenant in quotas
        )
        report = UsageReport(largest(each for each in usage if not each.is_empty))
        self._forget_idle(now)
        return report

    @property
    def has_fleet_usage(self) -> bool:
        """Whether anybody has told this process what all nodes have used."""
        return self._fleet is not None

    def update_fleet_usage(self, fleet: FleetUsage) -> None:
        """Take what all nodes have used; what fewer nodes have told doesn't replace it at once."""
        known = self._fleet
        fewer = known is not None and fleet.report.nodes < known.report.nodes
        if known is not None and fewer and fleet.asked_at - known.asked_at < PREFERRED_SECONDS:
            return
        self._fleet = fleet
        self._told = {each.name: each for each in fleet.report.usage}

    def admit(
        self, tenant: str, quota: TenantQuota, cost: int, now: float, nodes: int, draw: float
    ) -> QuotaDecision:
        """Admit and count a request, or return when to come back.

        Where a node's share is less than one request, it is admitted by chance in proportion: of
        many nodes as many admit one as fit. One draw counts until the others know of it.

        Args:
            tenant: Its name.
            quota: Its quota.
            cost: What the request counts.
            now: The time.
            nodes: Nodes that may be alive.
            draw: Drawn evenly between 0 and 1.
        """
        windows = self._windows(tenant)
        windows.offered.add(now, cost)
        share, used, unseen, heard = self._known(tenant, quota, windows, now, nodes)
        part = min(1.0, heard / max(1, nodes))
        free_units = share * (self._target(quota) * part - used) - unseen
        if now >= windows.redraw_at:
            windows.drawn, windows.redraw_at = draw, now + REDRAW_SECONDS
        if free_units > 0 and free_units >= windows.drawn * cost:
            windows.admitted.add(now, cost)
            return QuotaDecision(0.0, free_units, share, used, heard)
        refilled = max(share * part * quota.per_second, 1e-9)
        wait = (cost - free_units) / refilled
        wait = min(self._bounds.window_seconds, max(LEAST_WAIT_SECONDS, wait))
        return QuotaDecision(wait, free_units, share, used, heard)

    def refund(self, tenant: str, cost: int, now: float) -> None:
        """Count a request no longer that was admitted and has not run."""
        self._windows(tenant).admitted.add(now, -cost)

    def _known(
        self, tenant: str, quota: TenantQuota, windows: _TenantWindows, now: float, nodes: int
    ) -> tuple[float, float, float, int]:
        """Return this node's share, what is used, what others don't know of it, and who is heard.

        A node that hears nobody counts for one: it has an even part of the quota for itself.
        """
        fleet = self._fleet
        if fleet is None or now - fleet.asked_at > MAX_USAGE_AGE_SECONDS:
            own = windows.admitted.total(now) + self._forgotten(quota, now, nodes)
            return 1.0, own, 0.0, 1
        told = self._told.get(tenant)
        offered = windows.offered.total(now)
        demand = max(offered, told.offered if told is not None else 0.0, 1.0)
        used = told.admitted if told is not None else 0.0
        unseen = windows.admitted.since(fleet.asked_at - TELLING_SECONDS)
        return min(1.0, offered / demand), used, unseen, fleet.report.nodes

    def _target(self, quota: TenantQuota) -> float:
        """Return the units that all nodes together may admit in a window."""
        promised = quota.per_second * self._bounds.window_seconds + quota.burst
        tolerated = promised * self._bounds.overshoot + self._bounds.slack
        return promised + USED_TOLERANCE * tolerated

    def _forgotten(self, quota: TenantQuota, now: float, nodes: int) -> float:
        """Return what this node counts for the part of the window before it started.

        Its part of a tenant that used its rate: if all nodes start anew at once, they admit no more
        than the rate until a window has passed.
        """
        unknown = self._bounds.window_seconds - (now - self._started_at)
        return max(0.0, unknown) * quota.per_second / max(1, nodes)

    def _windows(self, tenant: str) -> _TenantWindows:
        """Return what a tenant was admitted and offered here."""
        windows = self._tenants.get(tenant)
        if windows is None:
            windows = self._tenants[tenant] = _TenantWindows(self._bounds.window_seconds)
        return windows

    def _forget_idle(self, now: float) -> None:
        """Drop the tenants that used nothing here within the window."""
        if now - self._started_at < self._bounds.window_seconds:
            return
        idle = [
            tenant
            for tenant, windows in self._tenants.items()
            if windows.admitted.is_empty and windows.offered.is_empty
        ]
        for tenant in idle:
            del self._tenants[tenant]
