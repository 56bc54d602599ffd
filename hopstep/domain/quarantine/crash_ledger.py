"""Counts, for each request, the instances that have terminated while it was under way there.

A request whose instance has terminated is one of perhaps many that were under way, and most of
them have nothing to do with the termination. So a request is refused only when
``TERMINATIONS_TO_REFUSE`` instances have terminated under it. Each complete response to it clears
one of these terminations, or disregards one to come: a request that merely was there is answered
far more often than its instances terminate. A termination that another, refused request explains
counts for that one only. The record of a request is dropped some time after the last termination.

Times are of the steady clock, in seconds.
"""

from __future__ import annotations

from collections import OrderedDict

import msgspec

from hopstep.domain.quarantine.crash_records import (
    MAX_ENDS,
    RETENTION_SECONDS,
    CrashRecords,
    drop_oldest,
)
from hopstep.domain.quarantine.crashes import Crash, RequestCrashes

TERMINATIONS_TO_REFUSE = 3
"""The operators allow three retries of a request after it has ended three instances."""

MAX_EXPLAINED = 1
"""Ends of a request that others explain: callers that send two such requests side by side gain one
end by it, and the operators allow three retries.
"""

UNPROVED_SECONDS = 20.0
"""An answer that broke off earlier has nothing to do with an instance's end: a silent instance is
unlisted within some four seconds, and an unlisted one is looked for at most ten seconds.
"""

AT_ONCE_SECONDS = 1.0
"""An instance may answer others between the breaking off of an answer, by a client that leaves,
and its own end under that request: it ends some tenths of a second after it has begun it. Without
this bound requests whose clients often leave were refused after three ends of other causes.
"""

MAX_UNPROVED_LIVES = 512
MAX_UNPROVED_REQUESTS = 64
"""Of each instance: as many as the largest engines work on at once."""

MAX_ENDED = 1_024

MAX_EXCUSED = 8
"""Ends that earlier whole answers excuse, an answer one, over all nodes: without them a popular
request was refused for ten minutes when all instances of a service ended together. A request that
was harmless before and ends instances now ends eleven at the most.
"""

EXCUSING_SECONDS = 2.0
"""Ends that come later than this after the first excused one count, until the request is answered
whole again; and what others explain later than this after a request was refused changes nothing.
Operators count runs that are sent three seconds after the third end and more: without this bound a
request that had been answered often would go on to end one instance after the other.
"""

MAX_ANSWERED = 1_024
"""Requests whose whole answers are remembered, those answered last."""


class CountedTermination(msgspec.Struct, frozen=True):
    """An instance's end that was counted for a request.

    Attributes:
        fingerprint: Of the request.
        crash: The end.
        ends: How many count now.
        excused: Whether it no longer does, since this node has seen the request answered whole.
    """

    fingerprint: bytes
    crash: Crash
    terminations: int
    disregarded: bool = False


class _Excuses(msgspec.Struct):
    """Whole answers to a request that excuse ends to come.

    Attributes:
        left: How many this node has seen.
        used: Ends that any node has excused since this one saw the last answer.
        until: When they no longer do; infinite until one is used.
    """

    left: int = 0
    used: int = 0
    until: float = float("inf")

    def renew(self) -> None:
        """Add a whole answer: the request ends no instances now."""
        self.left = min(MAX_EXCUSED, self.left + 1)
        self.reopen()

    def reopen(self) -> None:
        """Let answers excuse ends again as if none had been excused."""
        self.used = 0
        self.until = float("inf")

    def use(self, now: float) -> bool:
        """Use one up; return False when none holds any longer."""
        if not self.left or self.used >= MAX_EXCUSED or now > self.until:
            return False
        self.left -= 1
        self.note_used(now)
        return True

    def note_used(self, now: float) -> None:
        """Note an end that is excused, here or at another node."""
        self.used += 1
        self.until = min(self.until, now + EXCUSING_SECONDS)


class _Unproved(msgspec.Struct):
    """A request whose answer broke off, while it isn't known whether its instance has ended.

    Attributes:
        at: When it broke off.
        survived: Whether the instance has answered a request that was sent later.
    """

    at: float
    survived: bool = False


