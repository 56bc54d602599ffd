"""One node's part in enforcing tenants' quotas over all nodes, from the reported usage of all.

Load pattern: a tenant that sends several times its quota, at all nodes or at one; and the many that
stay below theirs, of which none may be refused. Each node admits its share, by demand, of the units
left in a quota as of the last report, and counts the units that it has admitted itself since. So
all nodes together admit no more than is left, however late the reports are; see design 0026 for
the bound, and for nodes that receive no reports or have restarted.

Times are of the steady clock, in seconds.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from hopstep.domain.limits.fleet_usage import Usage, UsageReport, largest
from hopstep.domain.limits.usage_window import UsageWindow

TOLERANCE_FRACTION = 0.25
"""Fraction of the operators' tolerance above a quota that is used; the rest covers shares that add
up to more than one while demand moves, and random variation."""

DEMAND_SECONDS = 1.0
"""Time in seconds over which offered units count as demand: two reports between zones take
0.6 s."""

MAX_USAGE_AGE_SECONDS = 1.5
"""Age in seconds of the fleet's usage above which a node regards itself as cut off."""

COVERAGE_PREFERENCE_SECONDS = 1.0
"""Time in seconds for which a usage report covering more nodes takes precedence over a later one
covering fewer."""

REPORT_PROPAGATION_SECONDS = 0.4
"""Time in seconds, the interval of two messages. Units that this node admitted within this time
before it asked may be in the answer, but not all other nodes have them yet. Unless they count as
unreported, all nodes together admit too much."""

DRAW_SECONDS = 0.8
"""Time in seconds for which a draw counts: until all nodes have the admissions made by it. With a
new draw for each report, many nodes together would admit too much."""

MIN_WAIT_SECONDS = 0.2
"""Shortest wait in seconds; between two reports nothing changes."""


class QuotaBounds(msgspec.Struct, frozen=True):
    """Operators' tolerance for exceeding a quota.

    Attributes:
        window_seconds: Length of the window over which usage is counted.
        overshoot: Fraction by which a quota may be exceeded in a window.
        slack: Units by which it may be exceeded beyond that.
    """

    window_seconds: float = 10.0
    overshoot: float = 0.0
    slack: float = 0.0


class TenantQuota(msgspec.Struct, frozen=True):
    """A tenant's quota over all nodes.

    Attributes:
        per_second: Units per second.
        burst: Additional units in any window.
        in_tokens: Whether units are tokens; requests otherwise.
        plain_tokens: Tokens counted for a request that doesn't name its own number.
    """

    per_second: float
    burst: float = 0.0
    in_tokens: bool = False
    plain_tokens: int = 0

    def cost(self, tokens: int | None) -> int:
        """Return the units that a request counts.

        Args:
            tokens: Tokens of its prompt and longest answer; None when it doesn't name them.
        """
        if not self.in_tokens:
            return 1
        return self.plain_tokens if tokens is None else tokens


class FleetUsage(msgspec.Struct, frozen=True):
    """Usage of all nodes as reported to a node, itself included.

    Attributes:
        report: Usage, and the number of nodes in it.
        asked_at: Time up to which this node's own admissions are in it.
    """

    report: UsageReport
    asked_at: float


class QuotaDecision(msgspec.Struct, frozen=True):
    """Whether a request is admitted, and the figures behind the decision.

    Attributes:
        wait_seconds: Time until a request like it may be admitted; 0 when this one is.
        free_units: Units that this node may still admit.
        share: This node's share of the units left.
        used: Units that all nodes had admitted, as reported.
        nodes: Number of nodes in that report.
    """

    wait_seconds: float
    free_units: float
    share: float
    used: float
    nodes: int


class _TenantWindows:
    """Units admitted and offered for one tenant at this node."""

    def __init__(self, window_seconds: float) -> None:
        self.admitted = UsageWindow(window_seconds)
        self.offered = UsageWindow(DEMAND_SECONDS)
        self.draw_value = 1.0
        self.redraw_at = -float("inf")


