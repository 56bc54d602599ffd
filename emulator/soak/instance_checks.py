"""Checks of what becomes of instances: under fatal requests, listed by others, in later lives."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from emulator.soak.callers import body_of, path_of
from emulator.soak.history import Arrival, History, SentRequest
from emulator.soak.promises import Bounds, Check

QUARANTINED = b"request_quarantined"
"""Body of the refusal of a request that ends instances."""

RELEASE_SECONDS = 12.0
"""After the last end: a refused request is tried again after eight, and its whole answer told."""

SERVED = 200


def fatal_requests_end_few(history: History, bounds: Bounds) -> Iterable[str]:
    """Yield requests that reach instances too often after they have ended some."""
    ends: dict[str, list[float]] = defaultdict(list)
    for end in history.fatal_terminations:
        ends[end.fatal].append(end.at)
    arrivals: dict[str, list[Arrival]] = defaultdict(list)
    for arrival in history.arrivals:
        request = history.requests.get(arrival.request_id)
        if request is not None and request.fatal:
            arrivals[request.fatal].append(arrival)
    for fatal, times in ends.items():
        if len(times) < bounds.max_fatal_terminations:
            continue
        bounded_from = sorted(times)[bounds.max_fatal_terminations - 1] + bounds.settling
        late = [
            arrival
            for arrival in arrivals[fatal]
            if arrival.at > bounded_from
            and history.time_bounds_apply(
                history.requests[arrival.request_id].node, arrival.at - bounds.settling, arrival.at
            )
        ]
        if len(late) > bounds.fatal_retries:
            yield f"{fatal} reached instances {len(late)} times more, {len(times)} ended in all"


def honest_requests_are_not_quarantined(history: History, bounds: Bounds) -> Iterable[str]:
    """Yield requests that were refused as if they ended instances, and could be told from those.

    One that was never answered whole, as far as any node can know, can't be told from a fatal one
    when three instances have just ended while it was under way; it is refused until it is tried.
    """
    for request in history.requests.values():
        if request.fatal or request.body != QUARANTINED:
            continue
        if not _instances_just_ended(history, request, bounds) or _is_known(history, request):
            yield f"{request.kind} {request.request_id} was quarantined by {request.node}"


def _instances_just_ended(history: History, request: SentRequest, bounds: Bounds) -> bool:
    """Return whether enough instances had ended, the last one a short time before a request.

    They may have ended some time apart: ends are remembered for ten minutes.
    """
    earlier = [end for end in history.fatal_terminations if end.at <= _end_of(request)]
    latest = max((end.at for end in earlier), default=-float("inf"))
    current_instances = {end.incarnation for end in earlier}
    return (
        len(current_instances) >= bounds.max_fatal_terminations
        and latest >= request.sent_at - RELEASE_SECONDS
    )


def _is_known(history: History, request: SentRequest) -> bool:
    """Return whether a node that has run on since then had answered an equal request whole."""
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
    """Return what equal requests share: caller, path and body."""
    return history.tenants.get(request.key, ""), path_of(request), body_of(request)


def _end_of(request: SentRequest) -> float:
    """Return when a request ended; infinite while it is under way."""
    return request.ended_at if request.ended_at is not None else float("inf")


def untrusted_entries_lead_nowhere(history: History, _bounds: Bounds) -> Iterable[str]:
    """Yield what came where only an entry leads that names no instance."""
    yield from (
        f"{what} was sent by an entry that can't be trusted" for what in history.decoy_requests
    )


def weights_reach_all_engines(history: History, bounds: Bounds) -> Iterable[str]:
    """Yield listed engines that were there all the time and lack the newest weights."""
    if not history.weights_changes:
        return
    newest = history.weights_changes[-1]
    for instance in history.listed:
        behind = instance.version and instance.version < newest.version
        settled = instance.since < newest.at + bounds.settling
        if behind and settled:
            yield f"{instance.instance_id} has version {instance.version} of {newest.version}"


INSTANCE_CHECKS: dict[str, Check] = {
    "fatal requests": fatal_requests_end_few,
    "honest requests": honest_requests_are_not_quarantined,
    "untrusted entries": untrusted_entries_lead_nowhere,
    "weights everywhere": weights_reach_all_engines,
}
