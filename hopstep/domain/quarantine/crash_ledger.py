"""Counts, for each subject, the instances that have terminated while it was under way there.

A subject is what a termination may be due to: a request, equal for all its repeats, or a part of a
prompt, equal in all requests that have it. What was under way at an instance that has terminated
is much, and most of it has nothing to do with the termination. So a subject is refused only when
``TERMINATIONS_TO_REFUSE`` instances have terminated under it.

Complete responses speak for it. Each one to a request clears one of these terminations, or
disregards one to come: a request that merely was under way gets far more responses than its
instances terminate. One to any request with a part clears all terminations under the part: if they
were due to it, no instance could have written that response. A termination that another, refused
subject explains counts for that one only, and a part isn't refused while one request that has it
may be the cause. Of a part that was answered, other subjects explain any number of terminations. A
subject's record is dropped some time after the last termination.

Times are of the steady clock, in seconds.
"""

from __future__ import annotations

from collections import OrderedDict

import msgspec

from hopstep.domain.quarantine.answer_credits import DISREGARDING_SECONDS, AnswerCredits
from hopstep.domain.quarantine.crash_records import (
    MAX_TERMINATIONS,
    RETENTION_SECONDS,
    CrashRecord,
    CrashRecords,
    drop_oldest,
)
from hopstep.domain.quarantine.crashes import Crash, RequestCrashes
from hopstep.domain.quarantine.fingerprint import is_part
from hopstep.domain.quarantine.interruptions import Interruptions

TERMINATIONS_TO_REFUSE = 3
"""Number of counted terminations from which a request is refused: the operators allow three retries
of a request after it has terminated three instances."""

MAX_EXPLAINED = 1
"""Maximum number of a request's terminations that other requests may explain: callers that send two
such requests at once gain one termination by it, and the operators allow three retries.
"""

MAX_TERMINATED_INCARNATIONS = 1_024


class CountedTermination(msgspec.Struct, frozen=True):
    """A termination of an instance that was counted for a request.

    Attributes:
        fingerprint: Fingerprint of the request.
        crash: The termination.
        terminations: Number of terminations that count now.
        disregarded: Whether this one doesn't count, as this node has seen a complete response.
    """

    fingerprint: bytes
    crash: Crash
    terminations: int
    disregarded: bool = False