class QuotaLedger:
    """One node's admissions, the reported usage of all nodes, and the decisions from both."""

    def __init__(self, bounds: QuotaBounds, now: float) -> None:
        """Start without any usage.

        Args:
            bounds: Operators' tolerance.
            now: Start of the process.
        """
        self._bounds = bounds
        self._started_at = now
        self._tenants: dict[str, _TenantWindows] = {}
        self._fleet: FleetUsage | None = None
        self._usage_by_tenant: dict[str, Usage] = {}

    def own_report(self, quotas: Mapping[str, TenantQuota], now: float, nodes: int) -> UsageReport:
        """Return this node's usage, to report to others.

        Args:
            quotas: Quotas by tenant.
            now: The time.
            nodes: Number of nodes that may be alive.
        """
        if now - self._started_at < self._bounds.window_seconds:
            for tenant in quotas:
                self._windows(tenant)
        usage = (
            Usage(
                tenant,
                round(
                    windows.admitted.total(now)
                    + self._usage_before_start(quotas[tenant], now, nodes)
                ),
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
        """Whether this process has received the usage of all nodes."""
        return self._fleet is not None

    def update_fleet_usage(self, fleet: FleetUsage) -> None:
        """Store the usage of all nodes; one that covers fewer nodes replaces it after a while."""
        current = self._fleet
        fewer = current is not None and fleet.report.nodes < current.report.nodes
        if (
            current is not None
            and fewer
            and fleet.asked_at - current.asked_at < COVERAGE_PREFERENCE_SECONDS
        ):
            return
        self._fleet = fleet
        self._usage_by_tenant = {each.name: each for each in fleet.report.usage}

    def admit(
        self, tenant: str, quota: TenantQuota, cost: int, now: float, nodes: int, draw: float
    ) -> QuotaDecision:
        """Admit and count a request, or return when to retry.

        Where a node's share is less than one request, it is admitted with a probability in
        proportion, so that of many nodes as many admit one as fit. One draw counts until the
        other nodes have its result.

        Args:
            tenant: Name of the tenant.
            quota: Its quota.
            cost: Units that the request counts.
            now: The time.
            nodes: Number of nodes that may be alive.
            draw: Random number, uniform between 0 and 1.
        """
        windows = self._windows(tenant)
        windows.offered.add(now, cost)
        share, used, unreported, reporting = self._fleet_state(tenant, quota, windows, now, nodes)
        part = min(1.0, reporting / max(1, nodes))
        free_units = share * (self._target(quota) * part - used) - unreported
        if now >= windows.redraw_at:
            windows.draw_value, windows.redraw_at = draw, now + DRAW_SECONDS
        if free_units > 0 and free_units >= windows.draw_value * cost:
            windows.admitted.add(now, cost)
            return QuotaDecision(0.0, free_units, share, used, reporting)
        refilled = max(share * part * quota.per_second, 1e-9)
        wait = (cost - free_units) / refilled
        wait = min(self._bounds.window_seconds, max(MIN_WAIT_SECONDS, wait))
        return QuotaDecision(wait, free_units, share, used, reporting)

    def refund(self, tenant: str, cost: int, now: float) -> None:
        """Stop counting a request that was admitted and has not run."""
        self._windows(tenant).admitted.add(now, -cost)

    def _fleet_state(
        self, tenant: str, quota: TenantQuota, windows: _TenantWindows, now: float, nodes: int
    ) -> tuple[float, float, float, int]:
        """Return this node's share, units used, own units not yet reported, and reporting nodes.

        A node that receives no reports counts as one node: it has an even part of the quota.
        """
        fleet = self._fleet
        if fleet is None or now - fleet.asked_at > MAX_USAGE_AGE_SECONDS:
            own = windows.admitted.total(now) + self._usage_before_start(quota, now, nodes)
            return 1.0, own, 0.0, 1
        reported = self._usage_by_tenant.get(tenant)
        offered = windows.offered.total(now)
        demand = max(offered, reported.offered if reported is not None else 0.0, 1.0)
        used = reported.admitted if reported is not None else 0.0
        unreported = windows.admitted.since(fleet.asked_at - REPORT_PROPAGATION_SECONDS)
        return min(1.0, offered / demand), used, unreported, fleet.report.nodes

    def _target(self, quota: TenantQuota) -> float:
        """Return the units that all nodes together may admit in a window."""
        promised = quota.per_second * self._bounds.window_seconds + quota.burst
        tolerated = promised * self._bounds.overshoot + self._bounds.slack
        return promised + TOLERANCE_FRACTION * tolerated

    def _usage_before_start(self, quota: TenantQuota, now: float, nodes: int) -> float:
        """Return the units that this node assumes for the part of the window before its start.

        It assumes its even part of the tenant's rate: if all nodes restart at once, they admit no
        more than the rate until a window has passed.
        """
        unknown = self._bounds.window_seconds - (now - self._started_at)
        return max(0.0, unknown) * quota.per_second / max(1, nodes)

    def _windows(self, tenant: str) -> _TenantWindows:
        """Return the windows of a tenant, created on first use."""
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
