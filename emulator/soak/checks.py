"""Checks of the promises over a recorded history. Each check yields a text per violation."""

from __future__ import annotations

import itertools
from collections import Counter, defaultdict
from collections.abc import Iterable

from emulator.soak.answer_checks import ANSWER_CHECKS
from emulator.soak.change_checks import CHANGE_CHECKS
from emulator.soak.connection_checks import CONNECTION_CHECKS
from emulator.soak.disturbances import LEASES_EXPIRED_EARLY
from emulator.soak.history import History
from emulator.soak.instance_checks import INSTANCE_CHECKS
from emulator.soak.limit_checks import LIMIT_CHECKS
from emulator.soak.link_checks import LINK_CHECKS
from emulator.soak.notice_checks import NOTICE_CHECKS
from emulator.soak.operator_changes import RouteChange
from emulator.soak.order_checks import ORDER_CHECKS
from emulator.soak.part_checks import PART_CHECKS
from emulator.soak.promises import Bounds, Check, Violation
from emulator.soak.regress_checks import REGRESS_CHECKS
from emulator.soak.request_records import Arrival, RequestKind, Run, SentRequest
from emulator.soak.stop_checks import STOP_CHECKS
from emulator.soak.stream_checks import STREAM_CHECKS

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""HTTP statuses that state that the request wasn't executed."""

OK = 200
DENIAL_STATUSES = frozenset({401, 403, 404})
"""HTTP statuses that a node may send only if its configuration lacks the route or key."""

MAX_LATE_SECONDS = 0.75
"""Time after the caller's deadline in which a response may end, on an undisturbed node."""

RECOVERED_SHARE = 0.9
"""Share of requests that must be served after recovery."""

MAX_LATE_ARRIVALS = 3
"""Arrivals for callers that have left; a few requests may be in flight as the caller leaves."""

MAX_LATE_ENDS_SHARE = 0.25
"""Share of the runs for callers that left which may end late."""


def check_all(history: History, bounds: Bounds) -> list[Violation]:
    """Return all violations in a history."""
    return [
        Violation(name, detail)
        for name, check in CHECKS.items()
        for detail in check(history, bounds)
    ]


def at_most_once(history: History, _bounds: Bounds) -> Iterable[str]:
    """Yield requests that may run at most once and ran more often."""
    for request_id, runs in _runs_by_request(history).items():
        request = history.requests.get(request_id)
        if request is not None and request.kind.at_most_once and len(runs) > 1:
            where = [run.instance_id for run in runs]
            yield f"{request.kind} {request_id} ran {len(runs)} times, at {where}"


def not_run_is_true(history: History, _bounds: Bounds) -> Iterable[str]:
    """Yield requests that ran although their response states that they didn't."""
    runs = _runs_by_request(history)
    for request in history.requests.values():
        if (
            request.kind.at_most_once
            and request.status in NOT_RUN_STATUSES
            and runs[request.request_id]
        ):
            yield f"{request.kind} {request.request_id} got {request.status} and ran"


def answers_are_own_and_whole(history: History, _bounds: Bounds) -> Iterable[str]:
    """Yield successful responses that aren't the complete response of a run of the same request."""
    runs = _runs_by_request(history)
    for request in history.requests.values():
        if request.status != OK or not request.whole or request.left:
            continue
        stamps = {run.stamp for run in runs[request.request_id]}
        if request.stamp not in stamps:
            yield f"{request.request_id} got an answer with stamp {request.stamp!r} of no run"
        elif request.body != expected_body(request):
            yield f"{request.kind} {request.request_id} got another body than its own"


def expected_body(request: SentRequest) -> bytes:
    """Return the body of a request's complete response."""
    if request.kind in (RequestKind.STREAM, RequestKind.RESUMABLE):
        return b"".join(
            event_bytes(request.request_id, n) for n in range(request.first_event, request.events)
        )
    return f"done {request.request_id}".encode()


