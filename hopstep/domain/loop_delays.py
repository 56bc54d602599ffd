"""How late the event loop of this process has run its timers lately.

A loop is late while the process gets no processor time, or while one step of it takes long. All
times are of the steady clock, in seconds.
"""

from __future__ import annotations

from collections import deque

import msgspec

MIN_DELAY_SECONDS = 0.02
"""Smaller delays are usual for a busy loop and aren't remembered."""

REMEMBERED_SECONDS = 30.0
"""Time for which a delay is remembered: the longest timeouts of requests."""

MAX_REMEMBERED = 256


class LoopDelay(msgspec.Struct, frozen=True):
    """A timer that ran late.

    Attributes:
        ended_at: When it ran.
        seconds: How much later than it was due.
    """

    ended_at: float
    seconds: float


class LoopDelays:
    """Remembers the latest delays of the loop."""

    def __init__(self) -> None:
        """Start without delays."""
        self._delays: deque[LoopDelay] = deque(maxlen=MAX_REMEMBERED)

    def note(self, due_at: float, now: float) -> None:
        """Note that a timer that was due at a time ran now."""
        if now - due_at >= MIN_DELAY_SECONDS:
            self._delays.append(LoopDelay(now, now - due_at))
        while self._delays and self._delays[0].ended_at < now - REMEMBERED_SECONDS:
            self._delays.popleft()

    def longest_since(self, since: float) -> float:
        """Return the longest delay that ended after a time; 0 for none."""
        return max((d.seconds for d in self._delays if d.ended_at > since), default=0.0)
