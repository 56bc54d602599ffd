"""Reads the numbers in the heads of requests, each within what its header can mean.

Digits are ASCII digits. Only milliseconds may have a fraction or a minus sign; nothing may have an
exponent, an underscore or a plus sign, and ``nan`` and ``inf`` aren't numbers. The number of digits
is bounded before anything is converted: conversion takes time that grows with the square of the
digits, and fails over a few thousand of them.
"""

from __future__ import annotations

import re

from hopstep.exceptions import ErrorCode, ValidationError

OPTIONAL_WHITESPACE = " \t"
"""Whitespace around the value of a header (RFC 9110, section 5.6.3)."""

MAX_TOKENS = 1_000_000_000
"""Tokens of a prompt, one of its parts or an answer; far more than any model's context."""

MAX_MILLISECONDS = 31 * 24 * 3_600 * 1_000
"""31 days: clients that wait without end name at most 2**31 ms, the longest of common timers."""

MAX_EVENT_NUMBER = 10**15 - 1
"""Events of one stream; at a million a second it is reached after 31 years."""

_MAX_DIGITS = 20
"""Digits of a whole number or a fraction, leading zeros included."""

_WHOLE = re.compile(rf"[0-9]{{1,{_MAX_DIGITS}}}")
_DECIMAL = re.compile(rf"-?[0-9]{{1,{_MAX_DIGITS}}}(\.[0-9]{{1,{_MAX_DIGITS}}})?")


def whole_number(text: str, highest: int) -> int | None:
    """Return a whole number; None for any other text, and for a number over the highest.

    Args:
        text: Value of a header, or one element of its list.
        highest: Highest number that can be meant.
    """
    digits = text.strip(OPTIONAL_WHITESPACE)
    if not _WHOLE.fullmatch(digits):
        return None
    number = int(digits)
    return number if number <= highest else None


def tokens(text: str, header: str) -> int:
    """Return a number of tokens.

    Args:
        text: The number.
        header: Header that it stands in.

    Raises:
        ValidationError: It isn't a whole number, or over ``MAX_TOKENS``.
    """
    number = whole_number(text, MAX_TOKENS)
    if number is None:
        raise malformed(header, f"not a whole number of tokens up to {MAX_TOKENS}")
    return number


def milliseconds(text: str, header: str) -> float:
    """Return a time in milliseconds; below 0 if it was over when it was sent.

    Args:
        text: Value of a header.
        header: Name of the header.

    Raises:
        ValidationError: It isn't a decimal number, or over ``MAX_MILLISECONDS``.
    """
    digits = text.strip(OPTIONAL_WHITESPACE)
    number = float(digits) if _DECIMAL.fullmatch(digits) else None
    if number is None or number > MAX_MILLISECONDS:
        raise malformed(header, f"not a number of milliseconds up to {MAX_MILLISECONDS}")
    return number


def is_printable(text: str) -> bool:
    """Return whether a value has only printable ASCII characters, spaces among them."""
    return text.isascii() and text.isprintable()


def malformed(header: str, reason: str) -> ValidationError:
    """Return the error of a header with a value that can't be meant.

    Args:
        header: Name of the header.
        reason: What is wrong with it; doesn't quote the value, which may be long.
    """
    return ValidationError(ErrorCode.MALFORMED_REQUEST, f"{header}: {reason}", field=header)
