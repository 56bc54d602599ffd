"""``hopstep-emulator experiment``: routing experiments in virtual time."""

from __future__ import annotations

from pathlib import Path

from absl import flags

from emulator.experiments.command import (
    DEFAULT_DIRECTORY,
    DEFAULT_SEEDS,
    DEFAULT_WORKERS,
    run_experiments,
)
from emulator.experiments.deployments import DEPLOYMENTS
from emulator.experiments.runner import STRATEGY_NAMES
from emulator.experiments.scenarios import SCENARIOS

_DEPLOYMENTS = flags.DEFINE_list("deployments", list(DEPLOYMENTS), "Deployments to run.")
_SCENARIOS = flags.DEFINE_list("scenarios", list(SCENARIOS), "Scenarios to run.")
_STRATEGIES = flags.DEFINE_list("strategies", list(STRATEGY_NAMES), "Strategies to compare.")
_SEEDS = flags.DEFINE_list("seeds", [str(seed) for seed in DEFAULT_SEEDS], "Seeds of traces.")
_WORKERS = flags.DEFINE_integer(
    "workers", DEFAULT_WORKERS, "Scenarios that run concurrently.", lower_bound=1
)
_DIRECTORY = flags.DEFINE_string("directory", str(DEFAULT_DIRECTORY), "Directory of the reports.")


def run() -> int:
    """Run the experiments that the flags name; raises ``ValueError`` for an unknown name."""
    run_experiments(
        deployments=_DEPLOYMENTS.value,
        scenarios=_SCENARIOS.value,
        strategies=_STRATEGIES.value,
        seeds=[int(seed) for seed in _SEEDS.value],
        directory=Path(_DIRECTORY.value),
        workers=_WORKERS.value,
    )
    return 0
