"""Reads what an instance announces in response headers."""

from __future__ import annotations

from collections.abc import Iterable

from hopstep.domain.instance_notices import AnswerKind, InstanceNotice, LimitNotice
from hopstep.domain.limit_header import limit_per_second
from hopstep.domain.retry_after_header import backoff_seconds, unix_seconds
from hopstep.platform import names

LEAVING_VALUE = b"1"
"""Value of the header by which an instance announces that it shuts down."""

UNAVAILABLE = 503
"""Status of a response whose ``Retry-After`` applies to the instance as a whole."""


def read_notice(
    status: int, headers: Iterable[tuple[bytes, bytes]], kind: AnswerKind
) -> InstanceNotice:
    """Return what an instance announces in the head of a response.

    Args:
        status: HTTP status.
        headers: All headers of the response.
        kind: Kind of call that the response is to.
    """
    pairs = [(name.lower(), value.strip()) for name, value in headers]
    leaving = (names.LEAVING, LEAVING_VALUE) in pairs
    dates = _texts(pairs, names.DATE)
    date = dates[0] if dates else ""
    backoff = (
        backoff_seconds(_texts(pairs, names.RETRY_AFTER), date) if status == UNAVAILABLE else 0.0
    )
    return InstanceNotice(leaving, backoff, _limit_notice(pairs, date, kind))


def _limit_notice(
    pairs: list[tuple[bytes, bytes]], date: str, kind: AnswerKind
) -> LimitNotice | None:
    """Return what a head announces of the instance's limit; None when that can't be read."""
    values = _texts(pairs, names.LIMIT)
    per_second = limit_per_second(values) if values else None
    if values and per_second is None:
        return None
    return LimitNotice(per_second, unix_seconds(date), kind)


def _texts(pairs: list[tuple[bytes, bytes]], name: bytes) -> list[str]:
    """Return the values of all headers of a name."""
    return [value.decode(names.HEADER_ENCODING) for found, value in pairs if found == name]
