"""Stalls of the machine that runs the soak; promises with time bounds aren't checked in them."""

from __future__ import annotations

import os
from pathlib import Path

import msgspec
import trio

from emulator.soak.disturbances import MACHINE, Disturbance
from emulator.soak.history import History

PROCESSOR_TIMES = Path("/proc/stat")
FIRST_GUEST_FIELD = 9
"""First field of guest times, which are already counted in earlier fields."""

STOLEN_FIELD = 7
UNKNOWN_SHARE = -1.0
"""Stolen share where the processor times can't be read."""

CHECK_INTERVAL_SECONDS = 0.05
STALL_SECONDS = 0.25
"""Delay of a clock check from which on the machine counts as stalled."""


class MachineStalls(msgspec.Struct):
    """Stalls of a run.

    Attributes:
        count: Number of stalls.
        total_seconds: Duration of all stalls together.
        longest_seconds: Duration of the longest stall.
    """

    count: int = 0
    total_seconds: float = 0.0
    longest_seconds: float = 0.0


class MachineLoad(msgspec.Struct, frozen=True):
    """Load of the machine during a run.

    Attributes:
        average: Load average of the last minute: processes that run or wait for a processor.
        stolen_share: Share of the machine's processor time that other machines of the same host
            took; negative where it can't be read.
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
    """Return the machine's load since the given processor times were read."""
    now = read_processor_times()
    stolen = UNKNOWN_SHARE
    if before is not None and now is not None and now.total > before.total:
        stolen = (now.stolen - before.stolen) / (now.total - before.total)
    return MachineLoad(os.getloadavg()[0], stolen)


class MachineWatch:
    """Detects stalls of the machine by the delay of its own timers."""

    def __init__(self, history: History) -> None:
        """Start without any stalls.

        Args:
            history: Receives stalls as disturbances of the machine.
        """
        self.stalls = MachineStalls()
        self._history = history

    async def run(self) -> None:
        """Check the clock at a fixed interval until cancelled."""
        while True:
            checked_at = trio.current_time()
            await trio.sleep(CHECK_INTERVAL_SECONDS)
            self.note(checked_at, trio.current_time())

    def note(self, checked_at: float, now: float) -> None:
        """Record a stall if two checks are much more than ``CHECK_INTERVAL_SECONDS`` apart."""
        late = now - checked_at - CHECK_INTERVAL_SECONDS
        if late < STALL_SECONDS:
            return
        self.stalls.count += 1
        self.stalls.total_seconds += late
        self.stalls.longest_seconds = max(self.stalls.longest_seconds, late)
        self._history.disturbances.append(Disturbance("stood still", MACHINE, checked_at, now))
