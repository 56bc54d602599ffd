"""Prefill speed of instances, learned from the time to the first byte of prompts with much work.

Addresses services whose engines differ in speed: with one assumed speed for all, slow engines get
as many prompts as fast ones, and short prompts behind them are late.
"""

from __future__ import annotations

import statistics
from collections import deque
from collections.abc import Sequence

import msgspec

READ_SECONDS_PER_TOKEN = 1.0 / 40_000
"""Assumed time to prefill one prompt token; each instance's slowness scales it."""

MIN_OBSERVED_TOKENS = 1_000
"""Prompts with less work don't show an instance's speed: their time to the first byte consists
mostly of delays that don't depend on their length."""

WINDOW_SECONDS = 10
"""Time for which an observation counts."""

USUAL_MS = 500
"""Expected time of prefills, in milliseconds, that count as observed at the median speed: single
observations vary."""

SAME_FACTOR = 4 / 3
"""Speeds within this factor count as equal: different loads look the same."""

MIN_SLOWNESS = 0.4
MAX_SLOWNESS = 4.0
MILLISECONDS = 1_000


class ReadSums(msgspec.Struct, frozen=True):
    """Observations of prefills.

    Attributes:
        read_ms: Observed times to the first byte, in milliseconds.
        expected_read_ms: Expected times of the same prefills at the assumed speed.
    """

    read_ms: int = 0
    expected_read_ms: int = 0


NO_READS = ReadSums()


class ReadWindow:
    """Sums of the observations of the last ``WINDOW_SECONDS``, by whole seconds."""

    def __init__(self) -> None:
        """Start without observations."""
        self._seconds: deque[tuple[int, ReadSums]] = deque()

    def add(self, seconds: float, tokens: int, now: float) -> None:
        """Add an observation.

        Args:
            seconds: Time from sending a prompt to the first byte of its answer.
            tokens: Tokens that were to be prefilled meanwhile, those of other prompts included.
            now: Steady clock, seconds.
        """
        second = int(now)
        known = ReadSums()
        if self._seconds and self._seconds[-1][0] == second:
            _second, known = self._seconds.pop()
        total = ReadSums(
            known.read_ms + round(seconds * MILLISECONDS),
            known.expected_read_ms + round(tokens * READ_SECONDS_PER_TOKEN * MILLISECONDS),
        )
        self._seconds.append((second, total))

    def sums(self, now: float) -> ReadSums:
        """Return the sums, and forget older observations."""
        if not self._seconds:
            return NO_READS
        while self._seconds and self._seconds[0][0] < now - WINDOW_SECONDS:
            self._seconds.popleft()
        return ReadSums(
            sum(sums.read_ms for _second, sums in self._seconds),
            sum(sums.expected_read_ms for _second, sums in self._seconds),
        )


def learned_slowness(observed: Sequence[ReadSums]) -> list[float]:
    """Return the slowness of each instance of a service, relative to the service's median.

    Delays that all instances have in common, such as a high load of all, make none of them slow.
    Instances without observations get 1.0, and few observations change little.

    Args:
        observed: Observations of all nodes, one entry for each instance.
    """
    ratios = [sums.read_ms / sums.expected_read_ms for sums in observed if sums.expected_read_ms]
    usual = statistics.median(ratios) if ratios else 0.0
    if not usual:
        return [1.0] * len(observed)
    return [_slowness(sums, usual) for sums in observed]


def _slowness(sums: ReadSums, usual: float) -> float:
    """Return the limited ratio of two sums to the usual one.

    Args:
        sums: Observations of one instance.
        usual: Median ratio of observed to expected time of the service.
    """
    expected_ms = sums.expected_read_ms + USUAL_MS
    slowness = (sums.read_ms / usual + USUAL_MS) / expected_ms
    if 1 / SAME_FACTOR < slowness < SAME_FACTOR:
        return 1.0
    return max(MIN_SLOWNESS, min(MAX_SLOWNESS, slowness))
