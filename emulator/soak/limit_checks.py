"""Checks of what nodes do after instances have named limits in their answers."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Sequence

import msgspec

from emulator.soak.history import Arrival, History, IncarnationPeriod, LimitChange, SentRequest
from emulator.soak.promises import Bounds, Check

REFUSED = 503


class LimitPeriod(msgspec.Struct, frozen=True):
    """The time in which a life of an instance names limits.

    Attributes:
        incarnation: The instance and its start.
        changes: The limits that it names, the first one at the begin.
        until: When it names none any more, or has ended.
    """

    incarnation: str
    changes: tuple[LimitChange, ...]
    until: float

    @property
    def since(self) -> float:
        """When it first named a limit."""
        return self.changes[0].at

    def capacity(self, since: float, until: float) -> float:
        """Return the requests that the limits take within a time."""
        total = 0.0
        ends = [*(change.at for change in self.changes[1:]), self.until]
        for change, end in zip(self.changes, ends, strict=True):
            seconds = min(until, end) - max(since, change.at)
            total += max(0.0, seconds) * (change.per_second or 0.0)
        return total


def limits_are_kept(history: History, bounds: Bounds) -> Iterable[str]:
    """Yield windows in which an instance got more than its limit allows.

    Counted are reports and orders, and requests of nodes that had passed an answer with the limit
    on half a second before; a node that was interrupted since is excused, the others aren't.
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
    """Yield times without any fault in which callers were refused and a limit wasn't used."""
    arrivals = _arrivals_by_incarnation(history)
    services = {instance.incarnation: instance.service for instance in history.instances}
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
    """Yield requests that were refused at once although an instance of their service was free.

    Only plain services: an engine may load weights.
    """
    reached = {arrival.request_id for arrival in history.arrivals}
    for request in history.requests.values():
        ended_at = request.ended_at
        refused = request.status == REFUSED and not request.fatal and not request.path
        if not refused or ended_at is None or request.request_id in reached:
            continue
        since = request.sent_at - bounds.settling
        if not history.time_bounds_apply(request.node, since, ended_at):
            continue
        free = _free_instances(history, request, since, ended_at)
        if free:
            yield f"{request.request_id} was refused while {free[0]} was free"


def limit_periods(history: History) -> list[LimitPeriod]:
    """Return the times in which lives of instances name limits."""
    ends = {instance.incarnation: instance.until for instance in history.instances}
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
    """Return when requests came that count, in order."""
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
    """Return when each node first passed an answer on that names the limit."""
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
    """Return whether anything was disturbed within a time."""
    return any(fault.since <= until and fault.until >= since for fault in history.disturbances)


def _refused(history: History, service: str, since: float, until: float) -> int:
    """Return how many requests for a service were refused within a time."""
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
    """Return the plain instances of a request's service that were there and said nothing."""
    return [
        instance.incarnation
        for instance in history.instances
        if instance.service == request.service
        and instance.is_plain
        and instance.since <= since
        and instance.until >= until
        and not _disturbed_or_announced(history, instance, since, until)
    ]


def _disturbed_or_announced(
    history: History, instance: IncarnationPeriod, since: float, until: float
) -> bool:
    """Return whether an instance failed, left, rested or was limited at any time before an end."""
    incarnation, instance_id = instance.incarnation, instance.incarnation.partition("@")[0]
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


def _arrivals_by_incarnation(history: History) -> dict[str, list[Arrival]]:
    """Return what reached each life of an instance, in order."""
    arrivals: dict[str, list[Arrival]] = defaultdict(list)
    for arrival in history.arrivals:
        arrivals[arrival.incarnation].append(arrival)
    return arrivals


LIMIT_CHECKS: dict[str, Check] = {
    "limit": limits_are_kept,
    "limit used": limits_are_used,
    "refused with room": refused_only_without_free_capacity,
}
