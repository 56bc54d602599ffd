"""Counts, for each request, the instances that have terminated while it was under way there.

A request whose instance has terminated is one of perhaps many that were under way, and most of
them have nothing to do with the termination. So a request is refused only when
``TERMINATIONS_TO_REFUSE`` instances have terminated under it. Each complete response to it clears
one of these terminations, or disregards one to come: a request that merely was under way gets far
more responses than its instances terminate. A termination that another, refused request explains
counts for that one only. The record of a request is dropped some time after the last termination.

Times are of the steady clock, in seconds.
"""

from __future__ import annotations

from collections import OrderedDict

import msgspec

from hopstep.domain.quarantine.crash_records import (
    MAX_TERMINATIONS,
    RETENTION_SECONDS,
    CrashRecords,
    drop_oldest,
)
from hopstep.domain.quarantine.crashes import Crash, RequestCrashes

TERMINATIONS_TO_REFUSE = 3
"""Number of counted terminations from which a request is refused: the operators allow three retries
of a request after it has terminated three instances."""

MAX_EXPLAINED = 1
"""Maximum number of a request's terminations that other requests may explain: callers that send two
such requests at once gain one termination by it, and the operators allow three retries.
"""

MAX_INTERRUPTED_AGE_SECONDS = 20.0
"""Time in seconds: an answer that broke off earlier is unrelated to an instance's termination. An
unresponsive instance is unlisted within some four seconds, and an unlisted one is probed for at
most ten seconds.
"""

ABRUPT_TERMINATION_SECONDS = 1.0
"""Time in seconds. An instance may answer other requests between the breaking off of an answer,
because its client disconnected, and its own termination under that request: it terminates some
tenths of a second after it has begun the request. Without this bound, requests whose clients often
disconnect would be refused after three terminations of other causes.
"""

MAX_INTERRUPTED_INCARNATIONS = 512
MAX_INTERRUPTED_REQUESTS = 64
"""Maximum number for each instance: as many as the largest engines process at once."""

MAX_TERMINATED_INCARNATIONS = 1_024

MAX_DISREGARDED = 8
"""Maximum number of terminations, over all nodes, that earlier complete responses disregard, one
each. Otherwise a popular request would be refused for ten minutes when all instances of a service
terminate together. A request that was harmless before and terminates instances now terminates
eleven at the most.
"""

DISREGARDING_SECONDS = 2.0
"""Time in seconds. Terminations later than this after the first disregarded one count, until the
next complete response; and explanations by other requests later than this after a request was
refused change nothing. Operators count runs that are sent three seconds or more after the third
termination. Otherwise a request that had been answered often would terminate one instance after
the other.
"""

MAX_ANSWERED = 1_024
"""Maximum number of requests whose complete responses are kept, those answered last."""


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


class _DisregardCredit(msgspec.Struct):
    """Complete responses to a request, each of which disregards a later termination.

    Attributes:
        left: Number of complete responses at this node that haven't been used.
        used: Terminations that any node has disregarded since the last complete response here.
        until: Time until which terminations are disregarded; infinite until the first one is.
    """

    left: int = 0
    used: int = 0
    until: float = float("inf")

    def renew(self) -> None:
        """Add a complete response, which shows that the request terminates no instances now."""
        self.left = min(MAX_DISREGARDED, self.left + 1)
        self.reopen()

    def reopen(self) -> None:
        """Allow terminations to be disregarded again as if none had been."""
        self.used = 0
        self.until = float("inf")

    def use(self, now: float) -> bool:
        """Use one complete response; return False when none is left or valid."""
        if not self.left or self.used >= MAX_DISREGARDED or now > self.until:
            return False
        self.left -= 1
        self.note_used(now)
        return True

    def note_used(self, now: float) -> None:
        """Record a termination that is disregarded, here or at another node."""
        self.used += 1
        self.until = min(self.until, now + DISREGARDING_SECONDS)


