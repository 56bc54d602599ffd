"""Checks that streams stay at the software version that began them, and that resumes go on.

The bounds are the users': two streams may hold events of several versions, and resumes go on at
least half as often as new streams begin.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from emulator.soak.disturbances import KILLED, MACHINE, STORE
from emulator.soak.history import History
from emulator.soak.instance_records import IncarnationPeriod
from emulator.soak.promises import Bounds, Check
from emulator.soak.request_records import HeldStream, Run, SentRequest

OK_STATUS = 200
MAX_MIXED_STREAMS = 2
MIN_RESUMES = 12
LEAST_SHARE = 0.5

IN_TOUCH_SECONDS = 0.5
"""Time without faults after which a node counts as in touch with store and nodes."""

MIN_SERVING = 2
"""Instances of a version that must serve for its resumes to count."""


class StreamFigures(msgspec.Struct, frozen=True):
    """What became of the held streams.

    Attributes:
        streams: Number of streams that began.
        mixed: Streams that hold events of several software versions.
        mixed_within: Those of them whose versions met within one answer.
        began: Tries of new streams that brought an event.
        new_tries: Tries of new streams.
        went_on: Resumes that brought an event or the end.
        resumes: Resumes.
        orphans_went_on: Resumes that went on although the node that began their stream had lost its
            state.
        orphans: Resumes of such streams that a node received.
    """

    streams: int
    mixed: int
    mixed_within: int
    began: int
    new_tries: int
    went_on: int
    resumes: int
    orphans_went_on: int
    orphans: int


def stream_figures(history: History) -> StreamFigures:
    """Return the figures of all held streams, whatever faults there were."""
    versions = _VersionsOfAnswers(history)
    new, resumes = _new_tries(history), _resumes(history)
    received = [request for request in resumes if not request.refused_connection]
    orphaned = [request for request in received if _is_orphaned(history, request)]
    mixed = [stream for stream in history.streams if len(versions.of_stream(stream)) > 1]
    within = [s for s in mixed if any(len(versions.of_answer(t)) > 1 for t in s.tries)]
    return StreamFigures(
        len([stream for stream in history.streams if stream.origin]),
        len(mixed),
        len(within),
        sum(map(_is_begun, new)),
        len(new),
        sum(map(_went_on, resumes)),
        len(resumes),
        sum(map(_went_on, orphaned)),
        len(orphaned),
    )


def streams_keep_their_version(history: History, _bounds: Bounds) -> Iterable[str]:
    """Yield streams that hold events of several software versions, if there are too many."""
    versions = _VersionsOfAnswers(history)
    mixed = []
    for stream in history.streams:
        found = versions.of_stream(stream)
        if len(found) > 1:
            mixed.append(f"{stream.tries} hold events of {sorted(found)}")
    if len(mixed) > MAX_MIXED_STREAMS:
        yield f"{len(mixed)} streams of several versions: {'; '.join(mixed)}"


def resumed_streams_go_on(history: History, bounds: Bounds) -> Iterable[str]:
    """Yield the shares of resumes and new streams, if resumes go on far less often."""
    versions = _VersionsOfAnswers(history)
    began = [_is_begun(r) for r in _new_tries(history) if _counts(history, r, bounds.settling)]
    gone_on = [
        _went_on(request)
        for request in _resumes(history)
        if _counts(history, request, bounds.settling) and _is_served(history, versions, request)
    ]
    yield from _compare(gone_on, began)


def orphaned_streams_go_on(history: History, _bounds: Bounds) -> Iterable[str]:
    """Yield the shares of orphaned and new streams, if orphaned ones go on far less often.

    A stream is orphaned when the node that began it has lost its state. It counts once, however
    often it is resumed, and only if neither store nor machine had a fault since it began.
    """
    versions = _VersionsOfAnswers(history)
    gone_on, began = [], []
    for stream in history.streams:
        tries = [history.requests[name] for name in stream.tries]
        touched = [request for request in tries if _is_in_touch(history, request)]
        new = [request for request in touched if not request.resumes]
        orphaned = [
            request
            for request in touched
            if request.resumes
            and _is_orphaned(history, request)
            and _is_served(history, versions, request)
        ]
        if new:
            began.append(any(map(_is_begun, new)))
        if orphaned:
            gone_on.append(any(map(_went_on, orphaned)))
    yield from _compare(gone_on, began)


def _compare(gone_on: list[bool], began: list[bool]) -> Iterable[str]:
    """Yield both shares if what is resumed goes on far less often than what is new begins."""
    if len(gone_on) < MIN_RESUMES or not began:
        return
    share_on, share_new = sum(gone_on) / len(gone_on), sum(began) / len(began)
    if share_on < LEAST_SHARE * share_new:
        yield (
            f"{sum(gone_on)} of {len(gone_on)} resumes went on, "
            f"{sum(began)} of {len(began)} new streams began"
        )


class _VersionsOfAnswers:
    """Software versions whose events the answers to requests hold."""

    def __init__(self, history: History) -> None:
        self._history = history
        self._runs: dict[str, list[Run]] = {}
        for run in history.runs:
            self._runs.setdefault(run.request_id, []).append(run)

    def of_answer(self, request_id: str) -> set[str]:
        """Return the versions of one answer's events.

        A run's events end where the next one takes the stream up: the caller has no more of them.
        """
        request = self._history.requests[request_id]
        runs = self._runs.get(request_id, [])
        received_until = request.first_event + request.received
        ends = [*(run.first_event for run in runs[1:]), received_until]
        return {
            run.software_version
            for run, end in zip(runs, ends, strict=False)
            if run.first_event < min(end, received_until)
        }

    def of_stream(self, stream: HeldStream) -> set[str]:
        """Return the versions of a stream's events, over all tries."""
        found: set[str] = set()
        for request_id in stream.tries:
            found |= self.of_answer(request_id)
        return found


