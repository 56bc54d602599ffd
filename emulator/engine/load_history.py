"""Load of an engine as it reports it: with a lag."""

from __future__ import annotations

from collections import deque

import msgspec

from hopstep.ports.engine import LoadReport

SAMPLES_PER_LAG = 16
"""Largest number of samples in the time of one lag."""


class LoadHistory:
    """Samples of the load, read with a lag."""

    def __init__(self, lag_seconds: float) -> None:
        """Start without samples.

        Args:
            lag_seconds: Age of the load that is reported.
        """
        self.lag_seconds = lag_seconds
        self._samples: deque[tuple[float, LoadReport]] = deque()

    def due(self, now: float) -> bool:
        """Return whether a new sample is due at ``now``."""
        if not self._samples:
            return True
        return now - self._samples[-1][0] >= self.lag_seconds / SAMPLES_PER_LAG

    def record(self, now: float, load: LoadReport) -> None:
        """Add a sample, and drop those that no report needs any more."""
        self._samples.append((now, load))
        while len(self._samples) > 1 and self._samples[1][0] <= now - self.lag_seconds:
            self._samples.popleft()

    def report(self, now: float) -> LoadReport:
        """Return the load of one lag before ``now``, with its age."""
        best: tuple[float, LoadReport] | None = None
        for sample in self._samples:
            if sample[0] > now - self.lag_seconds:
                break
            best = sample
        if best is None:
            return LoadReport()
        return msgspec.structs.replace(best[1], age_seconds=now - best[0])