class CrashLedger:
    """What a node knows of requests and of the ends of instances."""

    def __init__(self, node: str) -> None:
        """Know nothing.

        Args:
            node: Name of this node.
        """
        self._node = node
        self._records = CrashRecords()
        self._unproved: OrderedDict[str, OrderedDict[bytes, _Unproved]] = OrderedDict()
        self._ended: OrderedDict[str, None] = OrderedDict()
        self._answered: OrderedDict[bytes, _Excuses] = OrderedDict()

    @property
    def is_empty(self) -> bool:
        """Whether no end of an instance counts for any request."""
        return not self._records

    def note_broken(self, fingerprint: bytes, life: str, now: float) -> CountedTermination | None:
        """Note an answer that broke off; return the end that counts if the instance has ended.

        Args:
            fingerprint: Of the request.
            life: The instance.
            now: The time.
        """
        if life in self._ended:
            return self._count(fingerprint, life, now)
        broken = self._unproved.setdefault(life, OrderedDict())
        broken[fingerprint] = _Unproved(now)
        broken.move_to_end(fingerprint)
        self._unproved.move_to_end(life)
        drop_oldest(broken, MAX_UNPROVED_REQUESTS)
        drop_oldest(self._unproved, MAX_UNPROVED_LIVES)
        return None

    def note_answer(self, life: str, sent_at: float) -> None:
        """Note an instance's answer to a request that was sent at a time."""
        for unproved in self._unproved.get(life, {}).values():
            unproved.survived = unproved.survived or unproved.at <= sent_at

    def note_ended(
        self, life: str, now: float, *, abruptly: bool = True
    ) -> list[CountedTermination]:
        """Count the end of an instance for all requests whose answers broke off there.

        Args:
            life: The instance.
            now: The time.
            abruptly: Whether it has ended just then, and not some time before.
        """
        if abruptly:
            self._ended[life] = None
            drop_oldest(self._ended, MAX_ENDED)
        counted = [
            self._count(fingerprint, life, now)
            for fingerprint, unproved in self._unproved.pop(life, {}).items()
            if self._may_have_ended_it(unproved, now - unproved.at, abruptly=abruptly)
        ]
        return [end for end in counted if end is not None]

    def note_complete_response(self, fingerprint: bytes) -> str:
        """Take back the oldest end that counts for a request, or excuse one to come.

        Returns:
            The life whose end no longer counts; empty for none.
        """
        record = self._records.find(fingerprint)
        if record is not None and record.terminations:
            life = record.counting()[0]
            record.clear(life)
            if fingerprint in self._answered:
                self._answered[fingerprint].reopen()
            return life
        self._answered.setdefault(fingerprint, _Excuses()).renew()
        self._answered.move_to_end(fingerprint)
        drop_oldest(self._answered, MAX_ANSWERED)
        return ""

    def release(self, fingerprint: bytes) -> None:
        """Take back the oldest ends until a request isn't refused: a try was answered whole.

        One more end has it refused again. Taking back one alone, as for any whole answer, left
        requests refused that had five to seven ends by then.
        """
        record = self._records.find(fingerprint)
        for life in record.counting() if record is not None else ():
            if record is not None and record.terminations >= TERMINATIONS_TO_REFUSE:
                record.clear(life)

    def clear(self, fingerprint: bytes) -> int:
        """Take back all ends that count for a request, and return how many these were."""
        record = self._records.find(fingerprint)
        if record is None:
            return 0
        ends = record.terminations
        for life in record.crashes:
            record.clear(life)
        return ends

    def merge(self, told: RequestCrashes, now: float) -> list[CountedTermination]:
        """Take what another node knows; return the ends that were new and counted."""
        uncleared = [crash for crash in told.crashes if crash.incarnation not in told.cleared]
        for crash in told.crashes:
            if crash.incarnation in told.cleared:
                self._records.add(told.fingerprint, crash, now)
        for life in told.cleared[-MAX_ENDS:]:
            self._clear_told(told.fingerprint, life, now)
        counted = [self._add(told.fingerprint, crash, now) for crash in uncleared]
        return [end for end in counted if end is not None]

    def terminations(self, fingerprint: bytes) -> int:
        """Return how many instances have ended under a request, as far as it counts."""
        record = self._records.find(fingerprint)
        return record.terminations if record is not None else 0

    def refused_seconds(self, fingerprint: bytes, now: float) -> float:
        """Return for how much longer a request is kept from instances; 0 when it isn't."""
        record = self._records.find(fingerprint)
        if record is None or not self._is_refused(fingerprint, now):
            return 0.0
        return max(0.0, record.last_at + RETENTION_SECONDS - now)

    def last_end_at(self, fingerprint: bytes) -> float:
        """Return when the last end under a request became known; minus infinity for none."""
        record = self._records.find(fingerprint)
        return record.last_at if record is not None else -float("inf")

    def request_crashes(self, fingerprint: bytes) -> RequestCrashes:
        """Return all that is known of a request."""
        record = self._records.find(fingerprint)
        if record is None:
            return RequestCrashes(fingerprint)
        return RequestCrashes(fingerprint, tuple(record.crashes.values()), tuple(record.cleared))

    def repeated(self) -> list[bytes]:
        """Return the requests under which more than one instance has ended."""
        return self._records.repeated()

    def requests_at(self, life: str) -> frozenset[bytes]:
        """Return the requests that were under way when an instance ended."""
        return self._records.requests_at(life)

    def expire(self, now: float) -> None:
        """Forget what is too old."""
        self._records.expire(now)

    def _count(self, fingerprint: bytes, life: str, now: float) -> CountedTermination | None:
        """Count an end that this node saw."""
        return self._add(fingerprint, Crash(life, self._node), now)

    def _add(self, fingerprint: bytes, crash: Crash, now: float) -> CountedTermination | None:
        """Count an end unless it is known, or too many are.

        The one that would have the request refused is excused if the request was answered before.
        """
        record = self._records.add(fingerprint, crash, now)
        if record is None or crash.incarnation in record.cleared:
            return None
        excuses = self._answered.get(fingerprint)
        if excuses is None or not self._is_refused(fingerprint, now) or not excuses.use(now):
            return CountedTermination(fingerprint, crash, record.terminations)
        record.clear(crash.incarnation)
        return CountedTermination(fingerprint, crash, record.terminations, disregarded=True)

    def _clear_told(self, fingerprint: bytes, life: str, now: float) -> None:
        """Let an end no longer count that another node doesn't count.

        It counts among those that may be excused here too: otherwise each node could excuse as many
        ends by its own answers.
        """
        record = self._records.find(fingerprint)
        if record is None or life in record.cleared:
            return
        record.clear(life)
        excuses = self._answered.get(fingerprint)
        if excuses is not None:
            excuses.note_used(now)

    @staticmethod
    def _may_have_ended_it(unproved: _Unproved, seconds: float, *, abruptly: bool) -> bool:
        """Return whether an instance may have ended under a request.

        Args:
            unproved: The request.
            seconds: From the breaking off of its answer until the end was noticed.
            abruptly: Whether the instance has ended just then.
        """
        if unproved.survived:
            return abruptly and seconds <= AT_ONCE_SECONDS
        return seconds <= UNPROVED_SECONDS

    def _is_refused(self, fingerprint: bytes, now: float) -> bool:
        """Return whether enough ends count that no other request explains."""
        record = self._records.find(fingerprint)
        if record is None or record.terminations < TERMINATIONS_TO_REFUSE:
            if record is not None:
                record.refused_at = None
            return False
        if record.refused_at is not None and now - record.refused_at > EXCUSING_SECONDS:
            return True
        lives = record.counting()
        explained = sum(self._is_explained(life, len(lives)) for life in lives)
        refused = len(lives) - min(explained, MAX_EXPLAINED) >= TERMINATIONS_TO_REFUSE
        if not refused:
            record.refused_at = None
        elif record.refused_at is None:
            record.refused_at = now
        return refused

    def _is_explained(self, life: str, ends: int) -> bool:
        """Return whether a request that has ended more instances has ended this one too."""
        others = (self._records.find(other) for other in self._records.requests_at(life))
        return any(
            other is not None
            and len(other.crashes) > ends
            and life not in other.cleared
            and other.terminations > ends
            for other in others
        )
