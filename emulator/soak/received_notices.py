"""Which refusals with a backoff reached the nodes, and when they can have read them.

Proxies of answers record what they passed on. A refusal that stops in its head, or whose head is
joined to a part of another, brings no notice; nor does one whose connection had ended, as it does
when the client leaves.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator

from emulator.soak.answer_faults import AnswerEvent, HeadDelivery
from emulator.soak.history import History
from emulator.soak.instance_records import SentNotice
from emulator.soak.request_records import SentRequest

PASSING_SECONDS = 0.05
"""Longest time in which an answer is on its way from an instance to the link before it."""

IncarnationAndName = tuple[str, str]


def received_backoffs(history: History) -> Iterator[SentNotice]:
    """Yield the backoffs that reached a node: all of them where no proxies record answers."""
    events = _own_events(history)
    for notice in history.notices:
        if not notice.backoff_seconds:
            continue
        answers = events[(notice.incarnation, notice.request_id)]
        answer = next((each for each in answers if each.at >= notice.at), None)
        if not history.answer_events or _was_received(history, notice, answer):
            yield notice


def read_at(history: History, notice: SentNotice) -> float:
    """Return the earliest time at which a node has surely read a notice, but for its way.

    What an instance sends while its link is silent, or just before, arrives with what was sent to
    it once the link works again.
    """
    silences = (
        silence.until
        for silence in history.silences
        if silence.incarnation == notice.incarnation
        and silence.since <= notice.at + PASSING_SECONDS
        and silence.until >= notice.at
    )
    return max(silences, default=notice.at)


def _was_received(history: History, notice: SentNotice, answer: AnswerEvent | None) -> bool:
    """Return whether the answer with a notice was passed on to a node that still waited for it."""
    if answer is None or answer.head is not HeadDelivery.WHOLE:
        return False
    return not _had_left(history.requests.get(notice.request_id), answer.at)


def _had_left(request: SentRequest | None, at: float) -> bool:
    """Return whether the client of a request had left by a time."""
    if request is None or not request.left or request.ended_at is None:
        return False
    return request.ended_at < at


def _own_events(history: History) -> dict[IncarnationAndName, list[AnswerEvent]]:
    """Return the events of answers but not of copies, by incarnation and name of the request."""
    events: dict[IncarnationAndName, list[AnswerEvent]] = defaultdict(list)
    for recorded in history.answer_events:
        event = recorded.event
        if event.head is not HeadDelivery.COPY:
            events[(recorded.incarnation, event.asked)].append(event)
    return events
