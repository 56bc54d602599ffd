"""Checks that each answer of a caller is the answer of a run of the same try.

Runs are recorded by the name of their request, which holds the number of the try. So the run of an
earlier try with the same id is the run of another request here.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from pathlib import Path

import msgspec

from emulator.soak.history import History
from emulator.soak.promises import Bounds, Check
from emulator.soak.recorder import digest_of
from emulator.soak.request_records import Run, SentRequest

FIRST_SUCCESS, LAST_SUCCESS = 200, 299


def answers_are_those_of_their_runs(history: History, _bounds: Bounds) -> Iterable[str]:
    """Yield answers whose signature, status or body isn't that of a run of the same try.

    Each success has a signature, also one that broke off.
    """
    runs = {run.stamp: run for run in history.runs}
    own = {run.request_id: run for run in history.runs}
    for request in history.requests.values():
        if request.status is None:
            continue
        if not request.stamp:
            if FIRST_SUCCESS <= request.status <= LAST_SUCCESS:
                yield f"{_name(request)} got {request.status} without a signature"
            continue
        run = runs.get(request.stamp)
        if run is None:
            ran = _own(own.get(request.request_id))
            yield f"{_name(request)} got {request.status} with the signature of no run; {ran}"
            continue
        difference = _difference(request, run, own.get(request.request_id))
        if difference:
            yield f"{_name(request)} got {request.status} of {request.stamp}: {difference}"


def _difference(request: SentRequest, run: Run, own: Run | None) -> str:
    """Return in what an answer differs from that of the run that signed it; empty if in nothing.

    Args:
        request: The request.
        run: The run that signed its answer.
        own: The latest run of the request; None if it never ran.
    """
    if run.request_id != request.request_id:
        begun = f"begun at {run.at:.3f}; {_own(own)}"
        return f"the run of {run.request_id} at {run.instance_id}, {begun}"
    if run.at < request.sent_at:
        return f"a run that began {request.sent_at - run.at:.3f} s before it was sent"
    if run.status != request.status:
        return f"{run.instance_id} answered {run.status}"
    if request.whole and run.body_digest and run.body_digest != digest_of(request.body):
        return f"another body than that of {run.instance_id}"
    return ""


def _own(own: Run | None) -> str:
    """Return what a request's own run answered."""
    return "it never ran" if own is None else f"{own.instance_id} answered {own.status} to it"


def _name(request: SentRequest) -> str:
    """Return what names a request in a violation: kind, name, node and times."""
    return (
        f"{request.kind} {request.request_id} at {request.node} "
        f"({request.sent_at:.3f} to {request.ended_at or 0.0:.3f})"
    )


def count_answer_faults(history: History) -> dict[str, int]:
    """Return the number of faults of answers by kind; delays of copies are left out."""
    kinds: Counter[str] = Counter()
    for recorded in history.answer_events:
        what = recorded.event.what
        kinds["copy late" if what.endswith("late") else what] += 1
    return dict(sorted(kinds.items()))


def write_answer_events(history: History, path: Path, clock_offset: float) -> None:
    """Write answers, their faults and notices, runs, requests and orders, a JSON object a line.

    Args:
        history: Observations of the soak.
        path: File to write.
        clock_offset: Unix time less the clock of the history; the first line holds it.
    """
    records: list[object] = [
        {"clock_offset": clock_offset},
        *history.answer_events,
        *history.notices,
        *history.runs,
        *history.requests.values(),
        *history.answered_orders,
        *history.logged_orders,
    ]
    path.write_bytes(b"".join(msgspec.json.encode(record) + b"\n" for record in records))


ANSWER_CHECKS: dict[str, Check] = {"answers of runs": answers_are_those_of_their_runs}
