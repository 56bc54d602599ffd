"""Converts records of origins between this node's clock and ages, as nodes and the store have."""

from __future__ import annotations

from hopstep.domain.exchanges.streams.origin import StreamOrigin
from hopstep.domain.exchanges.streams.origin_records import OriginRecord
from hopstep.ports.origin_messages import ReportedOrigin

MILLISECONDS = 1_000


def report_record(record: OriginRecord, now: float) -> ReportedOrigin:
    """Return a record as it is sent at a time of this node's steady clock."""
    origin = record.origin
    return ReportedOrigin(
        record.key,
        origin.service,
        origin.software_version,
        origin.incarnation,
        max(0, round((now - record.began_at) * MILLISECONDS)),
        max(0, round((record.keep_until - now) * MILLISECONDS)),
    )


def read_record(reported: ReportedOrigin, now: float) -> OriginRecord:
    """Return the record of a message that was received at a time of this node's steady clock."""
    origin = StreamOrigin(reported.service, reported.software_version, reported.incarnation)
    return OriginRecord(
        reported.key,
        origin,
        now - reported.age_ms / MILLISECONDS,
        now + reported.remaining_ms / MILLISECONDS,
    )
