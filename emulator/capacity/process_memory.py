"""Resident memory of a router's process before it holds anything."""

from __future__ import annotations

import subprocess
import sys

PROGRAM = """
import resource
import hopstep.node
print(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss)
"""


def router_process_bytes() -> int:
    """Return the resident bytes of a new process that has loaded the router's modules."""
    # The arguments are constants, so nothing of a caller's reaches the command line.
    command = [sys.executable, "-c", PROGRAM]
    done = subprocess.run(command, capture_output=True, check=True, text=True)  # noqa: S603
    return int(done.stdout) * 1024
