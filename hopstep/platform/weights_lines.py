"""Finds the weights version that a server-sent event carries in its first line."""

from __future__ import annotations

import re

from hopstep.platform import names

EVENT_BOUNDARY = b"\n\n"
MAX_LINE_BYTES = 64
"""Upper bound of a line with a version; this much data is searched again with the next chunk."""

_LINE = re.compile(EVENT_BOUNDARY + names.VERSIONS + rb": *([0-9]{1,15})\r?\n")


class WeightsVersionScanner:
    """Searches one stream, whose chunks may end anywhere."""

    def __init__(self) -> None:
        """Start as if a boundary came before the first event."""
        self._tail = EVENT_BOUNDARY

    def scan(self, data: bytes) -> int:
        """Return the last version in a complete line of the data received so far; 0 for none."""
        seen = self._tail + data
        self._tail = seen[-MAX_LINE_BYTES:]
        if names.VERSIONS not in seen:
            return 0
        found = _LINE.findall(seen)
        return int(found[-1]) if found else 0
