"""``hopstep-emulator bench``: speed benchmarks with real processes, and routing experiments."""

from __future__ import annotations

from pathlib import Path

import trio
from absl import flags

_SPEED = flags.DEFINE_bool("speed", True, "Measure the speed of a router process.")
_EXPERIMENTS = flags.DEFINE_bool("experiments", True, "Run the routing experiments.")
_ENGINES = flags.DEFINE_integer("engines", 6, "Engines behind the router.", lower_bound=1)
_LOADS = flags.DEFINE_integer("load_processes", 6, "Client processes.", lower_bound=1)
_SHORT_REQUESTS = flags.DEFINE_integer(
    "short_requests", 6_000, "Short requests, for rate and memory; 100000 for the full check."
)
_DIRECTORY = flags.DEFINE_string("directory", "build/reports", "Directory of the reports.")


def run() -> int:
    """Run the benchmarks and print their results."""
    import msgspec

    from emulator.benchmarks.speed import BenchmarkOptions, measure_speed
    from emulator.experiments.command import run_experiments

    directory = Path(_DIRECTORY.value)
    directory.mkdir(parents=True, exist_ok=True)
    if _SPEED.value:
        options = BenchmarkOptions(
            engines=_ENGINES.value,
            load_processes=_LOADS.value,
            short_requests=_SHORT_REQUESTS.value,
        )
        report = trio.run(measure_speed, options)
        print("\n".join(report.lines()), flush=True)
        (directory / "speed.json").write_bytes(msgspec.json.encode(report))
    if _EXPERIMENTS.value:
        run_experiments(directory=directory)
    return 0
