"""Checks that planned stops of nodes cut off no request."""

from __future__ import annotations

from collections.abc import Iterable

from emulator.soak.history import History
from emulator.soak.promises import Bounds, Check
from emulator.soak.request_records import SentRequest

OK_STATUS = 200


def planned_stops_cut_nothing(history: History, bounds: Bounds) -> Iterable[str]:
    """Yield requests that a planned stop cut off, while there was no other fault.

    Excepted are requests that were sent while the node closed their connection: they reach no
    instance, and their callers see the failure at once, or are told before by the last response of
    the connection. Also responses that end at their deadline,
    and those whose instance crashed under a fatal request: the instance broke them off.
    """
    arrived = {arrival.request_id for arrival in history.arrivals}
    stops = [fault for fault in history.disturbances if fault.planned]
    others = [fault for fault in history.disturbances if not fault.planned]
    for request in history.requests.values():
        if request.left or request.refused_connection or request.ended_at is None:
            continue
        answered = request.status is not None and (request.whole or request.status != OK_STATUS)
        met = [
            stop
            for stop in stops
            if stop.subject == request.node and stop.since <= request.ended_at <= stop.until
        ]
        disturbed = any(
            fault.since <= request.ended_at and fault.until >= request.sent_at for fault in others
        )
        ends_on_close = request.behind_last or _ended_on_close(request, bounds)
        lost_on_close = request.request_id not in arrived and ends_on_close
        is_over = request.head_at is not None and request.ended_at >= request.deadline_at
        if not met or answered or disturbed or lost_on_close or is_over:
            continue
        if not _ended_with_instance(history, request):
            yield (
                f"{request.kind} {request.request_id} was cut off by the stop of {request.node}, "
                f"{request.ended_at - met[0].since:.2f} s after it began and "
                f"{request.ended_at - request.sent_at:.2f} s after it was sent"
            )


def _ended_with_instance(history: History, request: SentRequest) -> bool:
    """Return whether the instance that ran a request last crashed under a fatal one meanwhile."""
    runs = [run for run in history.runs if run.request_id == request.request_id]
    if not runs or request.ended_at is None:
        return False
    last = runs[-1]
    return any(
        crash.incarnation == last.incarnation and last.at <= crash.at <= request.ended_at
        for crash in history.fatal_terminations
    )


def _ended_on_close(request: SentRequest, bounds: Bounds) -> bool:
    """Return whether a request's connection ended before it was sent whole, or right after."""
    if request.ended_at is None or (request.sent_slowly and request.complete_at is None):
        return True
    sent_at = request.complete_at if request.complete_at is not None else request.sent_at
    return request.ended_at - sent_at <= bounds.loss_slack


STOP_CHECKS: dict[str, Check] = {"planned stop": planned_stops_cut_nothing}
