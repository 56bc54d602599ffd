"""Holds what is known of requests under which instances have ended, and for how long.

Requests with one end and those with more are held apart, each in the order of their last ends, so
that the many that merely were under way at an instance can't push out those that end several.
Times are of the steady clock, in seconds.
"""

from __future__ import annotations

from collections import OrderedDict, defaultdict
from typing import Any

from hopstep.domain.quarantine.crashes import Crash

RETENTION_SECONDS = 600.0
"""After the last end. Longer than a client is likely to go on trying, and short enough for a
request that was refused without cause; the longest lease of the platform's store.
"""

MAX_REQUESTS = 1_024
"""Held with one end, and as many with more: at some 400 bytes each less than a megabyte."""

MAX_ENDS = 16
"""Held for each request; further ones change nothing."""


class CrashRecord:
    """What is known of one request.

    Attributes:
        crashes: Ends of instances, by their lives, the oldest first.
        cleared: Lives whose ends no longer count.
        last_at: When the last end became known.
        refused_at: When it was first found to be refused; None while it isn't.
    """

    def __init__(self, now: float) -> None:
        """Know nothing but the time."""
        self.crashes: OrderedDict[str, Crash] = OrderedDict()
        self.cleared: OrderedDict[str, None] = OrderedDict()
        self.last_at = now
        self.refused_at: float | None = None

    @property
    def terminations(self) -> int:
        """How many ends count."""
        return len(self.counting())

    def counting(self) -> list[str]:
        """Return the lives whose ends count, the oldest first."""
        return [life for life in self.crashes if life not in self.cleared]

    def clear(self, life: str) -> None:
        """Let an end no longer count."""
        self.cleared[life] = None
        drop_oldest(self.cleared, MAX_ENDS)


class CrashRecords:
    """The records, by the requests' fingerprints; bounded in number and age."""

    def __init__(self) -> None:
        """Hold nothing."""
        self._once: OrderedDict[bytes, CrashRecord] = OrderedDict()
        self._repeated: OrderedDict[bytes, CrashRecord] = OrderedDict()
        self._sharing: defaultdict[str, set[bytes]] = defaultdict(set)

    def __len__(self) -> int:
        """Return the number of requests."""
        return len(self._once) + len(self._repeated)

    def find(self, fingerprint: bytes) -> CrashRecord | None:
        """Return what is known of a request."""
        return self._repeated.get(fingerprint) or self._once.get(fingerprint)

    def repeated(self) -> list[bytes]:
        """Return the requests under which more than one instance has ended."""
        return list(self._repeated)

    def requests_at(self, life: str) -> frozenset[bytes]:
        """Return the requests that were under way when an instance ended."""
        return frozenset(self._sharing.get(life, ()))

    def add(self, fingerprint: bytes, crash: Crash, now: float) -> CrashRecord | None:
        """Add an end of a request; None when it is known, or too many are."""
        record = self.find(fingerprint) or CrashRecord(now)
        if crash.incarnation in record.crashes or not self._make_room(fingerprint, record):
            return None
        record.crashes[crash.incarnation] = crash
        record.last_at = now
        self._once.pop(fingerprint, None)
        self._repeated.pop(fingerprint, None)
        tier = self._repeated if len(record.crashes) > 1 else self._once
        tier[fingerprint] = record
        self._sharing[crash.incarnation].add(fingerprint)
        while len(tier) > MAX_REQUESTS:
            self._forget(*tier.popitem(last=False))
        return record

    def expire(self, now: float) -> None:
        """Forget the requests whose last end is too long ago."""
        for tier in (self._once, self._repeated):
            while tier and now - next(iter(tier.values())).last_at >= RETENTION_SECONDS:
                self._forget(*tier.popitem(last=False))

    def _make_room(self, fingerprint: bytes, record: CrashRecord) -> bool:
        """Return whether one more end can be held, in place of one that no longer counts."""
        if len(record.crashes) < MAX_ENDS:
            return True
        cleared = next((life for life in record.crashes if life in record.cleared), None)
        if cleared is None:
            return False
        del record.crashes[cleared], record.cleared[cleared]
        self._unshare(fingerprint, cleared)
        return True

    def _forget(self, fingerprint: bytes, record: CrashRecord) -> None:
        """Forget which instances a request shared with others."""
        for life in record.crashes:
            self._unshare(fingerprint, life)

    def _unshare(self, fingerprint: bytes, life: str) -> None:
        """Forget that an instance ended under a request."""
        sharing = self._sharing[life]
        sharing.discard(fingerprint)
        if not sharing:
            del self._sharing[life]


def drop_oldest(entries: OrderedDict[Any, Any], bound: int) -> None:
    """Forget the oldest entries beyond a bound."""
    while len(entries) > bound:
        entries.popitem(last=False)
