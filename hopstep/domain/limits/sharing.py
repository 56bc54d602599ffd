"""One router's part in sharing tenants' limits: as a holder of leases and as an owner.

Without I/O: takes the time, the live routers and demands, returns messages. A router reports the
part that it wants of each tenant's limits to the owner, one message for all tenants of one owner,
and the owner answers with leases.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping

import msgspec

from hopstep.domain.limits.leases import LeaseHolder, LimitLedger
from hopstep.domain.limits.owners import LimitOwners
from hopstep.domain.peer_message import LimitDemand, LimitGrant, LimitReport

MAX_DEMANDS_IN_REPORT = 24
"""Maximum number of tenants in one report, so that it fits into a datagram."""

REPORT_RATIO = 0.5
"""Fraction of its floor above which a tenant's demand at this router is reported."""

ALWAYS_REPORTED = 64
"""Number of tenants up to which idle ones are reported too, so that they start with an even
share."""

SOON_RATIO = 0.5
"""Fraction of the renewal time after which a tenant is added to a report that is made anyway."""

MAX_PENDING_REPORTS = 1_024
"""Number of latest reports whose answers are still accepted."""

NOT_OWNED = -1
"""Part in an answer for a tenant whose limits another router owns: the lease stays as it is."""


class AddressedReport(msgspec.Struct, frozen=True):
    """A report and the router that it is for."""

    owner: str
    report: LimitReport


class _Address(msgspec.Struct, frozen=True):
    """Owner and lease length of tenants that one answer can cover."""

    owner: str
    lease_seconds: float


