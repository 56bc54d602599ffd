"""A node on a machine that can be suspended: ``python -m emulator.soak.suspendable_node``.

While a machine is suspended its ordinary steady clock stands still; the one that counts suspension,
and the time of day, go on. A process can't suspend its machine, so this one is stopped, and learns
as it goes on how long it was suspended in all: the ordinary clocks of its interpreter are set back
by that. Everything else is the node as it is.

The first argument is ``--suspended_file=PATH``, the file with these seconds; the others are the
node's.
"""

from __future__ import annotations

import signal
import sys
import time
from collections.abc import Callable
from pathlib import Path
from types import FrameType

FILE_ARGUMENT = "--suspended_file="


class SuspendableClocks:
    """Sets the ordinary steady clocks back by the time for which the machine was suspended."""

    def __init__(self, path: Path) -> None:
        """Take the clocks' place in the module ``time``.

        Args:
            path: File with the seconds for which the machine was suspended so far.
        """
        self._path = path
        self._suspended = self._read()
        self._clock_gettime = time.clock_gettime
        time.monotonic = self._set_back(time.monotonic)
        time.perf_counter = self._set_back(time.perf_counter)
        time.clock_gettime = self._gettime

    def wake(self, _number: int, _frame: FrameType | None) -> None:
        """Take the new total."""
        self._suspended = self._read()

    def _read(self) -> float:
        """Return the total; 0 before the first suspension."""
        try:
            return float(self._path.read_text())
        except (OSError, ValueError):
            return 0.0

    def _set_back(self, clock: Callable[[], float]) -> Callable[[], float]:
        """Return a clock that stood still meanwhile."""
        return lambda: clock() - self._suspended

    def _gettime(self, number: int) -> float:
        """Return a clock's time; only the ordinary steady ones stood still."""
        seconds = self._clock_gettime(number)
        still = number in (time.CLOCK_MONOTONIC, time.CLOCK_MONOTONIC_RAW)
        return seconds - self._suspended if still else seconds


def main() -> None:
    """Run the node over such clocks."""
    if len(sys.argv) > 1 and sys.argv[1].startswith(FILE_ARGUMENT):
        path = sys.argv.pop(1).removeprefix(FILE_ARGUMENT)
        signal.signal(signal.SIGCONT, SuspendableClocks(Path(path)).wake)
    # Loaded behind the change of the clocks: modules keep the functions that they import.
    from hopstep.cli import node

    node.main()


if __name__ == "__main__":
    # Without a handler SIGHUP ends the process, also while the rest is loaded.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    main()
