"""Checks that nodes keep and use the rate limits that instances announce in their responses."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Sequence

import msgspec

from emulator.soak.history import History
from emulator.soak.instance_records import IncarnationPeriod, LimitChange
from emulator.soak.link_checks import has_linked_node
from emulator.soak.promises import Bounds, Check
from emulator.soak.request_records import Arrival, SentRequest

CHANGED = b"configuration_changed"
"""Body of the refusal of a request that was judged by a configuration of before."""

REFUSED = 503


class LimitPeriod(msgspec.Struct, frozen=True):
    """A period in which an incarnation of an instance announces limits without interruption.

    Attributes:
        incarnation: Instance id and start of the incarnation.
        changes: The limits that it announces, the first one at the start of the period.
        until: When it lifts the limit or ends.
    """

    incarnation: str
    changes: tuple[LimitChange, ...]
    until: float

    @property
    def since(self) -> float:
        """Start of the period."""
        return self.changes[0].at

    def capacity(self, since: float, until: float) -> float:
        """Return the number of requests that the limits allow between two times."""
        total = 0.0
        ends = [*(change.at for change in self.changes[1:]), self.until]
        for change, end in zip(self.changes, ends, strict=True):
            seconds = min(until, end) - max(since, change.at)
            total += max(0.0, seconds) * (change.per_second or 0.0)
        return total


def limits_are_kept(history: History, bounds: Bounds) -> Iterable[str]:
    """Yield windows in which an instance got more than its limit allows.

    Requests for reports and orders count, and requests of nodes that passed on a response with the
    limit half a second or more before. Requests of a node that was interrupted since don't count.
    """
    arrivals = _arrivals_by_incarnation(history)
    for period in limit_periods(history):
        counted = _counted(history, period, arrivals[period.incarnation], bounds)
        for last, at in enumerate(counted):
            within = sum(at - bounds.limit_window < other <= at for other in counted[: last + 1])
            allowed = bounds.limit_factor * period.capacity(at - bounds.limit_window, at)
            allowed += bounds.limit_extra
            if at >= period.since + bounds.settling and within > allowed:
                yield (
                    f"{period.incarnation} got {within} requests by {at:.2f}, {allowed:.1f} allowed"
                )
                break


def limits_are_used(history: History, bounds: Bounds) -> Iterable[str]:
    """Yield periods without faults in which callers were refused and a limit wasn't used up."""
    arrivals = _arrivals_by_incarnation(history)
    services = {lifetime.incarnation: lifetime.service for lifetime in history.instances}
    for period in limit_periods(history):
        since, until = period.since + bounds.settling, period.until
        if until - since < bounds.limit_window or _any_fault(history, period.since, until):
            continue
        capacity = period.capacity(since, until)
        refused = _refused(history, services.get(period.incarnation, ""), since, until)
        sent = sum(since <= arrival.at <= until for arrival in arrivals[period.incarnation])
        if refused > capacity and sent < bounds.limit_used * capacity - bounds.limit_missed:
            yield f"{period.incarnation} got {sent} of {capacity:.1f}, and {refused} were refused"


def refused_only_without_free_capacity(history: History, bounds: Bounds) -> Iterable[str]:
    """Yield requests that reached no instance although one of their service had free capacity.

    Only plain services are checked: an engine may be loading weights. Nothing is free while no node
    has its links to instances. Requests that are sent slowly, or refused for a change of the
    configuration, have checks of their own.
    """
    reached = {arrival.request_id for arrival in history.arrivals}
    for request in history.requests.values():
        ended_at = request.ended_at
        refused = request.status == REFUSED and not request.fatal and not request.path
        refused = refused and not request.sent_slowly and request.body != CHANGED
        if not refused or ended_at is None or request.request_id in reached:
            continue
        since = request.sent_at - bounds.settling
        if not history.time_bounds_apply(request.node, since, ended_at):
            continue
        if not has_linked_node(history, since, ended_at):
            continue
        free = _free_instances(history, request, since, ended_at)
        if free:
            yield f"{request.request_id} was refused while {free[0]} was free"


