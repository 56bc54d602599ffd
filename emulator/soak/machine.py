"""How long the machine itself stood still: promises that are bound in time aren't judged then."""

from __future__ import annotations

import msgspec
import trio

from emulator.soak.history import MACHINE, Disturbance, History

LOOK_SECONDS = 0.05
STALL_SECONDS = 0.25
"""A look that comes so late means that this machine gave no processor time to anyone."""


class MachineStalls(msgspec.Struct):
    """Stalls of a run.

    Attributes:
        count: How many.
        total_seconds: All together.
        longest_seconds: The longest one.
    """

    count: int = 0
    total_seconds: float = 0.0
    longest_seconds: float = 0.0


class MachineWatch:
    """Measures by how much its own timers are late."""

    def __init__(self, history: History) -> None:
        """Watch nothing yet.

        Args:
            history: Where stalls are recorded as disturbances of the machine.
        """
        self.stalls = MachineStalls()
        self._history = history

    async def run(self) -> None:
        """Look at the clock until cancelled."""
        while True:
            looked_at = trio.current_time()
            await trio.sleep(LOOK_SECONDS)
            self.note(looked_at, trio.current_time())

    def note(self, looked_at: float, now: float) -> None:
        """Take two looks that should be ``LOOK_SECONDS`` apart."""
        late = now - looked_at - LOOK_SECONDS
        if late < STALL_SECONDS:
            return
        self.stalls.count += 1
        self.stalls.total_seconds += late
        self.stalls.longest_seconds = max(self.stalls.longest_seconds, late)
        self._history.disturbances.append(Disturbance("stood still", MACHINE, looked_at, now))
