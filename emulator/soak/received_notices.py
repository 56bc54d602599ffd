"""Which notices of instances reached the nodes.

Proxies of answers record what they passed on. An answer that stops in its head, or whose head is
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

IncarnationAndId = tuple[str, str]


def received_notices(history: History) -> Iterator[SentNotice]:
    """Yield the notices that reached a node: all of them where no proxies record answers."""
    if not history.answer_events:
        yield from history.notices
        return
    events = _own_events(history)
    for notice in history.notices:
        own_id = notice.request_id.partition("#")[0]
        answers = events[(notice.incarnation, own_id)]
        answer = next((each for each in answers if each.at >= notice.at), None)
        if answer is None or answer.head is not HeadDelivery.WHOLE:
            continue
        if not _had_left(history.requests.get(notice.request_id), answer.at):
            yield notice


def _had_left(request: SentRequest | None, at: float) -> bool:
    """Return whether the client of a request had left by a time."""
    if request is None or not request.left or request.ended_at is None:
        return False
    return request.ended_at < at


def _own_events(history: History) -> dict[IncarnationAndId, list[AnswerEvent]]:
    """Return the events of answers but not of copies, by incarnation and id of the request."""
    events: dict[IncarnationAndId, list[AnswerEvent]] = defaultdict(list)
    for recorded in history.answer_events:
        event = recorded.event
        if event.head is not HeadDelivery.COPY:
            events[(recorded.incarnation, event.asked_id)].append(event)
    return events