def _tries(history: History) -> list[SentRequest]:
    """Return all tries of held streams."""
    return [history.requests[name] for stream in history.streams for name in stream.tries]


def _new_tries(history: History) -> list[SentRequest]:
    """Return the tries of streams that had brought no event before."""
    return [request for request in _tries(history) if not request.resumes]


def _resumes(history: History) -> list[SentRequest]:
    """Return the tries that take a stream up."""
    return [request for request in _tries(history) if request.resumes]


def _is_orphaned(history: History, resume: SentRequest) -> bool:
    """Return whether the node that began a stream has lost its state before a resume of it."""
    first = history.requests[resume.resumes]
    return history.restarted(first.node, first.sent_at, resume.sent_at)


def _is_begun(request: SentRequest) -> bool:
    """Return whether a try of a new stream brought an event."""
    return request.received > 0


def _went_on(request: SentRequest) -> bool:
    """Return whether a resume brought an event, or the end of a stream that lacked only that."""
    return request.received > 0 or (request.whole and request.status == OK_STATUS)


def _counts(history: History, request: SentRequest, settling: float) -> bool:
    """Return whether a try was made at a node without faults for a while, with a lasting key."""
    since = request.sent_at - settling
    return _could_be_served(history, request) and history.time_bounds_apply(
        request.node, since, _end_of(request)
    )


def _could_be_served(history: History, request: SentRequest) -> bool:
    """Return whether a try reached a node, with a lasting key, and its caller waited."""
    revoked = {revocation.key for revocation in history.revocations}
    left_early = request.left and not request.received
    return request.key not in revoked and not left_early and not request.refused_connection


def _is_in_touch(history: History, request: SentRequest) -> bool:
    """Return whether a try counts at a node that had its links, to the other nodes too.

    A node that was killed counts from its first answers on.
    """
    since, until = request.sent_at - IN_TOUCH_SECONDS, _end_of(request)
    began_at = history.requests[request.resumes].sent_at if request.resumes else since
    has_started = request.status is not None
    at_node = [
        fault
        for fault in history.disturbances
        if fault.subject == request.node and fault.since <= until and fault.until >= since
    ]
    return (
        _could_be_served(history, request)
        and all(fault.what == KILLED and has_started for fault in at_node)
        and not history.disturbed(STORE, began_at, until)
        and not history.disturbed(MACHINE, began_at, until)
    )


def _end_of(request: SentRequest) -> float:
    """Return when a try ended, or its caller's deadline."""
    return request.ended_at if request.ended_at is not None else request.deadline_at


def _is_served(history: History, versions: _VersionsOfAnswers, request: SentRequest) -> bool:
    """Return whether enough instances of a resumed stream's version served all the time."""
    began = versions.of_answer(request.resumes)
    ended_at = _end_of(request)
    draining = {start.incarnation for start in history.drain_starts if start.at < ended_at}
    serving = [
        period
        for period in history.instances
        if period.software_version in began
        and period.service == request.service
        and period.incarnation not in draining
        and _serves(period, request.sent_at, ended_at)
    ]
    return len(serving) >= MIN_SERVING


def _serves(period: IncarnationPeriod, since: float, until: float) -> bool:
    """Return whether an incarnation served for all of a period."""
    return period.since <= since and period.until >= until


STREAM_CHECKS: dict[str, Check] = {
    "software versions": streams_keep_their_version,
    "resumed streams": resumed_streams_go_on,
    "orphaned streams": orphaned_streams_go_on,
}
