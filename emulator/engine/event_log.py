"""Cache events of one incarnation, published with a delay and with gaps."""

from __future__ import annotations

import bisect
import random

import msgspec

from emulator.engine.config import EngineConfig
from hopstep.ports.engine import CacheEvent, CacheEventKind


class _LoggedEvent(msgspec.Struct, frozen=True):
    """An event and its time in seconds."""

    time: float
    event: CacheEvent


class EventLog:
    """Bounded log of cache events."""

    def __init__(self, config: EngineConfig, rng: random.Random) -> None:
        """Start empty.

        Args:
            config: Delay, loss and length of the log.
            rng: Draws which events are lost.
        """
        self._config = config
        self._rng = rng
        self._logged: list[_LoggedEvent] = []
        self._sequence = 0
        self.delay_seconds = config.event_delay_seconds
        self.dropping = False

    def append(self, now: float, kind: CacheEventKind, keys: tuple[int, ...]) -> None:
        """Append an event; a lost one leaves a gap in the sequence."""
        self._sequence += 1
        lost = self._config.event_loss_ratio and self._rng.random() < self._config.event_loss_ratio
        if lost or self.dropping:
            return
        self._logged.append(_LoggedEvent(now, CacheEvent(self._sequence, kind, keys)))
        if len(self._logged) >= 2 * self._config.retained_events:
            del self._logged[: self._config.retained_events]

    def published_after(self, sequence: int, now: float) -> tuple[CacheEvent, ...]:
        """Return events after ``sequence`` that are published by ``now``."""
        start = bisect.bisect_right(self._logged, sequence, key=lambda item: item.event.sequence)
        return tuple(item.event for item in self._logged[start : self._public_count(now)])

    def latest_sequence(self, now: float) -> int:
        """Return the sequence number of the latest published event; 0 for none."""
        count = self._public_count(now)
        return self._logged[count - 1].event.sequence if count else 0

    def _public_count(self, now: float) -> int:
        """Return how many logged events are published by ``now``."""
        public_until = now - self.delay_seconds
        return bisect.bisect_right(self._logged, public_until, key=lambda item: item.time)
