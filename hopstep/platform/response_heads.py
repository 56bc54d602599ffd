"""Rejects heads that are put together from the heads of two responses.

A peer that stops within a head and then sends another response gives one head to a parser: the
second status line becomes the rest of the first one's reason phrase, or of a header's value.
"""

from __future__ import annotations

import re
from collections import Counter

import h11
import httpcore

from hopstep.platform import names

STATUS_LINE = re.compile(rb"HTTP/1\.\d +\d{3}")
"""Beginning of a status line."""

SINGLE_HEADERS = frozenset(
    {
        names.REQUEST_ID,
        names.SIGNATURE,
        names.INSTANCE_ID,
        names.NOT_EXECUTED,
        names.VERSIONS,
        names.STORE_ERA,
    }
)
"""Headers that a response has once at most."""


def require_single_head(response: h11.Response) -> None:
    """Check that a head belongs to one response.

    Raises:
        httpcore.RemoteProtocolError: When it holds a second status line, or a header twice that a
            response has once.
    """
    values = (response.reason, *(value for _name, value in response.headers))
    if any(STATUS_LINE.search(value) for value in values):
        raise httpcore.RemoteProtocolError("a status line within a head")
    counts = Counter(name for name, _value in response.headers if name in SINGLE_HEADERS)
    repeated = [name.decode() for name, count in counts.items() if count > 1]
    if repeated:
        raise httpcore.RemoteProtocolError(f"more than one {repeated[0]}")