def event_bytes(request_id: str, number: int) -> bytes:
    """Return the bytes of one event of a stream."""
    return f"id: {number}\ndata: {request_id} {number}\n\n".encode()


def only_what_was_sent_runs(history: History, bounds: Bounds) -> Iterable[str]:
    """Yield runs of unknown requests, for a wrong tenant or service, or with the key forwarded."""
    for run in history.runs:
        request = history.requests.get(run.request_id)
        if request is None:
            yield f"{run.instance_id} ran the unknown {run.request_id}"
            continue
        since = request.sent_at - bounds.revocation
        if run.tenant not in history.holders(request.key, since, run.at):
            yield f"{run.request_id} ran for tenant {run.tenant!r}"
        elif not _may_run_at(history, request, run, bounds):
            yield f"{run.request_id} ran at service {run.service}"
        elif run.key_shown:
            yield f"{run.request_id} showed its key to an instance"


def _may_run_at(history: History, request: SentRequest, run: Run, bounds: Bounds) -> bool:
    """Return whether a configuration that may be in force sends a request to a run's service."""
    since = request.sent_at - bounds.configuration
    if run.service in history.services(request, since, run.at):
        return True
    in_touch = history.time_bounds_apply(request.node, request.sent_at - bounds.settling, run.at)
    return not in_touch and run.service in history.services(request, -float("inf"), run.at)


def revoked_keys_run_nothing(history: History, bounds: Bounds) -> Iterable[str]:
    """Yield requests that ran although their key was revoked long before they were sent."""
    revoked = {revocation.key: revocation.at for revocation in history.revocations}
    for run in history.runs:
        request = history.requests.get(run.request_id)
        if request is None or request.key not in revoked:
            continue
        late = request.sent_at - revoked[request.key]
        if late > bounds.revocation:
            yield f"{run.request_id} of node {request.node} ran, sent {late:.2f} s after revocation"


def weights_are_new_enough(history: History, bounds: Bounds) -> Iterable[str]:
    """Yield runs on older weights than the bound allows, in periods without faults."""
    for run in history.runs:
        request = history.requests.get(run.request_id)
        required = [n for n in history.weights_changes if run.at - n.at > bounds.weights]
        if not required or not run.version or request is None:
            continue
        newest = max(required, key=lambda n: n.version)
        since = newest.at - bounds.settling
        disturbed = not history.time_bounds_apply(request.node, since, run.at)
        if run.version < newest.version and not disturbed:
            yield (
                f"{run.request_id} started on version {run.version} at {run.instance_id}, "
                f"{run.at - newest.at:.2f} s after version {newest.version} was named"
            )


def draining_instances_get_nothing(history: History, bounds: Bounds) -> Iterable[str]:
    """Yield runs at instances that were listed as draining long before."""
    leaving = {leaving.incarnation: leaving.at for leaving in history.drain_starts}
    for run in history.runs:
        at = leaving.get(run.incarnation)
        request = history.requests.get(run.request_id)
        if at is None or request is None or run.at - at <= bounds.drain:
            continue
        since = run.at - bounds.settling
        if history.time_bounds_apply(request.node, since, run.at, even_if_starved=True):
            yield f"{run.request_id} ran at {run.instance_id}, draining for {run.at - at:.2f} s"


def configurations_are_in_force(history: History, bounds: Bounds) -> Iterable[str]:
    """Yield probes whose response can only come from an outdated configuration."""
    changes: dict[str, list[RouteChange]] = defaultdict(list)
    for change in history.route_changes:
        changes[change.path].append(change)
    for request in history.requests.values():
        known = [c for c in changes[request.path] if request.sent_at - c.at > bounds.configuration]
        if not request.path or not known or request.ended_at is None:
            continue
        later = [c for c in changes[request.path] if c not in known and c.at <= request.ended_at]
        present = known[-1].present
        wrong = request.status in DENIAL_STATUSES if present else request.status == OK
        since = request.sent_at - bounds.settling
        if wrong and not later and history.time_bounds_apply(request.node, since, request.ended_at):
            late = request.sent_at - known[-1].at
            what = "added" if present else "removed"
            yield f"{request.path} {what}, {late:.2f} s later {request.node} said {request.status}"


