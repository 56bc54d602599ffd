"""The boundary of a simulated process, which blocks its calls when it is paused or killed."""

from __future__ import annotations

from collections.abc import Callable

import trio


class ProcessGate:
    """Gate that every call between a simulated process and its outside crosses, both ways.

    Timers of a paused process continue, but their effects stay inside until it is resumed, as
    with SIGSTOP and SIGCONT. Nothing leaves a killed process, whatever its clean-up tries to
    send.
    """

    def __init__(self) -> None:
        """Start with the process running."""
        self.paused = False
        self.killed = False
        self._opened = trio.Event()
        self._traps: dict[str, Callable[[], None]] = {}

    def pause(self) -> None:
        """Block all calls."""
        self.paused = True

    def resume(self) -> None:
        """Let the waiting calls cross."""
        self.paused = False
        self._wake_waiting()

    def kill(self) -> None:
        """Block all calls forever."""
        self.killed = True
        self._wake_waiting()

    def trap(self, point: str, action: Callable[[], None]) -> None:
        """Run an action the next time that a call is about to cross at a point.

        Args:
            point: Name of the crossing, such as ``engine.generate``; for the response,
                ``.answered`` is appended.
            action: Called before the call crosses, such as to kill the process.
        """
        self._traps[point] = action

    async def cross(self, point: str) -> None:
        """Wait until a call may cross."""
        trap = self._traps.pop(point, None)
        if trap is not None:
            trap()
        # Shielded, so that a deadline that passes during a pause takes effect only after it.
        with trio.CancelScope(shield=True):
            while self.paused and not self.killed:
                await self._opened.wait()
        if self.killed:
            await trio.sleep_forever()

    def _wake_waiting(self) -> None:
        self._opened.set()
        self._opened = trio.Event()
