"""Parses ``Retry-After`` of a response (RFC 9110, section 10.2.3) as a backoff time.

Seconds may have fractions. A date is relative to the ``Date`` of the same response, since clocks of
two machines differ. Of several values the longest applies. Anything else is ignored: negative
numbers, words, past dates and dates without ``Date``.
"""

from __future__ import annotations

import email.utils
import re
from collections.abc import Iterable

MAX_BACKOFF_SECONDS = 600.0
"""Longest backoff that an instance can ask for: the longest lease of the platform's store, after
which an unresponsive instance counts as gone in any case."""

MAX_CHARACTERS = 1_024
"""Characters of all values of one response; more of them are ignored. A head holds up to 64 KiB,
whose parsing as a list of numbers takes 20 ms."""

_NUMBER = re.compile(r"\d+(\.\d*)?|\.\d+")


def backoff_seconds(values: Iterable[str], date: str = "") -> float:
    """Return the longest time that the values ask for, in seconds; 0 for none.

    Args:
        values: Values of all ``Retry-After`` fields of one response.
        date: The response's ``Date``; empty for none.
    """
    values = list(values)
    if sum(map(len, values)) > MAX_CHARACTERS:
        return 0.0
    longest = max((_one_value(value, date) for value in values), default=0.0)
    return min(longest, MAX_BACKOFF_SECONDS)


def _one_value(value: str, date: str) -> float:
    """Return the seconds that one field asks for."""
    numbers = [part.strip() for part in value.split(",")]
    if all(_NUMBER.fullmatch(number) for number in numbers):
        return max(float(number) for number in numbers)
    until, answered = unix_seconds(value), unix_seconds(date)
    return max(0.0, until - answered) if until is not None and answered is not None else 0.0


def unix_seconds(date: str) -> float | None:
    """Return the Unix time of an HTTP date, or None for other text."""
    try:
        return email.utils.parsedate_to_datetime(date).timestamp()
    except (TypeError, ValueError, OverflowError):
        return None
