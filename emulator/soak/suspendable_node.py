"""A node on a machine that can be suspended, and whose links to instances can be cut.

Run by ``python -m emulator.soak.suspendable_node``.

While a machine is suspended, its ordinary monotonic clock stands still; the clock that counts
suspension and the time of day go on. A process can't suspend its machine, so this process is
stopped instead. As it continues, it reads the total time of its suspensions and sets the ordinary
clocks of its interpreter back by that. Everything else is the unchanged node.

While links are cut, new connections fail except those to some ports; open ones go on.

The first argument is ``--suspended_file=PATH``, the file with the total in seconds, the second may
be ``--cut_file=PATH``, a file with a ``LinkCut``; the others are the node's.
"""

from __future__ import annotations

import json
import signal
import sys
import time
from collections.abc import Callable
from pathlib import Path
from types import FrameType
from typing import Any

FILE_ARGUMENT = "--suspended_file="
CUT_ARGUMENT = "--cut_file="
REFUSING, HANGING = "refusing", "hanging"
"""How new connections fail while links are cut."""

REFUSAL_SECONDS = 0.002


class SuspendableClocks:
    """Sets the ordinary monotonic clocks back by the time for which the machine was suspended."""

    def __init__(self, path: Path) -> None:
        """Replace the clocks in the module ``time``.

        Args:
            path: File with the total seconds for which the machine has been suspended.
        """
        self._path = path
        self._suspended = self._read()
        self._clock_gettime = time.clock_gettime
        time.monotonic = self._set_back(time.monotonic)
        time.perf_counter = self._set_back(time.perf_counter)
        time.clock_gettime = self._gettime

    def wake(self, _number: int, _frame: FrameType | None) -> None:
        """Read the new total; handler of SIGCONT."""
        self._suspended = self._read()

    def _read(self) -> float:
        """Return the total; 0 before the first suspension."""
        try:
            return float(self._path.read_text())
        except (OSError, ValueError):
            return 0.0

    def _set_back(self, clock: Callable[[], float]) -> Callable[[], float]:
        """Return a clock that doesn't count suspensions."""
        return lambda: clock() - self._suspended

    def _gettime(self, number: int) -> float:
        """Return a clock's time; only the ordinary monotonic clocks don't count suspensions."""
        seconds = self._clock_gettime(number)
        still = number in (time.CLOCK_MONOTONIC, time.CLOCK_MONOTONIC_RAW)
        return seconds - self._suspended if still else seconds


class CutLinks:
    """Lets new connections fail as a file says: ``{"kind": ..., "open_ports": [...]}``."""

    def __init__(self, path: Path) -> None:
        """Replace the call that connects sockets.

        Args:
            path: The file; without it links work.
        """
        import trio

        self._path = path
        self._sleep = trio.sleep
        socket_type: Any = trio.socket.SocketType.__subclasses__()[0]
        self._connect = socket_type.connect
        socket_type.connect = self._replacement()

    def _replacement(self) -> Callable[..., Any]:
        """Return the method that connects a socket unless its link is cut."""

        async def connect(socket: Any, address: Any) -> None:
            kind = self._kind(address)
            if kind == HANGING:
                await self._sleep(float("inf"))
            if kind == REFUSING:
                await self._sleep(REFUSAL_SECONDS)
                raise ConnectionRefusedError
            await self._connect(socket, address)

        return connect

    def _kind(self, address: Any) -> str:
        """Return how a connection to an address fails; empty if its link works."""
        try:
            cut = json.loads(self._path.read_text())
        except (OSError, ValueError):
            return ""
        return "" if address[1] in cut["open_ports"] else str(cut["kind"])


def main() -> None:
    """Run the node with suspendable clocks and links that can be cut."""
    if len(sys.argv) > 1 and sys.argv[1].startswith(FILE_ARGUMENT):
        path = sys.argv.pop(1).removeprefix(FILE_ARGUMENT)
        signal.signal(signal.SIGCONT, SuspendableClocks(Path(path)).wake)
    if len(sys.argv) > 1 and sys.argv[1].startswith(CUT_ARGUMENT):
        CutLinks(Path(sys.argv.pop(1).removeprefix(CUT_ARGUMENT)))
    # Imported after the clocks are replaced, as modules keep the functions that they import.
    from hopstep.cli import node

    node.main()


if __name__ == "__main__":
    # By default SIGHUP ends the process, also while modules are being imported.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    main()