def limit_periods(history: History) -> list[LimitPeriod]:
    """Return the periods in which incarnations of instances announce limits."""
    ends = {lifetime.incarnation: lifetime.until for lifetime in history.instances}
    changes: dict[str, list[LimitChange]] = defaultdict(list)
    periods = []
    for change in history.limits:
        if change.per_second is not None:
            changes[change.incarnation].append(change)
        elif change.incarnation in changes:
            periods.append(
                LimitPeriod(change.incarnation, tuple(changes.pop(change.incarnation)), change.at)
            )
    for incarnation, named in changes.items():
        periods.append(LimitPeriod(incarnation, tuple(named), ends.get(incarnation, float("inf"))))
    return periods


def _counted(
    history: History, period: LimitPeriod, arrivals: Sequence[Arrival], bounds: Bounds
) -> list[float]:
    """Return the arrival times of the requests that count towards a limit, in order."""
    announced = _announced_at(history, period)
    times = []
    for arrival in arrivals:
        if not period.since <= arrival.at <= period.until:
            continue
        request = history.requests.get(arrival.request_id)
        if request is None:
            times.append(arrival.at)
            continue
        since = announced.get(request.node, float("inf"))
        bound = arrival.at >= since + bounds.in_flight
        if bound and not history.interrupted(request.node, since, arrival.at):
            times.append(arrival.at)
    return times


def _announced_at(history: History, period: LimitPeriod) -> dict[str, float]:
    """Return when each node first passed on a response with a limit of the period."""
    announced: dict[str, float] = {}
    for notice in history.notices:
        request = history.requests.get(notice.request_id)
        named = notice.incarnation == period.incarnation and notice.limit is not None
        if not named or request is None or request.head_at is None:
            continue
        if period.since <= notice.at <= period.until:
            announced[request.node] = min(
                announced.get(request.node, float("inf")), request.head_at
            )
    return announced


def _any_fault(history: History, since: float, until: float) -> bool:
    """Return whether there was any fault between two times."""
    return any(fault.since <= until and fault.until >= since for fault in history.disturbances)


def _refused(history: History, service: str, since: float, until: float) -> int:
    """Return how many requests for a service were refused between two times."""
    return sum(
        request.service == service
        and request.status == REFUSED
        and request.ended_at is not None
        and since <= request.ended_at <= until
        for request in history.requests.values()
    )


def _free_instances(
    history: History, request: SentRequest, since: float, until: float
) -> list[str]:
    """Return the undisturbed plain instances of a request's service that sent no notice.

    Their own entries are in the store: nodes use no instance by what another writer says.
    """
    return [
        lifetime.incarnation
        for lifetime in history.instances
        if lifetime.service == request.service
        and lifetime.is_plain
        and lifetime.since <= since
        and lifetime.until >= until
        and history.is_listed(instance_id_of(lifetime.incarnation), since, until)
        and not _disturbed_or_announced(history, lifetime, since, until)
    ]


def _disturbed_or_announced(
    history: History, instance: IncarnationPeriod, since: float, until: float
) -> bool:
    """Return whether an instance had a fault in a period, or announced anything by its end."""
    incarnation, instance_id = instance.incarnation, instance_id_of(instance.incarnation)
    return (
        history.disturbed(instance_id, since, until)
        or any(
            notice.incarnation == incarnation and notice.at <= until for notice in history.notices
        )
        or any(
            leaving.incarnation == incarnation and leaving.at <= until
            for leaving in history.drain_starts
        )
    )


def instance_id_of(incarnation: str) -> str:
    """Return the id of an instance, which its incarnation begins with."""
    return incarnation.partition("@")[0]


def _arrivals_by_incarnation(history: History) -> dict[str, list[Arrival]]:
    """Return the requests that reached each incarnation of an instance, in order."""
    arrivals: dict[str, list[Arrival]] = defaultdict(list)
    for arrival in history.arrivals:
        arrivals[arrival.incarnation].append(arrival)
    return arrivals


LIMIT_CHECKS: dict[str, Check] = {
    "limit": limits_are_kept,
    "limit used": limits_are_used,
    "refused with room": refused_only_without_free_capacity,
}