def one_holder_orders(history: History, bounds: Bounds) -> Iterable[str]:
    """Yield fencing tokens with two holders, and changes of the holder within one lease duration.

    A new holder waits for one lease duration before it sends orders. That isn't enough where the
    store ends leases before their expiry: the former holder learns of it later.
    """
    holders: dict[int, set[str]] = defaultdict(set)
    for order in history.orders:
        holders[order.token].add(order.holder)
    for token, names in holders.items():
        if len(names) > 1:
            yield f"token {token} was used by {sorted(names)}"
    for earlier, later in itertools.pairwise(history.orders):
        close = later.at - earlier.at < bounds.lease
        resumed = history.disturbed(earlier.holder, earlier.at - bounds.resume_slack, earlier.at)
        expired_early = history.happened(LEASES_EXPIRED_EARLY, earlier.at - bounds.lease, later.at)
        if close and later.holder != earlier.holder and not resumed and not expired_early:
            yield f"{later.holder} ordered {later.at - earlier.at:.2f} s after {earlier.holder}"
        if later.token < earlier.token and not resumed:
            yield f"token {later.token} was taken after {earlier.token}"


def isolation_is_kept(history: History, _bounds: Bounds) -> Iterable[str]:
    """Yield cache salts shared by an isolated tenant and others, or by two weights versions."""
    tenants: dict[str, set[str]] = defaultdict(set)
    versions: dict[str, set[int]] = defaultdict(set)
    for run in history.runs:
        if run.salt:
            tenants[run.salt].add(run.tenant)
            versions[run.salt].add(run.version)
    for salt, names in tenants.items():
        if len(names) > 1 and names & history.isolated:
            yield f"salt {salt!r} is shared by {sorted(names)}"
    for salt, found in versions.items():
        if len(found) > 1:
            yield f"salt {salt!r} is used for versions {sorted(found)}"


def clients_that_left_occupy_nothing(history: History, bounds: Bounds) -> Iterable[str]:
    """Yield counts of late arrivals and of late repeatable runs for callers that left."""
    arrivals = [a for a in history.arrivals if _left_before(history, a.request_id, a.at, bounds)]
    if len(arrivals) > MAX_LATE_ARRIVALS:
        yield f"{len(arrivals)} arrivals for callers that had left"
    left = [run for run in history.runs if _left_and_repeatable(history, run)]
    late = [
        run for run in left if _left_before(history, run.request_id, run.ended_at or 0.0, bounds)
    ]
    if len(late) > max(MAX_LATE_ARRIVALS, MAX_LATE_ENDS_SHARE * len(left)):
        yield f"{len(late)} of {len(left)} runs went on for callers that had left"


def _left_and_repeatable(history: History, run: Run) -> bool:
    """Return whether an ended run was for a caller that left, and isn't of the unsafe kind."""
    request = history.requests.get(run.request_id)
    if request is None or run.ended_at is None:
        return False
    return request.left and request.kind is not RequestKind.UNSAFE


def _left_before(history: History, request_id: str, at: float, bounds: Bounds) -> bool:
    """Return whether a caller had left well before a time, at a node without recent faults."""
    request = history.requests.get(request_id)
    if request is None or not request.left or request.ended_at is None:
        return False
    late = at - request.ended_at > bounds.abandoned
    return late and history.time_bounds_apply(request.node, request.sent_at - bounds.settling, at)


def answers_come_in_time(history: History, bounds: Bounds) -> Iterable[str]:
    """Yield requests that ended long after their deadline, on undisturbed nodes.

    Those that their callers sent too slowly for it end when they are whole.
    """
    for request in history.requests.values():
        if request.left or request.ended_at is None:
            continue
        late = request.ended_at - max(request.deadline_at, request.complete_at or 0.0)
        since = request.sent_at - bounds.settling
        if late > MAX_LATE_SECONDS and not history.disturbed(request.node, since, request.ended_at):
            yield f"{request.kind} {request.request_id} ended {late:.2f} s after its deadline"


