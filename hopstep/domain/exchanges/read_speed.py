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
    """Return the slowness of each instance of a service.

    It is the ratio of observed to expected time. Instances without observations get the median of
    the others; without any, all get 1.0.

    Args:
        observed: Observations of all nodes, one entry for each instance.
    """
    learned = [_ratio(sums) for sums in observed]
    known = [ratio for ratio in learned if ratio is not None]
    usual = statistics.median(known) if known else 1.0
    return [usual if ratio is None else ratio for ratio in learned]


def _ratio(sums: ReadSums) -> float | None:
    """Return the limited ratio of two sums; None without observations."""
    if sums.expected_read_ms <= 0:
        return None
    return max(MIN_SLOWNESS, min(MAX_SLOWNESS, sums.read_ms / sums.expected_read_ms))
