"""Checks of what nodes do after instances have named limits in their answers."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Sequence

import msgspec

from emulator.soak.history import Arrival, History, InstanceTime, LimitChange, SentRequest
from emulator.soak.promises import Bounds, Check

REFUSED = 503


class LimitSpell(msgspec.Struct, frozen=True):
    """The time in which a life of an instance names limits.

    Attributes:
        life: The instance and its start.
        changes: The limits that it names, the first one at the begin.
        until: When it names none any more, or has ended.
    """

    life: str
    changes: tuple[LimitChange, ...]
    until: float

    @property
    def since(self) -> float:
        """When it first named a limit."""
        return self.changes[0].at

    def takes(self, since: float, until: float) -> float:
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
    arrivals = _by_life(history)
    for spell in limit_spells(history):
        counted = _counted(history, spell, arrivals[spell.life], bounds)
        for last, at in enumerate(counted):
            within = sum(at - bounds.limit_window < other <= at for other in counted[: last + 1])
            allowed = bounds.limit_factor * spell.takes(at - bounds.limit_window, at)
            allowed += bounds.limit_extra
            if at >= spell.since + bounds.contact and within > allowed:
                yield f"{spell.life} got {within} requests by {at:.2f}, {allowed:.1f} allowed"
                break


def limits_are_used(history: History, bounds: Bounds) -> Iterable[str]:
    """Yield times without any fault in which callers were refused and a limit wasn't used."""
    arrivals = _by_life(history)
    services = {life.life: life.service for life in history.instances}
    for spell in limit_spells(history):
        since, until = spell.since + bounds.contact, spell.until
        if until - since < bounds.limit_window or _any_fault(history, spell.since, until):
            continue
        takes = spell.takes(since, until)
        refused = _refused(history, services.get(spell.life, ""), since, until)
        sent = sum(since <= arrival.at <= until for arrival in arrivals[spell.life])
        if refused > takes and sent < bounds.limit_used * takes - bounds.limit_missed:
            yield f"{spell.life} got {sent} of {takes:.1f}, and {refused} were refused"


def refused_only_without_room(history: History, bounds: Bounds) -> Iterable[str]:
    """Yield requests that were refused at once although an instance of their service was free.

    Only plain services: an engine may load weights.
    """
    reached = {arrival.request_id for arrival in history.arrivals}
    for request in history.requests.values():
        ended_at = request.ended_at
        refused = request.status == REFUSED and not request.fatal and not request.path
        if not refused or ended_at is None or request.request_id in reached:
            continue
        since = request.sent_at - bounds.contact
        if not history.bounded(request.node, since, ended_at):
            continue
        free = _free_instances(history, request, since, ended_at)
        if free:
            yield f"{request.request_id} was refused while {free[0]} was free"


def limit_spells(history: History) -> list[LimitSpell]:
    """Return the times in which lives of instances name limits."""
    ends = {life.life: life.until for life in history.instances}
    changes: dict[str, list[LimitChange]] = defaultdict(list)
    spells = []
    for change in history.limits:
        if change.per_second is not None:
            changes[change.life].append(change)
        elif change.life in changes:
            spells.append(LimitSpell(change.life, tuple(changes.pop(change.life)), change.at))
    for life, named in changes.items():
        spells.append(LimitSpell(life, tuple(named), ends.get(life, float("inf"))))
    return spells


def _counted(
    history: History, spell: LimitSpell, arrivals: Sequence[Arrival], bounds: Bounds
) -> list[float]:
    """Return when requests came that count, in order."""
    told = _told(history, spell)
    times = []
    for arrival in arrivals:
        if not spell.since <= arrival.at <= spell.until:
            continue
        request = history.requests.get(arrival.request_id)
        if request is None:
            times.append(arrival.at)
            continue
        since = told.get(request.node, float("inf"))
        bound = arrival.at >= since + bounds.on_the_way
        if bound and not history.interrupted(request.node, since, arrival.at):
            times.append(arrival.at)
    return times


def _told(history: History, spell: LimitSpell) -> dict[str, float]:
    """Return when each node first passed an answer on that names the limit."""
    told: dict[str, float] = {}
    for word in history.words:
        request = history.requests.get(word.request_id)
        named = word.life == spell.life and word.limit is not None
        if not named or request is None or request.head_at is None:
            continue
        if spell.since <= word.at <= spell.until:
            told[request.node] = min(told.get(request.node, float("inf")), request.head_at)
    return told


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
        life.life
        for life in history.instances
        if life.service == request.service
        and life.is_plain
        and life.since <= since
        and life.until >= until
        and not _disturbed_or_said(history, life, since, until)
    ]


def _disturbed_or_said(
    history: History, instance: InstanceTime, since: float, until: float
) -> bool:
    """Return whether an instance failed, left, rested or was limited at any time before an end."""
    life, instance_id = instance.life, instance.life.partition("@")[0]
    return (
        history.disturbed(instance_id, since, until)
        or any(word.life == life and word.at <= until for word in history.words)
        or any(leaving.life == life and leaving.at <= until for leaving in history.leavings)
    )


def _by_life(history: History) -> dict[str, list[Arrival]]:
    """Return what reached each life of an instance, in order."""
    arrivals: dict[str, list[Arrival]] = defaultdict(list)
    for arrival in history.arrivals:
        arrivals[arrival.life].append(arrival)
    return arrivals


LIMIT_CHECKS: dict[str, Check] = {
    "limit": limits_are_kept,
    "limit used": limits_are_used,
    "refused with room": refused_only_without_room,
}
