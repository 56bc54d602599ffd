"""Bounded store of the records of requests under which instances have terminated.

Requests with one termination and those with more are kept separately, each in the order of their
last terminations, so that the many that merely were under way at an instance can't displace those
that terminate several. Times are of the steady clock, in seconds.
"""

from __future__ import annotations

from collections import OrderedDict, defaultdict
from typing import Any

from hopstep.domain.quarantine.crashes import Crash

RETENTION_SECONDS = 600.0
"""Time in seconds for which a record is kept after the last termination. Longer than a client is
likely to retry, and short enough for a request that was refused without cause; the longest lease of
the platform's store.
"""

MAX_REQUESTS = 1_024
"""Maximum number of requests with one termination, and of those with more: at some 400 bytes each
less than a megabyte."""

MAX_TERMINATIONS = 16
"""Maximum number of terminations kept for each request; further ones are ignored."""


class CrashRecord:
    """The record of one request.

    Attributes:
        crashes: Terminations of instances, by incarnation, the oldest first.
        cleared: Incarnations whose terminations no longer count.
        last_at: When the last termination was recorded.
        refused_at: When it was first found to be refused; None while it isn't.
    """

    def __init__(self, now: float) -> None:
        """Start without any terminations."""
        self.crashes: OrderedDict[str, Crash] = OrderedDict()
        self.cleared: OrderedDict[str, None] = OrderedDict()
        self.last_at = now
        self.refused_at: float | None = None

    @property
    def terminations(self) -> int:
        """Number of terminations that count."""
        return len(self.counting())

    def counting(self) -> list[str]:
        """Return the incarnations whose terminations count, the oldest first."""
        return [incarnation for incarnation in self.crashes if incarnation not in self.cleared]

    def clear(self, *incarnations: str) -> None:
        """Stop counting terminations."""
        self.cleared.update(dict.fromkeys(incarnations))
        drop_oldest(self.cleared, MAX_TERMINATIONS)


class CrashRecords:
    """The records, by the requests' fingerprints; bounded in number and age."""

    def __init__(self) -> None:
        """Start without any records."""
        self._single: OrderedDict[bytes, CrashRecord] = OrderedDict()
        self._repeated: OrderedDict[bytes, CrashRecord] = OrderedDict()
        self._requests_by_incarnation: defaultdict[str, set[bytes]] = defaultdict(set)

    def __len__(self) -> int:
        """Return the number of requests."""
        return len(self._single) + len(self._repeated)

    def find(self, fingerprint: bytes) -> CrashRecord | None:
        """Return the record of a request, or None."""
        return self._repeated.get(fingerprint) or self._single.get(fingerprint)

    def repeated(self) -> list[bytes]:
        """Return the requests under which more than one instance has terminated."""
        return list(self._repeated)

    def requests_at(self, incarnation: str) -> frozenset[bytes]:
        """Return the requests that were under way when an instance terminated."""
        return frozenset(self._requests_by_incarnation.get(incarnation, ()))

    def add(self, fingerprint: bytes, crash: Crash, now: float) -> CrashRecord | None:
        """Record a termination under a request; None when it is on record, or too many are."""
        record = self.find(fingerprint) or CrashRecord(now)
        if crash.incarnation in record.crashes or not self._make_space(fingerprint, record):
            return None
        record.crashes[crash.incarnation] = crash
        record.last_at = now
        self._single.pop(fingerprint, None)
        self._repeated.pop(fingerprint, None)
        tier = self._repeated if len(record.crashes) > 1 else self._single
        tier[fingerprint] = record
        self._requests_by_incarnation[crash.incarnation].add(fingerprint)
        while len(tier) > MAX_REQUESTS:
            self._forget(*tier.popitem(last=False))
        return record

    def expire(self, now: float) -> None:
        """Drop the records whose last termination is older than ``RETENTION_SECONDS``."""
        for tier in (self._single, self._repeated):
            while tier and now - next(iter(tier.values())).last_at >= RETENTION_SECONDS:
                self._forget(*tier.popitem(last=False))

    def _make_space(self, fingerprint: bytes, record: CrashRecord) -> bool:
        """Return whether one more termination can be kept, in place of a cleared one if needed."""
        if len(record.crashes) < MAX_TERMINATIONS:
            return True
        cleared = next(
            (incarnation for incarnation in record.crashes if incarnation in record.cleared), None
        )
        if cleared is None:
            return False
        del record.crashes[cleared], record.cleared[cleared]
        self._remove_request(fingerprint, cleared)
        return True

    def _forget(self, fingerprint: bytes, record: CrashRecord) -> None:
        """Remove a dropped request from the terminations of its instances."""
        for incarnation in record.crashes:
            self._remove_request(fingerprint, incarnation)

    def _remove_request(self, fingerprint: bytes, incarnation: str) -> None:
        """Remove a request from the termination of an instance."""
        fingerprints = self._requests_by_incarnation[incarnation]
        fingerprints.discard(fingerprint)
        if not fingerprints:
            del self._requests_by_incarnation[incarnation]


def drop_oldest(entries: OrderedDict[Any, Any], bound: int) -> None:
    """Remove the oldest entries above a maximum number."""
    while len(entries) > bound:
        entries.popitem(last=False)
