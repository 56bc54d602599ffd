"""Parses the limit that an instance names in a response: requests a second from all nodes together.

A value is a decimal number without sign or exponent. 0 allows no requests. Of several values, in
several fields or in one list (RFC 9110, section 5.3), the lowest applies. Anything else (words,
``nan``, negative numbers) is ignored, so the known limit stays.
"""

from __future__ import annotations

import re
from collections.abc import Iterable

MAX_PER_SECOND = 1_000_000.0
"""Requests a second; higher limits are cut to this one, which no load reaches."""

MAX_CHARACTERS = 1_024
"""Characters of all values of one response; more of them are ignored. A head holds up to 64 KiB,
whose parsing as a list of numbers takes 20 ms."""

_NUMBER = re.compile(r"[0-9]+(\.[0-9]*)?|\.[0-9]+")


def limit_per_second(values: Iterable[str]) -> float | None:
    """Return the limit in the header fields of one response; None when they can't be parsed.

    Args:
        values: Values of all limit fields of one response, at least one.
    """
    values = list(values)
    if sum(map(len, values)) > MAX_CHARACTERS:
        return None
    numbers = [part.strip() for value in values for part in value.split(",")]
    if not numbers or not all(_NUMBER.fullmatch(number) for number in numbers):
        return None
    return min(MAX_PER_SECOND, *(float(number) for number in numbers))
