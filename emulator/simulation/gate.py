"""The border of a simulated process: what is paused or killed crosses it no more."""

from __future__ import annotations

from collections.abc import Callable

import trio


class ProcessGate:
    """Every call between one simulated process and its outside crosses here, both ways.

    Timers of a paused process go on, but nothing that they lead to comes out before it is
    resumed, as after SIGSTOP and SIGCONT. Nothing ever comes out of a killed one, whatever its
    clean-up tries to send.
    """

    def __init__(self) -> None:
        """Start with the process running."""
        self.paused = False
        self.killed = False
        self._opened = trio.Event()
        self._traps: dict[str, Callable[[], None]] = {}

    def pause(self) -> None:
        """Let nothing cross."""
        self.paused = True

    def resume(self) -> None:
        """Let what waits cross."""
        self.paused = False
        self._open()

    def kill(self) -> None:
        """Let nothing cross ever again."""
        self.killed = True
        self._open()

    def trap(self, point: str, action: Callable[[], None]) -> None:
        """Do something the next time that a call is about to cross.

        Args:
            point: Name of the crossing, such as ``engine.generate``; the way back has
                ``.answered`` appended.
            action: What to do, such as killing the process.
        """
        self._traps[point] = action

    async def cross(self, point: str) -> None:
        """Wait until a call may cross."""
        trap = self._traps.pop(point, None)
        if trap is not None:
            trap()
        # Shielded: a deadline that passes during a pause shows only after it.
        with trio.CancelScope(shield=True):
            while self.paused and not self.killed:
                await self._opened.wait()
        if self.killed:
            await trio.sleep_forever()

    def _open(self) -> None:
        self._opened.set()
        self._opened = trio.Event()
