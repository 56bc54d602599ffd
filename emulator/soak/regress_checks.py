"""Checks that nodes never return to an older configuration, whatever the store does."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from emulator.soak.history import History
from emulator.soak.operator_changes import RouteChange
from emulator.soak.promises import Bounds, Check
from emulator.soak.request_records import SentRequest

SERVED = 200
NOT_FOUND = 404


def configurations_never_go_back(history: History, bounds: Bounds) -> Iterable[str]:
    """Yield probes answered by an older configuration than the same process used before."""
    changes: dict[str, list[RouteChange]] = defaultdict(list)
    for change in history.route_changes:
        changes[change.path].append(change)
    probes: dict[tuple[str, str], list[SentRequest]] = defaultdict(list)
    for request in history.requests.values():
        if request.path and request.ended_at is not None and request.status in (SERVED, NOT_FOUND):
            probes[request.node, request.path].append(request)
    for (node, path), asked in probes.items():
        shown: SentRequest | None = None
        for request in sorted(asked, key=lambda probe: probe.sent_at):
            if shown is not None and _goes_back(history, changes[path], shown, request, bounds):
                yield f"{node} said {request.status} for {path} after {shown.status}"
            if _shows_newest(changes[path], request):
                shown = request


def _shows_newest(changes: list[RouteChange], probe: SentRequest) -> bool:
    """Return whether a probe's response agrees with the newest change of its route."""
    made = [change for change in changes if change.at <= (probe.ended_at or 0.0)]
    return bool(made) and made[-1].present == (probe.status == SERVED)


def _goes_back(
    history: History,
    changes: list[RouteChange],
    shown: SentRequest,
    probe: SentRequest,
    bounds: Bounds,
) -> bool:
    """Return whether a probe contradicts an earlier one although no change lies between them."""
    shown_until = shown.ended_at or 0.0
    ended_at = probe.ended_at or 0.0
    if probe.status == shown.status or probe.sent_at - shown_until <= bounds.downgrade:
        return False
    if any(shown.sent_at <= change.at <= ended_at for change in changes):
        return False
    return not history.restarted(probe.node, shown.sent_at, ended_at)


REGRESS_CHECKS: dict[str, Check] = {"never goes back": configurations_never_go_back}
