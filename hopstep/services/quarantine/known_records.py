"""What a node knows of the records in the store, by request.

Positions in the store order them. A store that was restored from a backup may show a record from
before trials that have run since.
"""

from __future__ import annotations

from collections import OrderedDict

import msgspec

from hopstep.domain.quarantine.crash_records import MAX_REQUESTS
from hopstep.domain.quarantine.crashes import RequestCrashes
from hopstep.domain.quarantine.trial_uses import TrialUse
from hopstep.domain.store_position import ABSENT, StorePosition


class KnownRecord(msgspec.Struct, frozen=True):
    """Record of a request in the store; version ``ABSENT`` once the key has expired."""

    version: StorePosition
    crashes: RequestCrashes
    use: TrialUse = TrialUse()

    @property
    def is_absent(self) -> bool:
        """Whether the store no longer holds it."""
        return self.version == ABSENT


class KnownRecords:
    """The records that the store showed last, at most ``MAX_REQUESTS``."""

    def __init__(self) -> None:
        """Start without records."""
        self._records: OrderedDict[bytes, KnownRecord] = OrderedDict()

    def get(self, fingerprint: bytes) -> KnownRecord | None:
        """Return a request's record, also one that has expired."""
        return self._records.get(fingerprint)

    def get_held(self, fingerprint: bytes) -> KnownRecord | None:
        """Return a request's record if the store still holds it."""
        record = self._records.get(fingerprint)
        return None if record is None or record.is_absent else record

    def put(self, fingerprint: bytes, record: KnownRecord) -> bool:
        """Remember a record, unless a newer one is known.

        Returns:
            Whether the store was restored since the last one, so that it may lack trials.
        """
        known = self._records.get(fingerprint)
        if known is not None and known.version > record.version:
            return False
        is_restored = known is not None and known.version.era < record.version.era
        if known is not None and is_restored:
            record = _with_later_trials(known, record)
        self._records[fingerprint] = record
        self._records.move_to_end(fingerprint)
        while len(self._records) > MAX_REQUESTS:
            self._records.popitem(last=False)
        return is_restored

    def expire(self, fingerprint: bytes) -> bool:
        """Remember that the store no longer holds a record; return whether one was known."""
        known = self._records.get(fingerprint)
        if known is None:
            return False
        self._records[fingerprint] = KnownRecord(ABSENT, RequestCrashes(fingerprint), known.use)
        return True


def _with_later_trials(known: KnownRecord, record: KnownRecord) -> KnownRecord:
    """Return a record of a store that was restored from a backup, with all trials used so far.

    A record that shows other trials counts as without terminations, so that it is written again.
    """
    use = record.use.merge_older(known.use)
    if use == record.use:
        return record
    return KnownRecord(record.version, RequestCrashes(record.crashes.fingerprint), use)
