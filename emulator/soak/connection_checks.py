"""Checks that what ran for a caller gave it a whole answer."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from emulator.soak.disturbances import INSTANCE_LINKS_CUT, MACHINE, Disturbance
from emulator.soak.history import History
from emulator.soak.promises import Bounds, Check
from emulator.soak.request_records import Run, SentRequest

WHOLE_ANSWER = "answer"
"""Event of an answer that was passed on whole and without a fault."""


def runs_give_whole_answers(history: History, bounds: Bounds) -> Iterable[str]:
    """Yield requests that ran and whose callers, who stayed, got no whole answer.

    A disturbance of the node, of an instance that ran it or its answer, of the links between them
    or of the machine excuses it, and so does the request's deadline; a planned stop doesn't.
    """
    runs: dict[str, list[Run]] = defaultdict(list)
    for run in history.runs:
        runs[run.request_id].append(run)
    for request_id, own in runs.items():
        request = history.requests.get(request_id)
        if request is None or not _waits_for_answer(request):
            continue
        faults = (fault for fault in history.disturbances if _excuses(fault, request, own, bounds))
        if any(faults) or _crashed(history, request, own) or _is_spoiled(history, request, own):
            continue
        yield (
            f"{request.kind} {request_id} ran and got no whole answer from {request.node}: "
            f"status {request.status}, {len(request.body)} bytes"
        )


def _waits_for_answer(request: SentRequest) -> bool:
    """Return whether a request ended before its deadline, without a whole answer."""
    if request.left or request.fatal or request.ended_at is None or request.whole:
        return False
    return request.ended_at < request.deadline_at


def _excuses(fault: Disturbance, request: SentRequest, runs: list[Run], bounds: Bounds) -> bool:
    """Return whether a fault may have kept the answer of a request from its caller."""
    ended_at = request.ended_at or request.deadline_at
    overlaps = fault.since <= ended_at and fault.until >= request.sent_at - bounds.settling
    subjects = {request.node, MACHINE, *(run.instance_id for run in runs)}
    concerns = fault.subject in subjects or fault.what == INSTANCE_LINKS_CUT
    return overlaps and concerns and not fault.planned


def _crashed(history: History, request: SentRequest, runs: list[Run]) -> bool:
    """Return whether an instance crashed under a fatal request while it ran this one."""
    ended_at = request.ended_at or request.deadline_at
    return any(
        crash.incarnation == run.incarnation and run.at <= crash.at <= ended_at
        for run in runs
        for crash in history.fatal_terminations
    )


def _is_spoiled(history: History, request: SentRequest, runs: list[Run]) -> bool:
    """Return whether the answer of a run was sent with a fault, such as a stop midway."""
    incarnations = {run.incarnation for run in runs}
    return any(
        each.incarnation in incarnations
        and each.event.what != WHOLE_ANSWER
        and request.attempt_id in (each.event.attempt_id, each.event.asked)
        for each in history.answer_events
    )


CONNECTION_CHECKS: dict[str, Check] = {"runs give whole answers": runs_give_whole_answers}
