"""Counts, for each request, the instances that have ended while it was under way there.

A request whose instance has ended is one of perhaps many that were under way, and most of them
have nothing to do with the end. So a request is refused only when ``ENDS_TO_REFUSE`` instances have
ended under it, and each whole answer to it takes one of these ends back, or excuses one to come: a
request that merely was there is answered far more often than its instances end. What is known of a
request is forgotten some time after the last end.

Times are of the steady clock, in seconds.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Any

import msgspec

from hopstep.domain.quarantine.crashes import Crash, RequestCrashes

ENDS_TO_REFUSE = 3
"""The operators allow three retries of a request after it has ended three instances."""

MEMORY_SECONDS = 600.0
"""After the last end. Longer than a client is likely to go on trying, and short enough for a
request that was refused without cause; the longest lease of the platform's store.
"""

MAX_REQUESTS = 1_024
"""Held with one end, and as many with more: at some 400 bytes each less than a megabyte."""

MAX_ENDS = 16
"""Held for each request; further ones change nothing."""

UNPROVED_SECONDS = 20.0
"""An answer that broke off earlier has nothing to do with an instance's end: a silent instance is
unlisted within some four seconds, and an unlisted one is looked for at most ten seconds.
"""

MAX_UNPROVED_LIVES = 512
MAX_UNPROVED_REQUESTS = 64
"""Of each instance: as many as the largest engines work on at once."""

MAX_ENDED = 1_024

MAX_EXCUSED = 3
"""Ends that earlier whole answers excuse at a node: without them a popular request was refused for
ten minutes when all instances of a service ended together.
"""

MAX_ANSWERED = 1_024
"""Requests whose whole answers are remembered, those answered last."""


class CountedEnd(msgspec.Struct, frozen=True):
    """An instance's end that was counted for a request.

    Attributes:
        fingerprint: Of the request.
        crash: The end.
        ends: How many count now.
    """

    fingerprint: bytes
    crash: Crash
    ends: int


class _Record(msgspec.Struct):
    """What is known of one request."""

    crashes: OrderedDict[str, Crash]
    cleared: OrderedDict[str, None]
    last_at: float

    @property
    def ends(self) -> int:
        """How many ends count."""
        return sum(life not in self.cleared for life in self.crashes)


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
        self._once: OrderedDict[bytes, _Record] = OrderedDict()
        self._repeated: OrderedDict[bytes, _Record] = OrderedDict()
        self._unproved: OrderedDict[str, OrderedDict[bytes, _Unproved]] = OrderedDict()
        self._ended: OrderedDict[str, None] = OrderedDict()
        self._answered: OrderedDict[bytes, int] = OrderedDict()

    @property
    def is_empty(self) -> bool:
        """Whether no end of an instance counts for any request."""
        return not self._once and not self._repeated

    def note_broken(self, fingerprint: bytes, life: str, now: float) -> CountedEnd | None:
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
        _drop_oldest(broken, MAX_UNPROVED_REQUESTS)
        _drop_oldest(self._unproved, MAX_UNPROVED_LIVES)
        return None

    def note_answer(self, life: str, sent_at: float) -> None:
        """Note an instance's answer to a request that was sent at a time."""
        for unproved in self._unproved.get(life, {}).values():
            unproved.survived = unproved.survived or unproved.at <= sent_at

    def note_ended(self, life: str, now: float, *, abruptly: bool = True) -> list[CountedEnd]:
        """Count the end of an instance for all requests whose answers broke off there.

        Args:
            life: The instance.
            now: The time.
            abruptly: Whether it has ended just then; otherwise it may have answered others since
                a request's answer broke off, and that request doesn't count.
        """
        if abruptly:
            self._ended[life] = None
            _drop_oldest(self._ended, MAX_ENDED)
        counted = [
            self._count(fingerprint, life, now)
            for fingerprint, unproved in self._unproved.pop(life, {}).items()
            if now - unproved.at <= UNPROVED_SECONDS and (abruptly or not unproved.survived)
        ]
        return [end for end in counted if end is not None]

    def note_whole_answer(self, fingerprint: bytes) -> str:
        """Take back the oldest end that counts for a request, or excuse one to come.

        Returns:
            The life whose end no longer counts; empty for none.
        """
        record = self._find(fingerprint)
        if record is not None and record.ends:
            life = next(life for life in record.crashes if life not in record.cleared)
            self._clear(record, life)
            return life
        self._answered[fingerprint] = min(MAX_EXCUSED, self._answered.get(fingerprint, 0) + 1)
        self._answered.move_to_end(fingerprint)
        _drop_oldest(self._answered, MAX_ANSWERED)
        return ""

    def clear(self, fingerprint: bytes) -> int:
        """Take back all ends that count for a request, and return how many these were."""
        record = self._find(fingerprint)
        if record is None:
            return 0
        ends = record.ends
        for life in record.crashes:
            self._clear(record, life)
        return ends

    def merge(self, told: RequestCrashes, now: float) -> list[CountedEnd]:
        """Take what another node knows; return the ends that were new and count."""
        for life in told.cleared[-MAX_ENDS:]:
            record = self._find(told.fingerprint)
            if record is not None:
                self._clear(record, life)
        cleared = frozenset(told.cleared)
        new = [crash for crash in told.crashes if crash.life not in cleared]
        counted = [self._add(told.fingerprint, crash, now) for crash in new]
        return [end for end in counted if end is not None]

    def ends(self, fingerprint: bytes) -> int:
        """Return how many instances have ended under a request, as far as it counts."""
        record = self._find(fingerprint)
        return record.ends if record is not None else 0

    def refused_seconds(self, fingerprint: bytes, now: float) -> float:
        """Return for how much longer a request is kept from instances; 0 when it isn't."""
        record = self._find(fingerprint)
        if record is None or record.ends < ENDS_TO_REFUSE:
            return 0.0
        return max(0.0, record.last_at + MEMORY_SECONDS - now)

    def told(self, fingerprint: bytes) -> RequestCrashes:
        """Return all that is known of a request."""
        record = self._find(fingerprint)
        if record is None:
            return RequestCrashes(fingerprint)
        return RequestCrashes(fingerprint, tuple(record.crashes.values()), tuple(record.cleared))

    def repeated(self) -> list[bytes]:
        """Return the requests under which more than one instance has ended."""
        return list(self._repeated)

    def expire(self, now: float) -> list[bytes]:
        """Forget what is too old; return the requests that were refused until now."""
        released = []
        for tier in (self._once, self._repeated):
            for fingerprint, record in list(tier.items()):
                if now - record.last_at < MEMORY_SECONDS:
                    break
                del tier[fingerprint]
                if record.ends >= ENDS_TO_REFUSE:
                    released.append(fingerprint)
        return released

    def _count(self, fingerprint: bytes, life: str, now: float) -> CountedEnd | None:
        """Count an end that this node saw, unless an earlier answer excuses it."""
        excused = self._answered.get(fingerprint, 0)
        if excused:
            self._answered[fingerprint] = excused - 1
            return None
        return self._add(fingerprint, Crash(life, self._node), now)

    def _add(self, fingerprint: bytes, crash: Crash, now: float) -> CountedEnd | None:
        """Count an end unless it is known, or too many are."""
        record = self._find(fingerprint)
        if record is None:
            record = self._once[fingerprint] = _Record(OrderedDict(), OrderedDict(), now)
            _drop_oldest(self._once, MAX_REQUESTS)
        if crash.life in record.crashes or not self._make_room(record):
            return None
        record.crashes[crash.life] = crash
        record.last_at = now
        self._move_up(fingerprint, record)
        if crash.life in record.cleared:
            return None
        return CountedEnd(fingerprint, crash, record.ends)

    def _move_up(self, fingerprint: bytes, record: _Record) -> None:
        """Keep the records in the order of their last ends, those with several apart."""
        self._once.pop(fingerprint, None)
        self._repeated.pop(fingerprint, None)
        tier = self._repeated if len(record.crashes) > 1 else self._once
        tier[fingerprint] = record
        _drop_oldest(tier, MAX_REQUESTS)

    @staticmethod
    def _make_room(record: _Record) -> bool:
        """Return whether one more end can be held, in place of one that no longer counts."""
        if len(record.crashes) < MAX_ENDS:
            return True
        cleared = next((life for life in record.crashes if life in record.cleared), None)
        if cleared is None:
            return False
        del record.crashes[cleared], record.cleared[cleared]
        return True

    def _find(self, fingerprint: bytes) -> _Record | None:
        """Return what is known of a request."""
        return self._repeated.get(fingerprint) or self._once.get(fingerprint)

    @staticmethod
    def _clear(record: _Record, life: str) -> None:
        """Let an end no longer count."""
        record.cleared[life] = None
        _drop_oldest(record.cleared, MAX_ENDS)


def _drop_oldest(entries: OrderedDict[Any, Any], bound: int) -> None:
    """Forget the oldest entries beyond a bound."""
    while len(entries) > bound:
        entries.popitem(last=False)
