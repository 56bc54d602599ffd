"""Meaning of the limit that an instance names in an answer: requests a second, from all nodes.

A value is a decimal number without sign or exponent. 0 takes nothing at all. Of several values,
in several fields or in one list (RFC 9110, section 5.3), the lowest counts. Anything else (words,
``nan``, negative numbers) tells nothing, so what was known before goes on.
"""

from __future__ import annotations

import re
from collections.abc import Iterable

MAX_PER_SECOND = 1_000_000.0
"""Higher limits count as this one, which binds nobody."""

_NUMBER = re.compile(r"[0-9]+(\.[0-9]*)?|\.[0-9]+")


def limit_per_second(values: Iterable[str]) -> float | None:
    """Return the limit that the fields of one answer name; None when they can't be read.

    Args:
        values: Values of all fields of one answer, at least one.
    """
    numbers = [part.strip() for value in values for part in value.split(",")]
    if not numbers or not all(_NUMBER.fullmatch(number) for number in numbers):
        return None
    return min(MAX_PER_SECOND, *(float(number) for number in numbers))
