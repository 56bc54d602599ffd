"""Checks that sound requests are served while others share a part that crashes instances."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from emulator.soak.callers import shared_part
from emulator.soak.deployment import ENGINES
from emulator.soak.history import History
from emulator.soak.promises import Bounds, Check
from emulator.soak.request_records import SentRequest

PART_QUARANTINED = b"prompt_part_quarantined"
"""Body of the refusal of a request with a part that crashes instances."""

MIN_COMPARED = 20
"""Requests at each side without which shares say nothing."""

LEAST_SHARE = 0.5
OK_STATUS = 200

RELEASE_SECONDS = 12.0
"""Time from the last crash until a part that is refused without cause must be released."""

MIN_TERMINATIONS = 3
"""Crashes under a part without which it must not be refused."""


def sound_requests_begin(history: History, bounds: Bounds) -> Iterable[str]:
    """Yield fatal parts during whose requests too few sound ones with their key began."""
    sound = [request for request in history.requests.values() if _is_compared(history, request)]
    periods = _refused_periods(history, bounds)
    undisturbed = [
        request
        for request in sound
        if not _is_near_crash(history, request, bounds)
        and not any(since <= request.sent_at <= until for since, until in periods.values())
    ]
    for part, (since, until) in periods.items():
        keys = {r.key for r in history.requests.values() if r.fatal == part}
        beside = [r for r in sound if since <= r.sent_at <= until and r.key in keys]
        others = [r for r in undisturbed if r.key in keys]
        if min(len(beside), len(others)) < MIN_COMPARED:
            continue
        share, usual = _begun_share(beside), _begun_share(others)
        if share < LEAST_SHARE * usual:
            yield f"{part}: {share:.2f} of {len(beside)} began, {usual:.2f} of {len(others)} before"


def sound_parts_are_not_quarantined(history: History, bounds: Bounds) -> Iterable[str]:
    """Yield sound requests that were refused for a part although nodes could know it is harmless.

    A part of which no node has seen an answer can't be told from a fatal one when instances have
    just crashed under three requests with it; it is refused until its trial. Nodes know what others
    have seen once reports have reached them, and try again what the store lets them.
    """
    requests = history.requests.values()
    refused = [r for r in requests if not r.fatal and r.body == PART_QUARANTINED]
    answered = _answered(history) if refused else {}
    for request in refused:
        if not _is_in_touch(history, request.node, request):
            continue
        known = any(
            _ended_at(earlier) < request.sent_at
            and not history.restarted(earlier.node, earlier.sent_at, _ended_at(request))
            and _is_in_touch(history, earlier.node, request)
            for earlier in answered.get(_part_of(history, request), ())
        )
        if known or not _crashed_lately(history, request):
            yield f"{request.kind} {request.request_id} was refused for a part by {request.node}"


def _is_in_touch(history: History, node: str, refused: SentRequest) -> bool:
    """Return whether a node had no faults since the crashes for which a request was refused."""
    since = refused.sent_at - RELEASE_SECONDS
    return history.time_bounds_apply(node, since, _ended_at(refused))


def _refused_periods(history: History, bounds: Bounds) -> dict[str, tuple[float, float]]:
    """Return for each fatal part when its requests must be refused, and while they come."""
    crashes: dict[str, list[float]] = defaultdict(list)
    for end in history.fatal_terminations:
        crashes[end.fatal].append(end.at)
    sent: dict[str, list[float]] = defaultdict(list)
    for request in history.requests.values():
        if request.has_fatal_part:
            sent[request.fatal].append(request.sent_at)
    return {
        part: (
            sorted(times)[: bounds.max_part_terminations][-1] + 2 * bounds.settling,
            max(sent[part]),
        )
        for part, times in crashes.items()
        if sent[part]
    }


def _is_compared(history: History, request: SentRequest) -> bool:
    """Return whether a request is a sound first try at an engine, by a node in touch."""
    revoked = {revocation.key for revocation in history.revocations}
    if request.service != ENGINES or request.fatal or request.path or request.resumes:
        return False
    if request.left or request.refused_connection or request.key in revoked:
        return False
    return history.time_bounds_apply(request.node, request.sent_at - 1.0, _ended_at(request))


def _is_near_crash(history: History, request: SentRequest, bounds: Bounds) -> bool:
    """Return whether instances crashed under a fatal request shortly before a request or during."""
    return any(
        request.sent_at - bounds.settling <= end.at <= _ended_at(request)
        for end in history.fatal_terminations
    )


def _answered(history: History) -> dict[tuple[str, str], list[SentRequest]]:
    """Return the sound requests with complete answers, by the part that they share."""
    answered: dict[tuple[str, str], list[SentRequest]] = defaultdict(list)
    for request in history.requests.values():
        if request.service == ENGINES and _is_answered(request):
            answered[_part_of(history, request)].append(request)
    return answered


def _is_answered(request: SentRequest) -> bool:
    """Return whether a sound request got a complete answer."""
    return request.status == OK_STATUS and request.whole and not request.fatal


def _part_of(history: History, request: SentRequest) -> tuple[str, str]:
    """Return the shared part of a sound request, with the tenants that it is shared by."""
    tenant = history.tenants.get(request.key, "")
    return tenant if tenant in history.isolated else "", shared_part(request)


def _crashed_lately(history: History, request: SentRequest) -> bool:
    """Return whether enough instances had crashed, the last one a short time before a request."""
    earlier = [end.at for end in history.fatal_terminations if end.at <= _ended_at(request)]
    latest = max(earlier, default=-float("inf"))
    return len(earlier) >= MIN_TERMINATIONS and latest >= request.sent_at - RELEASE_SECONDS


def _begun_share(requests: list[SentRequest]) -> float:
    """Return the share of requests whose answers began."""
    return sum(request.received > 0 for request in requests) / len(requests)


def _ended_at(request: SentRequest) -> float:
    """Return when a request ended; infinite while it runs."""
    return request.ended_at if request.ended_at is not None else float("inf")


PART_CHECKS: dict[str, Check] = {
    "sound requests beside fatal parts": sound_requests_begin,
    "sound parts": sound_parts_are_not_quarantined,
}
