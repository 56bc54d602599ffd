"""Runs the recovery scenarios for each seed and writes the reports."""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

from emulator.recovery import scenarios
from emulator.recovery.report import Report, encode, render
from emulator.recovery.results import SeedResult
from emulator.recovery.scenarios import Plan

DEFAULT_DIRECTORY = Path("build/reports")
DEFAULT_SEEDS = (1, 2, 3)

REPORT_NAME = "recovery.json"

SCENARIOS: dict[str, Callable[[Plan, float, int], Any]] = {
    "overload": scenarios.run_overload,
    "calm": scenarios.run_calm,
    "herd_restart": scenarios.run_herd_restart,
    "engine_loss": scenarios.run_engine_loss,
    "store_outage": scenarios.run_store_outage,
}
"""Scenarios by the name of their field in ``SeedResult``."""

WriteLine = Callable[[str], None]


def run_recovery(
    names: Sequence[str],
    seeds: Sequence[int],
    plan: Plan,
    directory: Path,
    write_line: WriteLine = print,
) -> Report:
    """Run scenarios, print the table and write the JSON.

    Args:
        names: Names of scenarios, keys of ``SCENARIOS``.
        seeds: Seeds of all random draws; the same seed gives the same results.
        plan: Durations and loads.
        directory: Directory of the report.
        write_line: Called with each line of progress, and with the table.

    Raises:
        ValueError: When a scenario is unknown.
    """
    for name in names:
        if name not in SCENARIOS:
            raise ValueError(f"scenarios: expected of {', '.join(SCENARIOS)}, got {name!r}")
    report = Report(plan, tuple(_run_seed(names, seed, plan, write_line) for seed in seeds))
    write_line(render(report))
    directory.mkdir(parents=True, exist_ok=True)
    (directory / REPORT_NAME).write_bytes(encode(report))
    return report


def _run_seed(names: Sequence[str], seed: int, plan: Plan, write_line: WriteLine) -> SeedResult:
    """Run all scenarios of one seed."""
    capacity = scenarios.measure_capacity(plan, seed)
    results: dict[str, Any] = {}
    for name in names:
        began_at = time.monotonic()
        results[name] = SCENARIOS[name](plan, capacity, seed)
        write_line(f"seed {seed}: {name} in {time.monotonic() - began_at:.0f} s of real time")
    return SeedResult(seed, **results)