def retries_stay_in_budget(history: History, bounds: Bounds) -> Iterable[str]:
    """Yield services with a window of more retries than allowed.

    Retries are arrivals beyond the first of each request.
    """
    services = {request.service for request in history.requests.values()}
    for service in sorted(services):
        arrivals = [a for a in history.arrivals if a.service == service]
        sent = sorted(r.sent_at for r in history.requests.values() if r.service == service)
        repeats = _repeats(arrivals)
        for start in repeats:
            window = [at for at in repeats if start <= at <= start + bounds.retry_window]
            known = sum(
                start - bounds.retry_window <= at <= start + bounds.retry_window for at in sent
            )
            allowed = bounds.retry_ratio * known + bounds.retry_extra
            if len(window) > allowed:
                yield f"{service}: {len(window)} repeats in a window, {allowed:.0f} allowed"
                break


def processes_stay_alive(history: History, _bounds: Bounds) -> Iterable[str]:
    """Yield processes that ended by themselves."""
    for node in history.unexpected_exits:
        yield f"ended by itself: {node}"


def check_recovery(history: History, since: float, until: float) -> list[Violation]:
    """Return a violation if too few requests are served after all faults have been repaired.

    Args:
        history: Observations of the soak.
        since: Time by which recovery must have ended.
        until: End of the soak.
    """
    revoked = {revocation.key for revocation in history.revocations}
    late = [
        request
        for request in history.requests.values()
        if since <= request.sent_at <= until - 3.0
        and not request.left
        and request.key not in revoked
        and not request.path
        and not request.fatal
    ]
    served = sum(
        1 for r in late if r.whole and r.status is not None and r.status not in NOT_RUN_STATUSES
    )
    if not late or served < RECOVERED_SHARE * len(late):
        ends = Counter(str(request.status) for request in late)
        detail = f"{served} of {len(late)} served after recovery: {dict(ends)}"
        return [Violation("recovery", detail)]
    return []


def _repeats(arrivals: list[Arrival]) -> list[float]:
    """Return the times of arrivals beyond the first of each request."""
    seen: set[str] = set()
    repeats = []
    for arrival in arrivals:
        request_id = arrival.request_id
        if request_id in seen:
            repeats.append(arrival.at)
        seen.add(request_id)
    return repeats


def _runs_by_request(history: History) -> dict[str, list[Run]]:
    """Return the runs by request id."""
    runs: dict[str, list[Run]] = defaultdict(list)
    for run in history.runs:
        runs[run.request_id].append(run)
    return runs


CHECKS: dict[str, Check] = {
    "at most once": at_most_once,
    "not run is true": not_run_is_true,
    "own and whole answers": answers_are_own_and_whole,
    "only what was sent": only_what_was_sent_runs,
    "revocation": revoked_keys_run_nothing,
    "configuration": configurations_are_in_force,
    "weights": weights_are_new_enough,
    "draining": draining_instances_get_nothing,
    "one holder": one_holder_orders,
    "isolation": isolation_is_kept,
    "clients that left": clients_that_left_occupy_nothing,
    "answers in time": answers_come_in_time,
    "retry budget": retries_stay_in_budget,
    **INSTANCE_CHECKS,
    **PART_CHECKS,
    **NOTICE_CHECKS,
    **LIMIT_CHECKS,
    **LINK_CHECKS,
    **STREAM_CHECKS,
    **REGRESS_CHECKS,
    **STOP_CHECKS,
    **CHANGE_CHECKS,
    **ANSWER_CHECKS,
    **ORDER_CHECKS,
    **CONNECTION_CHECKS,
    "processes": processes_stay_alive,
}
