"""Spacing of the reads of streams, so that tokens that arrive together are passed on together.

Each piece that passes through the process costs processor time, whatever its size. With few
streams each token is passed on as it comes. With many, a stream waits between two reads from
its engine, and what gathers meanwhile leaves in one write: the cost for each token falls as
the load rises. The first token never waits.
"""

from __future__ import annotations

import contextlib
from collections.abc import Iterator

COST_PER_READ_SECONDS = 0.0005
"""Processor time of passing one piece through, with its share of the process's other work."""

TARGET_UTILIZATION = 0.5
"""Share of a core that the reads of all streams may take."""

MIN_INTERVAL_SECONDS = 0.004
"""Shorter intervals aren't worth a timer."""

MAX_INTERVAL_SECONDS = 0.25
"""Longest time that tokens are held back."""


class Pacer:
    """Derives the interval between a stream's reads from the number of streams."""

    def __init__(self) -> None:
        """Start without streams."""
        self._streams = 0

    @contextlib.contextmanager
    def stream(self) -> Iterator[None]:
        """Count a stream while it lasts."""
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
