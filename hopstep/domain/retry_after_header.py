"""Meaning of ``Retry-After`` in an answer (RFC 9110, section 10.2.3), as a time to leave alone.

Seconds may have fractions. A date counts from the ``Date`` of the same answer, since clocks of two
machines differ. Of several values the longest counts. Anything else means nothing: negative
numbers, words, dates that are past or come without ``Date``.
"""

from __future__ import annotations

import email.utils
import re
from collections.abc import Iterable

MAX_BACKOFF_SECONDS = 600.0
"""Longest time for which an instance is left alone at its own wish: the longest lease of the
platform's store, after which an instance that doesn't speak counts as gone by any other means."""

_NUMBER = re.compile(r"\d+(\.\d*)?|\.\d+")


def backoff_seconds(values: Iterable[str], date: str = "") -> float:
    """Return the longest time that values ask for, in seconds; 0 for none.

    Args:
        values: Values of all ``Retry-After`` fields of one answer.
        date: The answer's ``Date``; empty for none.
    """
    longest = max((_one_value(value, date) for value in values), default=0.0)
    return min(longest, MAX_BACKOFF_SECONDS)


def _one_value(value: str, date: str) -> float:
    """Return the time that one field asks for."""
    numbers = [part.strip() for part in value.split(",")]
    if all(_NUMBER.fullmatch(number) for number in numbers):
        return max(float(number) for number in numbers)
    until, answered = unix_seconds(value), unix_seconds(date)
    return max(0.0, until - answered) if until is not None and answered is not None else 0.0


def unix_seconds(date: str) -> float | None:
    """Return the Unix time of an HTTP date, or None for what isn't one."""
    try:
        return email.utils.parsedate_to_datetime(date).timestamp()
    except (TypeError, ValueError, OverflowError):
        return None
