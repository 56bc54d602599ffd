"""Reads what an instance says of itself in the head of an answer."""

from __future__ import annotations

from collections.abc import Iterable

from hopstep.domain.instance_notices import AnswerKind, InstanceNotice, LimitNotice
from hopstep.domain.limit_header import limit_per_second
from hopstep.domain.retry_after_header import backoff_seconds, unix_seconds
from hopstep.platform import names

LEAVES = b"1"
TURNED_AWAY = 503
"""Status of an answer whose ``Retry-After`` is about the instance as a whole."""


def read_notice(
    status: int, headers: Iterable[tuple[bytes, bytes]], kind: AnswerKind
) -> InstanceNotice:
    """Return what an answer's head says of its instance.

    Args:
        status: HTTP status.
        headers: All headers of the answer.
        kind: What the answer is to.
    """
    pairs = [(name.lower(), value.strip()) for name, value in headers]
    leaving = (names.LEAVING, LEAVES) in pairs
    dates = _texts(pairs, names.DATE)
    date = dates[0] if dates else ""
    rest = backoff_seconds(_texts(pairs, names.RETRY_AFTER), date) if status == TURNED_AWAY else 0.0
    return InstanceNotice(leaving, rest, _limit_word(pairs, date, kind))


def _limit_word(
    pairs: list[tuple[bytes, bytes]], date: str, kind: AnswerKind
) -> LimitNotice | None:
    """Return what a head says of the instance's limit; None for what can't be read."""
    values = _texts(pairs, names.LIMIT)
    per_second = limit_per_second(values) if values else None
    if values and per_second is None:
        return None
    return LimitNotice(per_second, unix_seconds(date), kind)


def _texts(pairs: list[tuple[bytes, bytes]], name: bytes) -> list[str]:
    """Return the values of all fields of a name."""
    return [value.decode("latin-1") for found, value in pairs if found == name]
