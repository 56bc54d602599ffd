"""Finds the weights version that an event of a stream tells in its first line."""

from __future__ import annotations

import re

from hopstep.platform import names

EVENT_BOUNDARY = b"\n\n"
MAX_LINE_BYTES = 64
"""A line with a version is shorter; so much of the last piece is looked at again with the next."""

_LINE = re.compile(EVENT_BOUNDARY + names.VERSIONS + rb": *([0-9]{1,15})\r?\n")


class WeightsLines:
    """Follows one stream, whose pieces may end anywhere."""

    def __init__(self) -> None:
        """Start a stream: its first event has a boundary before it."""
        self._last = EVENT_BOUNDARY

    def feed(self, data: bytes) -> int:
        """Return the last version that a whole line tells in what has come; 0 for none."""
        seen = self._last + data
        self._last = seen[-MAX_LINE_BYTES:]
        if names.VERSIONS not in seen:
            return 0
        found = _LINE.findall(seen)
        return int(found[-1]) if found else 0
