"""Checks that callers of nodes whose links to instances are cut are served like those of others."""

from __future__ import annotations

from collections.abc import Iterable

from emulator.soak.disturbances import INSTANCE_LINKS_CUT, Disturbance
from emulator.soak.history import History
from emulator.soak.promises import Bounds, Check
from emulator.soak.request_records import SentRequest

LEAST_SHARE = 2 / 3
"""Least share served at such nodes, relative to the others."""

ALLOWED_FAILURES = 10
ALLOWED_FAILURE_SHARE = 1 / 50
"""Failures that are allowed, and a share of all requests in addition."""

OK = 200
MIN_COMPARED = 20
"""Requests at each side without which shares say nothing."""


def subject_of(node: str) -> str:
    """Return the subject of a disturbance of a node's links to instances."""
    return f"links of {node}"


def partitioned_callers_are_served(history: History, bounds: Bounds) -> Iterable[str]:
    """Yield cuts during which too few callers of the nodes without links were served."""
    cuts = [fault for fault in history.disturbances if fault.what == INSTANCE_LINKS_CUT]
    counted = [request for request in history.requests.values() if _counts(history, request)]
    for cut in cuts:
        window = [r for r in counted if cut.since + bounds.settling <= r.sent_at <= cut.until]
        behind = [r for r in window if _is_behind_cut(cuts, r, bounds)]
        others = [r for r in window if not _is_near_cut(cuts, r, bounds)]
        if min(len(behind), len(others)) < MIN_COMPARED:
            continue
        failed = sum(not _is_served(r) for r in behind)
        allowed = ALLOWED_FAILURES + ALLOWED_FAILURE_SHARE * len(window)
        if _share(behind) < LEAST_SHARE * _share(others) and failed > allowed:
            yield (
                f"{cut.subject}: {len(behind) - failed} of {len(behind)} served without links, "
                f"{sum(map(_is_served, others))} of {len(others)} with them"
            )


def has_linked_node(history: History, since: float, until: float) -> bool:
    """Return whether a node kept its process and its links to instances for all of a period.

    Requests may be sent through it from any node.
    """
    nodes = {request.node for request in history.requests.values()}
    return any(
        not history.interrupted(node, since, until)
        and not history.disturbed(subject_of(node), since, until)
        for node in nodes
    )


def _counts(history: History, request: SentRequest) -> bool:
    """Return whether a request should be served, as far as its node's other faults go."""
    revoked = {revocation.key for revocation in history.revocations}
    if request.left or request.path or request.fatal or request.key in revoked:
        return False
    ended_at = request.ended_at if request.ended_at is not None else request.deadline_at
    return not history.disturbed(request.node, request.sent_at - 1.0, ended_at)


def _is_behind_cut(cuts: Iterable[Disturbance], request: SentRequest, bounds: Bounds) -> bool:
    """Return whether the links of a request's node had been cut for long enough."""
    return any(
        cut.subject == subject_of(request.node)
        and cut.since + bounds.settling <= request.sent_at <= cut.until
        for cut in cuts
    )


def _is_near_cut(cuts: Iterable[Disturbance], request: SentRequest, bounds: Bounds) -> bool:
    """Return whether the links of a request's node were cut lately, or soon after."""
    return any(
        cut.subject == subject_of(request.node)
        and cut.since <= request.deadline_at
        and request.sent_at <= cut.until + bounds.settling
        for cut in cuts
    )


def _is_served(request: SentRequest) -> bool:
    """Return whether a request got a complete response."""
    return request.whole and request.status == OK


def _share(requests: list[SentRequest]) -> float:
    """Return the share of requests that were served."""
    return sum(map(_is_served, requests)) / len(requests)


LINK_CHECKS: dict[str, Check] = {
    "cut links": partitioned_callers_are_served,
}