class CrashLedger:
    """One node's record of requests and the terminations of instances under them."""

    def __init__(self, node: str) -> None:
        """Start without any records.

        Args:
            node: Name of this node.
        """
        self._node = node
        self._records = CrashRecords()
        self._interruptions = Interruptions()
        self._terminated: OrderedDict[str, None] = OrderedDict()
        self._credits = AnswerCredits()

    @property
    def is_empty(self) -> bool:
        """Whether no termination is on record for any request."""
        return not self._records

    def note_broken(
        self, fingerprint: bytes, incarnation: str, now: float
    ) -> CountedTermination | None:
        """Record an answer that broke off; if its instance has terminated, count and return that.

        Args:
            fingerprint: Fingerprint of the request.
            incarnation: Incarnation of the instance.
            now: The time.
        """
        if incarnation in self._terminated:
            return self._count(fingerprint, incarnation, now)
        self._interruptions.note_broken(fingerprint, incarnation, now)
        return None

    def note_answer(self, incarnation: str, sent_at: float) -> None:
        """Record an instance's answer to a request that was sent at a time."""
        self._interruptions.note_answer(incarnation, sent_at)

    def note_ended(
        self, incarnation: str, now: float, *, abruptly: bool = True
    ) -> list[CountedTermination]:
        """Count the termination of an instance for all requests whose answers broke off there.

        Args:
            incarnation: Incarnation of the instance.
            now: The time.
            abruptly: Whether it has terminated just now, and not some time before.
        """
        if abruptly:
            self._terminated[incarnation] = None
            drop_oldest(self._terminated, MAX_TERMINATED_INCARNATIONS)
        counted = [
            self._count(fingerprint, incarnation, now)
            for fingerprint in self._interruptions.take(incarnation, now, abruptly=abruptly)
        ]
        return [termination for termination in counted if termination is not None]

    def note_complete_response(self, fingerprint: bytes) -> list[str]:
        """Clear terminations under a subject that was answered, or disregard one to come.

        Returns:
            The incarnations whose terminations no longer count, for the other nodes.
        """
        record = self._records.find(fingerprint)
        if record is None or not record.terminations:
            self._credits.renew(fingerprint)
            return []
        if is_part(fingerprint):
            return self._clear_part(fingerprint, record)
        cleared = record.counting()[:1]
        record.clear(*cleared)
        credit = self._credits.find(fingerprint)
        if credit is not None:
            credit.reopen()
        return cleared

    def _clear_part(self, fingerprint: bytes, record: CrashRecord) -> list[str]:
        """Clear all terminations under a part; return them unless it is the first one.

        Each termination happens under some parts that are answered again at once, at many nodes.
        They need not report that before a second one.
        """
        self._credits.renew(fingerprint)
        cleared = record.counting()
        record.clear(*cleared)
        return cleared if len(record.crashes) > 1 else []

    def release(self, fingerprint: bytes) -> None:
        """Clear the oldest terminations until a request isn't refused: a trial got a whole answer.

        One more termination makes it refused again. Clearing only one, as for any complete
        response, would leave requests refused that have five to seven terminations by then.
        """
        record = self._records.find(fingerprint)
        for incarnation in record.counting() if record is not None else ():
            if record is not None and record.terminations >= TERMINATIONS_TO_REFUSE:
                record.clear(incarnation)

    def was_answered(self, fingerprint: bytes) -> bool:
        """Return whether this node has seen a complete response to a subject."""
        return self._credits.find(fingerprint) is not None

    def clear_explained(self, fingerprint: bytes, now: float) -> bool:
        """Clear the terminations of a refused part that other subjects explain; return if any were.

        Only those of a part that this node has seen answered, and only if it isn't refused without
        them. Such a part may be in many requests with different fatal parts, so one explained
        termination is too few; and it can't hide from being counted behind another fatal part,
        as a part that is fatal itself isn't answered.

        Args:
            fingerprint: Fingerprint of the part; those of requests are left alone.
            now: The time.
        """
        record = self._records.find(fingerprint)
        if record is None or not is_part(fingerprint) or not self.was_answered(fingerprint):
            return False
        if not self._is_refused(fingerprint, now):
            return False
        explained = self._explained_without(fingerprint, record)
        if record.terminations - len(explained) >= TERMINATIONS_TO_REFUSE:
            return False
        record.clear(*explained)
        return True

    def _explained_without(self, fingerprint: bytes, record: CrashRecord) -> list[str]:
        """Return the counted terminations under a subject that others explain on their own.

        These others would be refused for terminations alone that weren't under the subject.
        """
        counting = record.counting()
        found = {f for incarnation in counting for f in self._records.requests_at(incarnation)}
        others = (self._records.find(f) for f in found if not self.was_answered(f))
        explaining = [
            other.counting()
            for other in others
            if other is not None
            and other is not record
            and len(set(other.counting()).difference(record.crashes)) >= TERMINATIONS_TO_REFUSE
        ]
        return [i for i in counting if any(i in explained for explained in explaining)]

    def clear(self, fingerprint: bytes) -> list[bytes]:
        """Clear all counted terminations of a subject, as operators allow it.

        Those of parts of prompts that may be due to it alone are cleared before them.

        Returns:
            The subjects with cleared terminations, in this order.
        """
        record = self._records.find(fingerprint)
        if record is None or not record.terminations:
            return []
        parts = self._clear_parts_under(record.counting())
        record.clear(*record.crashes)
        return [*parts, fingerprint]

    def _clear_parts_under(self, incarnations: list[str]) -> list[bytes]:
        """Clear and return the parts that one request may explain, at some instances."""
        subjects = {f for incarnation in incarnations for f in self.requests_at(incarnation)}
        parts = [f for f in subjects if self.is_due_to_one_request(f)]
        for record in map(self._records.find, parts):
            if record is not None:
                record.clear(*record.counting())
        return parts

    def merge(self, received: RequestCrashes, now: float) -> list[CountedTermination]:
        """Merge another node's record; return the terminations that were new and counted."""
        uncleared = [
            crash for crash in received.crashes if crash.incarnation not in received.cleared
        ]
        for crash in received.crashes:
            if crash.incarnation in received.cleared:
                self._records.add(received.fingerprint, crash, now)
        for incarnation in received.cleared[-MAX_TERMINATIONS:]:
            self._clear_received(received.fingerprint, incarnation, now)
        counted = [self._add(received.fingerprint, crash, now) for crash in uncleared]
        return [termination for termination in counted if termination is not None]

    def terminations(self, fingerprint: bytes) -> int:
        """Return the number of terminations that count for a request."""
        record = self._records.find(fingerprint)
        return record.terminations if record is not None else 0

    def refused_seconds(self, fingerprint: bytes, now: float) -> float:
        """Return the remaining seconds for which a request is refused; 0 when it isn't."""
        record = self._records.find(fingerprint)
        if record is None or not self._is_refused(fingerprint, now):
            return 0.0
        return max(0.0, record.last_at + RETENTION_SECONDS - now)

    def last_end_at(self, fingerprint: bytes) -> float:
        """Return when the last termination of a request was recorded; minus infinity for none."""
        record = self._records.find(fingerprint)
        return record.last_at if record is not None else -float("inf")

    def request_crashes(self, fingerprint: bytes) -> RequestCrashes:
        """Return the record of a request, to share with other nodes."""
        record = self._records.find(fingerprint)
        if record is None:
            return RequestCrashes(fingerprint)
        return RequestCrashes(fingerprint, tuple(record.crashes.values()), tuple(record.cleared))

    def repeated(self) -> list[bytes]:
        """Return the requests under which more than one instance has terminated."""
        return self._records.repeated()

    def requests_at(self, incarnation: str) -> frozenset[bytes]:
        """Return the requests that were under way when an instance terminated."""
        return self._records.requests_at(incarnation)

    def expire(self, now: float) -> None:
        """Drop records that are too old."""
        self._records.expire(now)

    def _count(self, fingerprint: bytes, incarnation: str, now: float) -> CountedTermination | None:
        """Count a termination that this node observed."""
        return self._add(fingerprint, Crash(incarnation, self._node), now)

    def _add(self, fingerprint: bytes, crash: Crash, now: float) -> CountedTermination | None:
        """Count a termination unless it is on record, or too many are.

        One that would make the request refused is disregarded if the request was answered before.
        """
        record = self._records.add(fingerprint, crash, now)
        if record is None or crash.incarnation in record.cleared:
            return None
        credit = self._credits.find(fingerprint)
        if credit is None or not self._is_refused(fingerprint, now) or not credit.use(now):
            return CountedTermination(fingerprint, crash, record.terminations)
        record.clear(crash.incarnation)
        return CountedTermination(fingerprint, crash, record.terminations, disregarded=True)

    def _clear_received(self, fingerprint: bytes, incarnation: str, now: float) -> None:
        """Clear a termination that another node has cleared.

        It counts towards those that may be disregarded here too: otherwise each node could
        disregard as many terminations by its own answers.
        """
        record = self._records.find(fingerprint)
        if record is None or incarnation in record.cleared:
            return
        record.clear(incarnation)
        credit = self._credits.find(fingerprint)
        if credit is not None:
            credit.note_used(now)

    def is_due_to_one_request(self, fingerprint: bytes) -> bool:
        """Return whether a part's terminations may all be due to one request that has it.

        It is enough to refuse that request, and any other request with the part is served.
        """
        record = self._records.find(fingerprint)
        if record is None or not is_part(fingerprint):
            return False
        shared = [self._requests_counting(incarnation) for incarnation in record.counting()]
        return bool(shared and frozenset.intersection(*shared))

    def _requests_counting(self, incarnation: str) -> frozenset[bytes]:
        """Return the requests, without parts, for which the termination of an instance counts."""
        requests = (f for f in self._records.requests_at(incarnation) if not is_part(f))
        records = ((f, self._records.find(f)) for f in requests)
        return frozenset(
            fingerprint
            for fingerprint, record in records
            if record is not None and incarnation not in record.cleared
        )

    def _is_refused(self, fingerprint: bytes, now: float) -> bool:
        """Return whether enough terminations count that no other subject explains."""
        record = self._records.find(fingerprint)
        if record is None or record.terminations < TERMINATIONS_TO_REFUSE:
            if record is not None:
                record.refused_at = None
            return False
        if record.refused_at is not None and now - record.refused_at > DISREGARDING_SECONDS:
            return True
        incarnations = record.counting()
        explained = sum(
            self._is_explained(incarnation, len(incarnations)) for incarnation in incarnations
        )
        counted = len(incarnations) - min(explained, MAX_EXPLAINED)
        refused = counted >= TERMINATIONS_TO_REFUSE
        refused = refused and not self.is_due_to_one_request(fingerprint)
        if not refused:
            record.refused_at = None
        elif record.refused_at is None:
            record.refused_at = now
        return refused

    def _is_explained(self, incarnation: str, count: int) -> bool:
        """Return whether a request with more counted terminations shares this one."""
        others = (self._records.find(other) for other in self._records.requests_at(incarnation))
        return any(
            other is not None
            and len(other.crashes) > count
            and incarnation not in other.cleared
            and other.terminations > count
            for other in others
        )
