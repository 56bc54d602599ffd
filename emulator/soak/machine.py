"""How long the machine itself stood still: promises that are bound in time aren't judged then."""

from __future__ import annotations

import os
from pathlib import Path

import msgspec
import trio

from emulator.soak.history import MACHINE, Disturbance, History

PROCESSOR_TIMES = Path("/proc/stat")
FIRST_GUEST_FIELD = 9
"""Times of guests are counted in those before them."""

STOLEN_FIELD = 7
UNKNOWN_SHARE = -1.0

CHECK_INTERVAL_SECONDS = 0.05
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


class MachineLoad(msgspec.Struct, frozen=True):
    """What else the machine did during a run.

    Attributes:
        average: Processes that ran or waited for a processor, mean of the last minute.
        stolen_share: Share of the machine's processor time that other machines of the same host
            took; negative where that can't be read.
    """

    average: float
    stolen_share: float


class ProcessorTimes(msgspec.Struct, frozen=True):
    """Processor time since the start of the machine, in ticks, and the part that was stolen."""

    total: int
    stolen: int


def read_processor_times(path: Path = PROCESSOR_TIMES) -> ProcessorTimes | None:
    """Return the machine's processor times; None where they can't be read."""
    try:
        fields = path.read_text().partition("\n")[0].split()
        times = [int(field) for field in fields[1:FIRST_GUEST_FIELD]]
        return ProcessorTimes(sum(times), times[STOLEN_FIELD])
    except (OSError, ValueError, IndexError):
        return None


def machine_load(before: ProcessorTimes | None) -> MachineLoad:
    """Return what else the machine did since processor times were read."""
    now = read_processor_times()
    stolen = UNKNOWN_SHARE
    if before is not None and now is not None and now.total > before.total:
        stolen = (now.stolen - before.stolen) / (now.total - before.total)
    return MachineLoad(os.getloadavg()[0], stolen)


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
            checked_at = trio.current_time()
            await trio.sleep(CHECK_INTERVAL_SECONDS)
            self.note(checked_at, trio.current_time())

    def note(self, checked_at: float, now: float) -> None:
        """Take two looks that should be ``LOOK_SECONDS`` apart."""
        late = now - checked_at - CHECK_INTERVAL_SECONDS
        if late < STALL_SECONDS:
            return
        self.stalls.count += 1
        self.stalls.total_seconds += late
        self.stalls.longest_seconds = max(self.stalls.longest_seconds, late)
        self._history.disturbances.append(Disturbance("stood still", MACHINE, checked_at, now))
