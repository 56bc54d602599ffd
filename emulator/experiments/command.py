"""The experiment command: runs, prints, writes reports."""

from __future__ import annotations

import concurrent.futures
import multiprocessing
import sys
import time
from collections.abc import Sequence
from pathlib import Path
from typing import TypeVar

import msgspec

from emulator.experiments.deployments import DEPLOYMENTS
from emulator.experiments.report import class_table, terminal_table, write_json, write_page
from emulator.experiments.runner import (
    HOPSTEP,
    OMNISCIENT,
    STRATEGIES,
    STRATEGY_NAMES,
    Result,
    run_scenario,
)
from emulator.experiments.scenarios import SCENARIOS
from emulator.experiments.verdicts import verdicts

Item = TypeVar("Item")

DEFAULT_SEEDS = (1, 2, 3)
DEFAULT_WORKERS = 4
STRATEGIES_BY_NAME = {kind.name: kind for kind in STRATEGIES}


class ScenarioPlan(msgspec.Struct, frozen=True):
    """One scenario to run, by names, as it goes to a worker.

    Attributes:
        deployment: Name of the deployment.
        scenario: Name of the scenario.
        strategies: Names of the strategies.
        seeds: One trace for each.
    """

    deployment: str
    scenario: str
    strategies: tuple[str, ...]
    seeds: tuple[int, ...]


DEFAULT_DIRECTORY = Path("build/reports")


def run_experiments(
    deployments: Sequence[str] = tuple(DEPLOYMENTS),
    scenarios: Sequence[str] = tuple(SCENARIOS),
    strategies: Sequence[str] = STRATEGY_NAMES,
    seeds: Sequence[int] = DEFAULT_SEEDS,
    directory: Path = DEFAULT_DIRECTORY,
    workers: int = DEFAULT_WORKERS,
) -> list[Result]:
    """Run experiments in virtual time, print the tables and write the reports.

    Args:
        deployments: Names of deployments.
        scenarios: Names of scenarios.
        strategies: Names of strategies.
        seeds: One trace for each, in every scenario.
        directory: Where ``experiments.json`` and ``experiments.html`` go.
        workers: Scenarios run at once, each in a process; 1 runs all in this one. The figures
            don't depend on it.

    Raises:
        ValueError: An unknown name; the message lists the known ones.
    """
    plans = [
        ScenarioPlan(deployment, scenario, tuple(strategies), tuple(seeds))
        for deployment in deployments
        for scenario in scenarios
    ]
    _check(plans)
    started = time.monotonic()
    results = _run_plans(plans, workers)
    directory.mkdir(parents=True, exist_ok=True)
    write_json(results, seeds, directory / "experiments.json")
    write_page(results, seeds, directory / "experiments.html")
    print(terminal_table(results))
    print(class_table(results, (HOPSTEP, OMNISCIENT)))
    print(verdicts(results))
    print(f"\nseeds {list(seeds)}, {time.monotonic() - started:.0f} s; reports in {directory}")
    return results


def _check(plans: Sequence[ScenarioPlan]) -> None:
    """Raise ``ValueError`` for a name that nobody knows, before anything runs."""
    for plan in plans:
        _find(DEPLOYMENTS, plan.deployment, "deployment")
        _find(SCENARIOS, plan.scenario, "scenario")
        for name in plan.strategies:
            _find(STRATEGIES_BY_NAME, name, "strategy")
        if not plan.seeds:
            raise ValueError("at least one seed is needed")


def _run_plans(plans: Sequence[ScenarioPlan], workers: int) -> list[Result]:
    """Run plans, several at once, and return their results in order."""
    results: list[Result] = []
    if workers <= 1:
        for plan in plans:
            results += run_plan(plan)
        return results
    context = multiprocessing.get_context("spawn")
    with concurrent.futures.ProcessPoolExecutor(workers, mp_context=context) as pool:
        for done in pool.map(run_plan, plans):
            results += done
    return results


def run_plan(plan: ScenarioPlan) -> list[Result]:
    """Run one scenario of one deployment, with progress on standard error."""
    kinds = [STRATEGIES_BY_NAME[name] for name in plan.strategies]
    deployment = DEPLOYMENTS[plan.deployment]()
    return run_scenario(deployment, SCENARIOS[plan.scenario], kinds, plan.seeds, _show_progress)


def _show_progress(line: str) -> None:
    """Show which run is under way; on a terminal the line replaces the one before."""
    end = "\r" if sys.stderr.isatty() else "\n"
    print(line.ljust(78), end=end, file=sys.stderr, flush=True)


def _find(known: dict[str, Item], name: str, kind: str) -> Item:
    """Return a named item, or say which names there are."""
    if name not in known:
        raise ValueError(f"unknown {kind} {name!r}; expected one of {sorted(known)}")
    return known[name]
