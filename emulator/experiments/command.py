"""The experiment command: runs, prints, writes reports."""

from __future__ import annotations

import sys
import time
from collections.abc import Sequence
from pathlib import Path
from typing import TypeVar

from emulator.experiments.deployments import DEPLOYMENTS
from emulator.experiments.report import class_table, terminal_table, write_json, write_page
from emulator.experiments.runner import (
    HOPSTEP,
    OMNISCIENT,
    STRATEGIES,
    STRATEGY_NAMES,
    Result,
    StrategyKind,
    run_scenario,
)
from emulator.experiments.scenarios import SCENARIOS, Scenario
from emulator.experiments.verdicts import verdicts

Item = TypeVar("Item")

DEFAULT_SEEDS = (1, 2, 3)
DEFAULT_DIRECTORY = Path("build/reports")


def run_experiments(
    deployments: Sequence[str] = tuple(DEPLOYMENTS),
    scenarios: Sequence[str] = tuple(SCENARIOS),
    strategies: Sequence[str] = STRATEGY_NAMES,
    seeds: Sequence[int] = DEFAULT_SEEDS,
    directory: Path = DEFAULT_DIRECTORY,
) -> list[Result]:
    """Run experiments in virtual time, print the tables and write the reports.

    Args:
        deployments: Names of deployments.
        scenarios: Names of scenarios.
        strategies: Names of strategies.
        seeds: One trace for each, in every scenario.
        directory: Where ``experiments.json`` and ``experiments.html`` go.

    Raises:
        ValueError: An unknown name; the message lists the known ones.
    """
    chosen_scenarios = [_find(SCENARIOS, name, "scenario") for name in scenarios]
    by_name = {kind.name: kind for kind in STRATEGIES}
    kinds = [_find(by_name, name, "strategy") for name in strategies]
    makers = [_find(DEPLOYMENTS, name, "deployment") for name in deployments]
    if not seeds:
        raise ValueError("at least one seed is needed")
    started = time.monotonic()
    results: list[Result] = []
    for make in makers:
        for scenario in chosen_scenarios:
            results += _run(make().name, scenario, kinds, seeds)
    directory.mkdir(parents=True, exist_ok=True)
    write_json(results, seeds, directory / "experiments.json")
    write_page(results, seeds, directory / "experiments.html")
    print(terminal_table(results))
    print(class_table(results, (HOPSTEP, OMNISCIENT)))
    print(verdicts(results))
    print(f"\nseeds {list(seeds)}, {time.monotonic() - started:.0f} s; reports in {directory}")
    return results


def _run(
    deployment: str, scenario: Scenario, kinds: Sequence[StrategyKind], seeds: Sequence[int]
) -> list[Result]:
    """Run one scenario of one deployment, with progress on standard error."""
    return run_scenario(DEPLOYMENTS[deployment](), scenario, kinds, seeds, _show_progress)


def _show_progress(line: str) -> None:
    """Show which run is under way; on a terminal the line replaces the one before."""
    end = "\r" if sys.stderr.isatty() else "\n"
    print(line.ljust(78), end=end, file=sys.stderr, flush=True)


def _find(known: dict[str, Item], name: str, kind: str) -> Item:
    """Return a named item, or say which names there are."""
    if name not in known:
        raise ValueError(f"unknown {kind} {name!r}; expected one of {sorted(known)}")
    return known[name]
