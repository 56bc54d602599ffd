"""Measures the resident memory of a router process that has only loaded its modules."""

from __future__ import annotations

import subprocess
import sys

PROGRAM = """
import resource
import hopstep.node
with open("/proc/self/statm") as file:
    print(int(file.read().split()[1]) * resource.getpagesize())
"""
"""Prints the resident bytes after loading, not their peak."""


def router_process_bytes() -> int:
    """Return the resident bytes of a new process that has loaded the router's modules."""
    # The arguments are constants, so no caller's input reaches the command line.
    command = [sys.executable, "-c", PROGRAM]
    done = subprocess.run(command, capture_output=True, check=True, text=True)  # noqa: S603
    return int(done.stdout)
