"""Checks of what becomes of instances: under fatal requests, listed by others, in later lives."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from emulator.soak.history import Arrival, History
from emulator.soak.promises import Bounds, Check

QUARANTINED = b"request_quarantined"
"""Body of the refusal of a request that ends instances."""


def fatal_requests_end_few(history: History, bounds: Bounds) -> Iterable[str]:
    """Yield requests that reach instances too often after they have ended some."""
    ends: dict[str, list[float]] = defaultdict(list)
    for end in history.ends:
        ends[end.fatal].append(end.at)
    arrivals: dict[str, list[Arrival]] = defaultdict(list)
    for arrival in history.arrivals:
        request = history.requests.get(arrival.request_id)
        if request is not None and request.fatal:
            arrivals[request.fatal].append(arrival)
    for fatal, times in ends.items():
        if len(times) < bounds.fatal_ends:
            continue
        bounded_from = sorted(times)[bounds.fatal_ends - 1] + bounds.contact
        late = [
            arrival
            for arrival in arrivals[fatal]
            if arrival.at > bounded_from
            and history.bounded(
                history.requests[arrival.request_id].node, arrival.at - bounds.contact, arrival.at
            )
        ]
        if len(late) > bounds.fatal_retries:
            yield f"{fatal} reached instances {len(late)} times more, {len(times)} ended in all"


def honest_requests_are_not_quarantined(history: History, _bounds: Bounds) -> Iterable[str]:
    """Yield requests that were refused as if they ended instances."""
    for request in history.requests.values():
        if not request.fatal and request.body == QUARANTINED:
            yield f"{request.kind} {request.request_id} was quarantined by {request.node}"


def untrusted_entries_lead_nowhere(history: History, _bounds: Bounds) -> Iterable[str]:
    """Yield what came where only an entry leads that names no instance."""
    yield from (f"{what} was sent by an entry that can't be trusted" for what in history.decoyed)


def weights_reach_all_engines(history: History, bounds: Bounds) -> Iterable[str]:
    """Yield listed engines that were there all the time and lack the newest weights."""
    if not history.namings:
        return
    newest = history.namings[-1]
    for instance in history.listed:
        behind = instance.version and instance.version < newest.version
        settled = instance.since < newest.at + bounds.contact
        if behind and settled:
            yield f"{instance.instance_id} has version {instance.version} of {newest.version}"


INSTANCE_CHECKS: dict[str, Check] = {
    "fatal requests": fatal_requests_end_few,
    "honest requests": honest_requests_are_not_quarantined,
    "untrusted entries": untrusted_entries_lead_nowhere,
    "weights everywhere": weights_reach_all_engines,
}
