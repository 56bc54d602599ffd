"""Checks that nodes obey instances' notices: that they shut down, or ask for backoff."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from emulator.soak.history import History
from emulator.soak.instance_records import SentNotice
from emulator.soak.promises import Bounds, Check
from emulator.soak.received_notices import read_at, received_backoffs
from emulator.soak.request_records import Arrival

NodeAndIncarnation = tuple[str, str]


def leaving_notices_are_obeyed(history: History, bounds: Bounds) -> Iterable[str]:
    """Yield requests sent to an instance long after their node received its shutdown notice.

    A node that was interrupted since then is excepted: it may have lost the notice or be late.
    """
    announced: dict[NodeAndIncarnation, float] = {}
    for notice in history.notices:
        request = history.requests.get(notice.request_id)
        if not notice.leaving or request is None or request.head_at is None:
            continue
        key = (request.node, notice.incarnation)
        announced[key] = min(announced.get(key, float("inf")), request.head_at)
    for arrival in history.arrivals:
        request = history.requests.get(arrival.request_id)
        since = announced.get((request.node, arrival.incarnation)) if request is not None else None
        if request is None or since is None or request.sent_at <= since + bounds.drain:
            continue
        if not history.interrupted(request.node, since, arrival.at):
            late = request.sent_at - since
            yield (
                f"{request.node} sent {arrival.request_id} to {arrival.incarnation} "
                f"{late:.2f} s after it passed on the notice"
            )


def backoffs_are_kept(history: History, bounds: Bounds) -> Iterable[str]:
    """Yield backoffs in which a node sent an instance more requests than were in flight.

    A backoff binds a node that received the refusal that asks for it, once it can have read it.
    """
    arrivals = _arrivals_by_node(history)
    for notice in received_backoffs(history):
        request = history.requests.get(notice.request_id)
        if request is None:
            continue
        first = read_at(history, notice) + bounds.in_flight
        last = notice.at + notice.backoff_seconds
        within = [a for a in arrivals[(request.node, notice.incarnation)] if first < a.at < last]
        if len(within) > bounds.within_backoff and not history.interrupted(
            request.node, notice.at, within[-1].at
        ):
            yield (
                f"{request.node} sent {len(within)} requests to {notice.incarnation} in "
                f"{notice.backoff_seconds:.2f} s of backoff, "
                f"the first {_after(notice, within[0]):.2f} s in, "
                f"asked for in the answer to {notice.request_id}"
            )


def _after(notice: SentNotice, arrival: Arrival) -> float:
    """Return the time from a notice to the arrival of a request, in seconds."""
    return arrival.at - notice.at


def _arrivals_by_node(history: History) -> dict[NodeAndIncarnation, list[Arrival]]:
    """Return the requests that reached each incarnation from each node, in order."""
    arrivals: dict[NodeAndIncarnation, list[Arrival]] = defaultdict(list)
    for arrival in history.arrivals:
        request = history.requests.get(arrival.request_id)
        if request is not None:
            arrivals[(request.node, arrival.incarnation)].append(arrival)
    return arrivals


NOTICE_CHECKS: dict[str, Check] = {
    "word of leaving": leaving_notices_are_obeyed,
    "rest": backoffs_are_kept,
}
