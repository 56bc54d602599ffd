"""``hopstep-emulator recovery``: behaviour under overload, and recovery times after failures.

Runs the routers' real services over emulated engines in virtual time: twice the capacity for
five minutes, a restart of all routers, the loss of a third of the engines, and a restart
while the store is down. Prints a table and writes ``recovery.json``.
"""

from __future__ import annotations

from pathlib import Path

from absl import flags

from emulator.recovery.command import DEFAULT_DIRECTORY, DEFAULT_SEEDS, SCENARIOS, run_recovery
from emulator.recovery.scenarios import Plan

_SCENARIOS = flags.DEFINE_list("scenarios", list(SCENARIOS), "Scenarios to run.")
_SEEDS = flags.DEFINE_list("seeds", [str(seed) for seed in DEFAULT_SEEDS], "Seeds of the runs.")
_OVERLOAD_SECONDS = flags.DEFINE_float(
    "overload_seconds", Plan().overload_seconds, "Virtual time at twice the capacity.", 1.0
)
_DIRECTORY = flags.DEFINE_string("directory", str(DEFAULT_DIRECTORY), "Directory of the report.")


def run() -> int:
    """Run the scenarios that the flags name; raises ``ValueError`` for an unknown name."""
    run_recovery(
        _SCENARIOS.value,
        [int(seed) for seed in _SEEDS.value],
        Plan(overload_seconds=_OVERLOAD_SECONDS.value),
        Path(_DIRECTORY.value),
    )
    return 0
