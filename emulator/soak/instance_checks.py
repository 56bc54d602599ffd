"""Checks of fatal requests and their quarantine, of untrusted entries and of weights rollouts."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Set

from emulator.soak.callers import body_of, path_of
from emulator.soak.history import History
from emulator.soak.promises import Bounds, Check
from emulator.soak.request_records import Arrival, SentRequest

QUARANTINED = b"request_quarantined"
"""Body of the refusal of a request that crashes instances."""

RELEASE_SECONDS = 12.0
"""Time from the last crash until a wrongly quarantined request must be released.

A trial takes place after eight seconds; its complete response is then reported to the other nodes.
"""

SERVED = 200


def fatal_requests_end_few(history: History, bounds: Bounds) -> Iterable[str]:
    """Yield fatal requests that still reach instances after they have crashed several."""
    names = {r.fatal for r in history.requests.values() if r.fatal and not r.has_fatal_part}
    yield from _late_arrivals(history, bounds, names, bounds.max_fatal_terminations)


def fatal_parts_end_few(history: History, bounds: Bounds) -> Iterable[str]:
    """Yield parts of prompts that still reach instances after they have crashed several."""
    parts = {r.fatal for r in history.requests.values() if r.has_fatal_part}
    yield from _late_arrivals(history, bounds, parts, bounds.max_part_terminations)


def _late_arrivals(
    history: History, bounds: Bounds, names: Set[str], max_terminations: int
) -> Iterable[str]:
    """Yield what reached instances too often after it had crashed several.

    Args:
        history: Observations of the soak.
        bounds: The promised bounds.
        names: Names of fatal requests, or ids of fatal parts.
        max_terminations: Crashes from which arrivals are bounded.
    """
    ends: dict[str, list[float]] = defaultdict(list)
    for end in history.fatal_terminations:
        if end.fatal in names:
            ends[end.fatal].append(end.at)
    arrivals: dict[str, list[Arrival]] = defaultdict(list)
    for arrival in history.arrivals:
        request = history.requests.get(arrival.request_id)
        if request is not None and request.fatal:
            arrivals[request.fatal].append(arrival)
    for fatal, times in ends.items():
        if len(times) < max_terminations:
            continue
        bounded_from = sorted(times)[max_terminations - 1] + bounds.settling
        late = [
            arrival
            for arrival in arrivals[fatal]
            if arrival.at > bounded_from
            and history.time_bounds_apply(
                history.requests[arrival.request_id].node, arrival.at - bounds.settling, arrival.at
            )
        ]
        if len(late) > bounds.fatal_retries:
            yield f"{fatal} reached instances {len(late)} times more, {len(times)} crashed in all"


def ordinary_requests_are_not_quarantined(history: History, bounds: Bounds) -> Iterable[str]:
    """Yield ordinary requests that were quarantined although nodes could know them to be harmless.

    A request without a complete response known to any node can't be distinguished from a fatal one
    when three instances have just crashed while it ran; it is refused until its trial.
    """
    for request in history.requests.values():
        if request.fatal or request.body != QUARANTINED:
            continue
        if not _instances_just_ended(history, request, bounds) or _is_known(history, request):
            yield f"{request.kind} {request.request_id} was quarantined by {request.node}"


def _instances_just_ended(history: History, request: SentRequest, bounds: Bounds) -> bool:
    """Return whether enough instances had crashed, the last one a short time before a request.

    The crashes may lie some time apart: nodes remember them for ten minutes.
    """
    earlier = [end for end in history.fatal_terminations if end.at <= _end_of(request)]
    latest = max((end.at for end in earlier), default=-float("inf"))
    current_instances = {end.incarnation for end in earlier}
    return (
        len(current_instances) >= bounds.max_fatal_terminations
        and latest >= request.sent_at - RELEASE_SECONDS
    )


def _is_known(history: History, request: SentRequest) -> bool:
    """Return whether a node sent a complete response to an equal request, and ran on since."""
    asked = _identity(history, request)
    return any(
        answered.status == SERVED
        and answered.whole
        and _end_of(answered) < request.sent_at
        and not answered.fatal
        and _identity(history, answered) == asked
        and not history.restarted(answered.node, answered.sent_at, _end_of(request))
        for answered in history.requests.values()
    )


def _identity(history: History, request: SentRequest) -> tuple[str, str, bytes]:
    """Return what identifies equal requests: tenant, path and body."""
    return history.tenants.get(request.key, ""), path_of(request), body_of(request)


def _end_of(request: SentRequest) -> float:
    """Return when a request ended; infinite while it runs."""
    return request.ended_at if request.ended_at is not None else float("inf")


def untrusted_entries_lead_nowhere(history: History, _bounds: Bounds) -> Iterable[str]:
    """Yield requests to the decoy address, to which only untrusted entries point."""
    yield from (f"{path} was sent because of an untrusted entry" for path in history.decoy_requests)


def weights_reach_all_engines(history: History, bounds: Bounds) -> Iterable[str]:
    """Yield engines that were listed long enough and still lack the newest weights."""
    if not history.weights_changes:
        return
    newest = history.weights_changes[-1]
    for instance in history.listed:
        outdated = instance.version and instance.version < newest.version
        settled = instance.since < newest.at + bounds.settling
        if outdated and settled:
            yield f"{instance.instance_id} has version {instance.version} of {newest.version}"


INSTANCE_CHECKS: dict[str, Check] = {
    "fatal requests": fatal_requests_end_few,
    "fatal parts": fatal_parts_end_few,
    "honest requests": ordinary_requests_are_not_quarantined,
    "untrusted entries": untrusted_entries_lead_nowhere,
    "weights everywhere": weights_reach_all_engines,
}