class LimitSharing:
    """Held leases, granted leases and tenant groups of one router."""

    def __init__(self, own_name: str, now: float) -> None:
        """Start without any lease.

        Args:
            own_name: Name of this router.
            now: Time in seconds.
        """
        self._own_name = own_name
        self._holder = LeaseHolder()
        self._ledger = LimitLedger()
        self._live_routers = frozenset({own_name})
        self._known_routers = 1
        self._all_routers = LimitOwners(own_name, now)
        self._groups: dict[frozenset[str], LimitOwners] = {}
        self._admitted: Mapping[str, frozenset[str]] = {}
        self._tenants: Counter[frozenset[str]] = Counter()
        self._unsettled_until: dict[str, float] = {}
        self._number = 0
        self._latest: dict[str, tuple[int, int]] = {}
        self._pending: dict[int, tuple[str, ...]] = {}

    def update_routers(self, now: float, live_routers: Iterable[str], known_routers: int) -> None:
        """Update the routers.

        Args:
            now: Time in seconds.
            live_routers: Routers that take new work.
            known_routers: Number of known routers, dead ones included.
        """
        self._live_routers = frozenset(live_routers)
        self._known_routers = max(known_routers, len(self._live_routers))
        everyone = self._tenants[frozenset()]
        self._all_routers.update(now, self._live_routers, self._known_routers, everyone)
        for admitted, group in self._groups.items():
            self._update_group(now, admitted, group)

    def set_admitted(self, now: float, admitted: Mapping[str, frozenset[str]]) -> None:
        """Set the routers that may serve each tenant by a new configuration.

        Args:
            now: Time in seconds.
            admitted: Router names by tenant; an empty set means any router.
        """
        longest = max(group.learning_seconds for group in self._all_groups())
        for tenant, routers in self._admitted.items():
            if admitted.get(tenant, routers) != routers:
                self._unsettled_until[tenant] = now + longest
        self._admitted = admitted
        self._tenants = Counter(admitted.values())
        self._groups = {
            routers: self._groups.get(routers) or LimitOwners(self._own_name, now)
            for routers in self._tenants
            if routers
        }
        for routers, group in self._groups.items():
            self._update_group(now, routers, group)

    def part(self, tenant: str, now: float) -> int:
        """Return the millionths of a tenant's limits that this router may use."""
        return self.floor_part(tenant, now) + self._holder.part(tenant, now)

    def floor_part(self, tenant: str, now: float) -> int:
        """Return the millionths that this router may use without a lease."""
        return self._group(tenant).floor_part(now)

    def smoothing_seconds(self, tenant: str) -> float:
        """Return the time constant for a tenant's demand."""
        return self._group(tenant).renewal_seconds

    def reports(self, now: float, wanted: dict[str, int]) -> Iterator[AddressedReport]:
        """Yield the reports that are due, most urgent first; own tenants are answered here.

        A report that is yielded counts as made. The caller stops when no more can be sent; the
        remaining reports are due at the next call.

        Args:
            now: Time in seconds.
            wanted: Part of its limits that each tenant wants here, in millionths.
        """
        wanted = self._worth_reporting(now, wanted)
        self._forget(now, wanted)
        by_owner = self._by_owner(now, wanted)
        for address in [key for key in by_owner if key.owner == self._own_name]:
            for report in self._in_reports(now, by_owner.pop(address), wanted):
                self.take(self._answer(now, self._own_name, report))
        for address, tenants in by_owner.items():
            for report in self._in_reports(now, tenants, wanted):
                yield AddressedReport(address.owner, report)

    def answer(
        self, now: float, router: str, incarnation: int, report: LimitReport
    ) -> LimitGrant | None:
        """Return the answer to a report, or None when a later one was received before it.

        Args:
            now: Time in seconds.
            router: Name of the reporting router.
            incarnation: Its incarnation.
            report: The report.
        """
        order = (incarnation, report.number)
        if order <= self._latest.get(router, (-1, -1)):
            return None
        self._latest[router] = order
        return self._answer(now, router, report)

    def take(self, grant: LimitGrant) -> None:
        """Apply an owner's answer; late and repeated ones change nothing."""
        tenants = self._pending.pop(grant.number, ())
        for tenant, part in zip(tenants, grant.parts, strict=False):
            if part != NOT_OWNED:
                self._holder.take(grant.number, tenant, part, grant.lease_seconds)

    def _group(self, tenant: str) -> LimitOwners:
        return self._groups.get(self._admitted.get(tenant, frozenset()), self._all_routers)

    def _knows_all_leases(self, tenant: str, group: LimitOwners, now: float) -> bool:
        """Return whether the leases of an earlier owner have expired or are in the ledger."""
        if self._is_unsettled(tenant, now):
            # Routers that may no longer serve it hold leases and don't report them here.
            return False
        since = group.owner_since(tenant)
        if now - since >= group.learning_seconds:
            return True
        admitted = self._admitted.get(tenant)
        if not admitted or now - since < group.renewal_seconds:
            return False
        return admitted <= self._ledger.reporters(tenant, since)

    def _is_unsettled(self, tenant: str, now: float) -> bool:
        """Return whether leases of a tenant's earlier group may still be in force."""
        return now < self._unsettled_until.get(tenant, now)

    def _update_group(self, now: float, admitted: frozenset[str], group: LimitOwners) -> None:
        live = self._live_routers & admitted
        group.update(now, live, len(admitted), self._tenants[admitted])

    def _worth_reporting(self, now: float, wanted: dict[str, int]) -> dict[str, int]:
        if len(wanted) <= ALWAYS_REPORTED:
            return wanted
        least = {group: group.floor_part(now) * REPORT_RATIO for group in self._all_groups()}
        return {
            tenant: part for tenant, part in wanted.items() if part > least[self._group(tenant)]
        }

    def _all_groups(self) -> Iterator[LimitOwners]:
        yield self._all_routers
        yield from self._groups.values()

    def _forget(self, now: float, reported: Iterable[str]) -> None:
        self._holder.forget_except(now, reported)
        self._ledger.forget_expired(now)
        for tenant in [key for key in self._unsettled_until if not self._is_unsettled(key, now)]:
            del self._unsettled_until[tenant]
        if len(self._latest) > 2 * self._known_routers:
            self._latest = {
                name: order for name, order in self._latest.items() if name in self._live_routers
            }
        for number in [old for old in self._pending if old <= self._number - MAX_PENDING_REPORTS]:
            del self._pending[number]

    def _by_owner(self, now: float, wanted: dict[str, int]) -> dict[_Address, list[str]]:
        """Return the tenants to report by owner; owners of leases that expire first come first.

        A report that is made anyway includes the tenants that would be due soon.
        """
        due = self._due(now, wanted, 1.0)
        if not due:
            return {}
        due.sort(key=lambda name: (self._holder.ends_at(name), -wanted[name]))
        by_owner: dict[_Address, list[str]] = {}
        for tenant in due:
            by_owner.setdefault(self._address(tenant), []).append(tenant)
        included = set(due)
        for tenant in self._due(now, wanted, SOON_RATIO):
            address = self._address(tenant)
            if tenant not in included and address in by_owner:
                by_owner[address].append(tenant)
        return by_owner

    def _due(self, now: float, wanted: dict[str, int], ratio: float) -> list[str]:
        """Return the tenants whose last report is older than ``ratio`` of the renewal time."""
        interval = {group: ratio * group.renewal_seconds for group in self._all_groups()}
        return [
            tenant
            for tenant, part in wanted.items()
            if self._holder.is_due(tenant, part, now, interval[self._group(tenant)])
        ]

    def _address(self, tenant: str) -> _Address:
        group = self._group(tenant)
        return _Address(group.owner(tenant), group.lease_seconds)

    def _in_reports(
        self, now: float, tenants: list[str], wanted: dict[str, int]
    ) -> Iterator[LimitReport]:
        """Yield reports of tenants of one owner, each made only when it is requested."""
        for start in range(0, len(tenants), MAX_DEMANDS_IN_REPORT):
            batch = tenants[start : start + MAX_DEMANDS_IN_REPORT]
            self._number += 1
            demands = [self._holder.ask(now, self._number, name, wanted[name]) for name in batch]
            self._pending[self._number] = tuple(batch)
            yield LimitReport(self._number, tuple(demands))

    def _answer(self, now: float, router: str, report: LimitReport) -> LimitGrant:
        groups = [self._group(demand.tenant) for demand in report.demands]
        # The shortest: a holder's lease must never be longer than the one in the ledger.
        seconds = min((group.lease_seconds for group in groups), default=0.0)
        parts = tuple(self._part(now, router, demand) for demand in report.demands)
        return LimitGrant(report.number, seconds, parts)

    def _part(self, now: float, router: str, demand: LimitDemand) -> int:
        tenant, group = demand.tenant, self._group(demand.tenant)
        if group.owner(tenant) != self._own_name:
            return NOT_OWNED
        return self._ledger.grant(
            now,
            router,
            demand,
            routers=group.routers,
            lease_seconds=group.lease_seconds,
            settled=self._knows_all_leases(tenant, group, now),
        )
