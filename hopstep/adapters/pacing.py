"""Pacing of the reads of streams, so that the tokens of one interval are forwarded together.

Each chunk that is forwarded costs processor time, whatever its size. With few streams each token
is forwarded as it arrives. With many, a stream waits between two reads from its engine and
forwards the tokens that arrived in that time in one write: the cost of a token falls as the load
rises. The first token is never delayed.
"""

from __future__ import annotations

import contextlib
from collections.abc import Iterator

COST_PER_READ_SECONDS = 0.0005
"""Processor time to forward one chunk, including its share of the process's other work."""

TARGET_UTILIZATION = 0.5
"""Share of a core that the reads of all streams may take."""

MIN_INTERVAL_SECONDS = 0.004
"""Shorter intervals are skipped: a timer would cost more than it saves."""

MAX_INTERVAL_SECONDS = 0.25
"""Longest time that tokens are held back."""


class Pacer:
    """Derives the interval between a stream's reads from the number of streams."""

    def __init__(self) -> None:
        """Start without open streams."""
        self._streams = 0

    @contextlib.contextmanager
    def stream(self) -> Iterator[None]:
        """Count a stream as open within the context."""
        self._streams += 1
        try:
            yield
        finally:
            self._streams -= 1

    def interval(self) -> float:
        """Return the seconds that a stream waits between two reads; 0 for none."""
        interval = self._streams * COST_PER_READ_SECONDS / TARGET_UTILIZATION
        if interval < MIN_INTERVAL_SECONDS:
            return 0.0
        return min(interval, MAX_INTERVAL_SECONDS)
