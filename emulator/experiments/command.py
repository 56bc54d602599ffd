"""Runs experiments, prints their tables and writes the reports."""

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
    """One scenario to run, in the form that is sent to a worker process.

    Attributes:
        deployment: Name of the deployment.
        scenario: Name of the scenario.
        strategies: Names of the strategies.
        seeds: Seeds of the traces, one trace each.
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
        seeds: Seeds of the traces, one trace each in every scenario.
        directory: Directory of ``experiments.json`` and ``experiments.html``.
        workers: Worker processes, each running one scenario at a time; 1 runs all scenarios in
            this process. The results don't depend on it.

    Raises:
        ValueError: When a name is unknown; the message lists the known ones.
    """
    plans = [
        ScenarioPlan(deployment, scenario, tuple(strategies), tuple(seeds))
        for deployment in deployments
        for scenario in scenarios
    ]
    _check_names(plans)
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


def _check_names(plans: Sequence[ScenarioPlan]) -> None:
    """Raise ``ValueError`` for an unknown name, before any scenario runs."""
    for plan in plans:
        _find(DEPLOYMENTS, plan.deployment, "deployment")
        _find(SCENARIOS, plan.scenario, "scenario")
        for name in plan.strategies:
            _find(STRATEGIES_BY_NAME, name, "strategy")
        if not plan.seeds:
            raise ValueError("at least one seed is needed")


def _run_plans(plans: Sequence[ScenarioPlan], workers: int) -> list[Result]:
    """Run plans in parallel, and return their results in the order of the plans."""
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
    """Print the current run; on a terminal, the line replaces the previous one."""
    end = "\r" if sys.stderr.isatty() else "\n"
    print(line.ljust(78), end=end, file=sys.stderr, flush=True)


def _find(known: dict[str, Item], name: str, kind: str) -> Item:
    """Return the item with a name; raise ``ValueError`` with the known names otherwise."""
    if name not in known:
        raise ValueError(f"unknown {kind} {name!r}; expected one of {sorted(known)}")
    return known[name]
