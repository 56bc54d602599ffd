"""Longer stateful fuzzing over a range of seeds: ``python -m tests.fuzz``."""

import os
import sys
import unittest
from pathlib import Path

from absl import app, flags, logging

from tests import fuzz_settings

ROOT = Path(__file__).resolve().parent.parent
STATEFUL_PATTERN = "test_*stateful*.py"

_FACTOR = flags.DEFINE_float(
    "factor", 200.0, "Number of steps as a multiple of CI's, over all seeds together."
)
_FIRST_SEED = flags.DEFINE_integer("first_seed", 1, "First seed.")
_SEEDS = flags.DEFINE_integer("seeds", 10, "Number of seeds.", lower_bound=1)
_PATTERN = flags.DEFINE_string("pattern", STATEFUL_PATTERN, "File names of the test modules.")


def run_seed(seed: int, factor: float, pattern: str) -> unittest.TestResult:
    """Run every stateful module under one seed."""
    os.environ[fuzz_settings.SEED_VARIABLE] = str(seed)
    os.environ[fuzz_settings.FACTOR_VARIABLE] = str(factor)
    suite = unittest.defaultTestLoader.discover(
        str(ROOT / "tests"), pattern=pattern, top_level_dir=str(ROOT)
    )
    return unittest.TextTestRunner(stream=sys.stdout, verbosity=1).run(suite)


def main(_arguments: list[str]) -> int:
    """Run the range of seeds and print the result."""
    logging.set_verbosity(logging.WARNING)
    seeds = range(_FIRST_SEED.value, _FIRST_SEED.value + _SEEDS.value)
    failed: list[int] = []
    tests = 0
    for seed in seeds:
        print(f"fuzz: seed {seed}", flush=True)
        result = run_seed(seed, _FACTOR.value / len(seeds), _PATTERN.value)
        tests += result.testsRun
        if not result.wasSuccessful():
            failed.append(seed)
    verdict = f"failed at seeds {failed}" if failed else "clean"
    print(
        f"fuzz: seeds {seeds.start} to {seeds.stop - 1}, factor {_FACTOR.value:g},"
        f" {tests} tests run, {verdict}"
    )
    return 1 if failed or not tests else 0


if __name__ == "__main__":
    app.run(main)
