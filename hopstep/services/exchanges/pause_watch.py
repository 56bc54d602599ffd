"""Notices that this process itself stood still, so that nobody else is blamed for the silence.

A process that was frozen, or got no processor time, finds its timers overdue and bytes of others
unread in its sockets. Whoever judges others by silence looks here first, and starts to count anew.
Deadlines of clients and leases aren't moved: time passed for them.

The looks are the node's tick as well: what else is done five times a second waits for them, so that
an idle process wakes once for all of it.
"""

from __future__ import annotations

import random
from collections.abc import Callable

import trio

from hopstep import log_events
from hopstep.logs import emit

LOOK_SECONDS = 0.2
"""Between two looks at the clock."""

SPREAD = 0.1
"""Share by which the time between two looks varies."""

PAUSE_SECONDS = 0.6
"""A look that comes so long after the last one comes after a pause, not after some busy moments."""

READING_SECONDS = 0.3
"""After a pause: for what arrived meanwhile to be read."""

Listener = Callable[[float], None]


class PauseWatch:
    """Looks at the clock from time to time."""

    def __init__(self, generator: random.Random | None = None) -> None:
        """Start now. Must be called inside the event loop.

        Args:
            generator: Spreads the looks of nodes that started together; None for a steady pace.
        """
        self._generator = generator
        self._looked_at = trio.current_time()
        self._excused_until = -float("inf")
        self._listeners: list[Listener] = []
        self._looked = trio.Event()

    def on_pause(self, listener: Listener) -> None:
        """Tell a listener of each pause: the seconds by which its marks of time should move."""
        self._listeners.append(listener)

    @property
    def has_just_ended(self) -> bool:
        """Whether a pause has ended so lately that not all may be read that came meanwhile."""
        self.look()
        return trio.current_time() < self._excused_until

    def look(self) -> None:
        """Look at the clock; call this before others are judged by their silence."""
        now = trio.current_time()
        seconds = now - self._looked_at
        self._looked_at = now
        if seconds < PAUSE_SECONDS:
            return
        self._excused_until = now + READING_SECONDS
        emit(log_events.PROCESS_PAUSED, seconds=round(seconds, 3))
        for listener in self._listeners:
            listener(seconds + READING_SECONDS)

    async def run(self) -> None:
        """Look until cancelled."""
        while True:
            spread = self._generator.uniform(-SPREAD, SPREAD) if self._generator else 0.0
            await trio.sleep(LOOK_SECONDS * (1.0 + spread))
            self.look()
            self._looked.set()
            self._looked = trio.Event()

    async def wait_look(self) -> None:
        """Wait for the next look at the clock."""
        await self._looked.wait()