class _Interruption(msgspec.Struct):
    """A request whose answer broke off, while its instance isn't found to have terminated.

    Attributes:
        at: When it broke off.
        survived: Whether the instance has answered a request that was sent later.
    """

    at: float
    survived: bool = False


class CrashLedger:
    """One node's record of requests and the terminations of instances under them."""

    def __init__(self, node: str) -> None:
        """Start without any records.

        Args:
            node: Name of this node.
        """
        self._node = node
        self._records = CrashRecords()
        self._interruptions: OrderedDict[str, OrderedDict[bytes, _Interruption]] = OrderedDict()
        self._terminated: OrderedDict[str, None] = OrderedDict()
        self._answered: OrderedDict[bytes, _DisregardCredit] = OrderedDict()

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
        interruptions = self._interruptions.setdefault(incarnation, OrderedDict())
        interruptions[fingerprint] = _Interruption(now)
        interruptions.move_to_end(fingerprint)
        self._interruptions.move_to_end(incarnation)
        drop_oldest(interruptions, MAX_INTERRUPTED_REQUESTS)
        drop_oldest(self._interruptions, MAX_INTERRUPTED_INCARNATIONS)
        return None

    def note_answer(self, incarnation: str, sent_at: float) -> None:
        """Record an instance's answer to a request that was sent at a time."""
        for interruption in self._interruptions.get(incarnation, {}).values():
            interruption.survived = interruption.survived or interruption.at <= sent_at

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
            for fingerprint, interruption in self._interruptions.pop(incarnation, {}).items()
            if self._may_have_terminated(interruption, now - interruption.at, abruptly=abruptly)
        ]
        return [termination for termination in counted if termination is not None]

    def note_complete_response(self, fingerprint: bytes) -> str:
        """Clear the oldest counted termination of a request, or disregard one to come.

        Returns:
            The incarnation whose termination no longer counts; empty for none.
        """
        record = self._records.find(fingerprint)
        if record is not None and record.terminations:
            incarnation = record.counting()[0]
            record.clear(incarnation)
            if fingerprint in self._answered:
                self._answered[fingerprint].reopen()
            return incarnation
        self._answered.setdefault(fingerprint, _DisregardCredit()).renew()
        self._answered.move_to_end(fingerprint)
        drop_oldest(self._answered, MAX_ANSWERED)
        return ""

    def release(self, fingerprint: bytes) -> None:
        """Clear the oldest terminations until a request isn't refused: a trial got a whole answer.

        One more termination makes it refused again. Clearing only one, as for any complete
        response, would leave requests refused that have five to seven terminations by then.
        """
        record = self._records.find(fingerprint)
        for incarnation in record.counting() if record is not None else ():
            if record is not None and record.terminations >= TERMINATIONS_TO_REFUSE:
                record.clear(incarnation)

    def clear(self, fingerprint: bytes) -> int:
        """Clear all counted terminations of a request, and return their number."""
        record = self._records.find(fingerprint)
        if record is None:
            return 0
        terminations = record.terminations
        for incarnation in record.crashes:
            record.clear(incarnation)
        return terminations

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
        credit = self._answered.get(fingerprint)
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
        credit = self._answered.get(fingerprint)
        if credit is not None:
            credit.note_used(now)

    @staticmethod
    def _may_have_terminated(
        interruption: _Interruption, seconds: float, *, abruptly: bool
    ) -> bool:
        """Return whether an instance may have terminated under a request.

        Args:
            interruption: The request's interruption.
            seconds: Time from the breaking off of its answer until the termination was detected.
            abruptly: Whether the instance has terminated just then.
        """
        if interruption.survived:
            return abruptly and seconds <= ABRUPT_TERMINATION_SECONDS
        return seconds <= MAX_INTERRUPTED_AGE_SECONDS

    def _is_refused(self, fingerprint: bytes, now: float) -> bool:
        """Return whether enough terminations count that no other request explains."""
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
        refused = len(incarnations) - min(explained, MAX_EXPLAINED) >= TERMINATIONS_TO_REFUSE
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
