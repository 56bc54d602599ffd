"""Checks of requests that are under way while the configuration changes."""

from __future__ import annotations

from collections.abc import Iterable

from emulator.exchange_platform.instance_requests import PASSED_ON
from emulator.soak.callers import body_of, headers_of, path_of, shared_part
from emulator.soak.history import History
from emulator.soak.limit_checks import CHANGED
from emulator.soak.operators import USUAL_BODY_BYTES
from emulator.soak.promises import Bounds, Check
from emulator.soak.recorder import digest_of
from emulator.soak.request_records import ReceivedRequest, Run, SentRequest

METHOD = "POST"
TOO_LONG = 413


def requests_arrive_unchanged(history: History, _bounds: Bounds) -> Iterable[str]:
    """Yield runs whose method, target, body or passed-on headers aren't what the caller sent."""
    for run in history.runs:
        request = history.requests.get(run.request_id)
        if request is None or run.received is None:
            continue
        sent = sent_request(request)
        for field in ReceivedRequest.__struct_fields__:
            was_sent, received = getattr(sent, field), getattr(run.received, field)
            if was_sent != received:
                yield f"{run.request_id} ran with the {field} {received!r}, {was_sent!r} was sent"


def sent_request(request: SentRequest) -> ReceivedRequest:
    """Return what an instance should get of a request."""
    headers = headers_of(request)
    passed_on = tuple(headers.get(name, "") for name in PASSED_ON)
    return ReceivedRequest(METHOD, path_of(request), digest_of(body_of(request)), passed_on)


def isolated_segments_are_not_shared(history: History, bounds: Bounds) -> Iterable[str]:
    """Yield runs that found a cached segment of another tenant while either was isolated."""
    makers: dict[tuple[str, str, str], str] = {}
    for run in history.runs:
        request = history.requests.get(run.request_id)
        if request is None or not run.salt:
            continue
        part = shared_part(request)
        maker = makers.setdefault((run.incarnation, run.salt, part), run.tenant)
        for tenant in {maker, run.tenant} if maker != run.tenant else ():
            if _is_isolated(history, tenant, request, run, bounds):
                yield (
                    f"{run.request_id} of {run.tenant} read part {part} of {maker} at "
                    f"{run.instance_id}, and {tenant} is isolated"
                )


def _is_isolated(
    history: History, tenant: str, request: SentRequest, run: Run, bounds: Bounds
) -> bool:
    """Return whether a tenant was isolated for long enough when a request was sent, and since."""
    since = request.sent_at - bounds.configuration
    changes = [change for change in history.isolation_changes if change.tenant == tenant]
    before = [change.isolated for change in changes if change.at <= since]
    is_isolated = before[-1] if before else tenant in history.isolated
    is_lasting = not any(since < change.at <= run.at for change in changes)
    in_touch = _is_in_touch(history, request, run.at, bounds)
    return is_isolated and is_lasting and in_touch


def _is_in_touch(history: History, request: SentRequest, until: float, bounds: Bounds) -> bool:
    """Return whether a request's node had no fault before it and until a time."""
    return history.time_bounds_apply(request.node, request.sent_at - bounds.settling, until)


def body_limits_are_in_force(history: History, bounds: Bounds) -> Iterable[str]:
    """Yield bodies that were too long for no limit, or ran although too long for all."""
    runs = {run.request_id: run for run in history.runs}
    for request in history.requests.values():
        if not request.sent_slowly or request.ended_at is None:
            continue
        if not _is_in_touch(history, request, request.ended_at, bounds):
            continue
        size = len(body_of(request))
        run = runs.get(request.request_id)
        until = request.ended_at if run is None else run.at
        limits = _limits(history, request.sent_at - bounds.configuration, until)
        if request.status == TOO_LONG and size <= min(limits):
            yield f"{request.request_id} of {size} bytes was too long, limits {limits}"
        if run is not None and size > max(limits):
            yield f"{request.request_id} of {size} bytes ran, limits {limits}"


def _limits(history: History, since: float, until: float) -> list[int]:
    """Return the limits on bodies that may be in force between two times."""
    before = [limit.max_bytes for limit in history.body_limits if limit.at <= since]
    during = [limit.max_bytes for limit in history.body_limits if since < limit.at <= until]
    return [before[-1] if before else USUAL_BODY_BYTES, *during]


def refusals_for_changes_follow_changes(history: History, bounds: Bounds) -> Iterable[str]:
    """Yield requests that were refused for a change of the configuration without any."""
    changes = [
        *(change.at for change in history.key_moves),
        *(change.at for change in history.body_limits),
        *(change.at for change in history.redirects),
    ]
    for request in history.requests.values():
        if request.body != CHANGED or request.ended_at is None:
            continue
        since, until = request.sent_at - bounds.configuration, request.ended_at
        if any(since <= at <= until for at in changes):
            continue
        if _is_in_touch(history, request, until, bounds):
            yield f"{request.request_id} was refused for a change by {request.node}"


CHANGE_CHECKS: dict[str, Check] = {
    "unchanged requests": requests_arrive_unchanged,
    "isolated segments": isolated_segments_are_not_shared,
    "body limits": body_limits_are_in_force,
    "refused for changes": refusals_for_changes_follow_changes,
}
