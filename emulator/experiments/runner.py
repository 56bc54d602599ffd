"""Runs strategies on the same traces, and summarizes each measure over the seeds."""

from __future__ import annotations

import statistics
from collections.abc import Callable, Iterable, Sequence

import msgspec

from emulator.experiments.deployments import Deployment
from emulator.experiments.measures import Measures, summarize
from emulator.experiments.omniscient import OmniscientStrategy
from emulator.experiments.scenarios import WARM_UP_SECONDS, Scenario
from emulator.experiments.simulation import MakeStrategy, Simulation
from emulator.experiments.strategies import (
    BoundedLoadBaseline,
    HopstepStrategy,
    LeastOutstandingBaseline,
    RandomBaseline,
    RendezvousBaseline,
    RoundRobinBaseline,
)
from emulator.experiments.traffic import TraceRequest, TrafficGenerator
from hopstep.domain.configuration.document import Configuration
from hopstep.domain.routing.prompt_heads import HashPrompt
from hopstep.domain.routing.routing_table import RoutingTable

HOPSTEP = "hopstep"
HOPSTEP_WITHOUT_IMPORT = "hopstep without import"
OMNISCIENT = "omniscient"

Progress = Callable[[str], None]


class StrategyKind(msgspec.Struct, frozen=True):
    """A strategy under test.

    Attributes:
        name: Its name in reports.
        make: Returns a factory of routers' strategies, given a configuration and a prompt hasher.
        imports: Whether it may import blocks from the KV cache store.
    """

    name: str
    make: Callable[[Configuration, HashPrompt], MakeStrategy]
    imports: bool = True


STRATEGIES = (
    StrategyKind("random", lambda _c, _h: lambda _w, source: RandomBaseline(source), False),
    StrategyKind(
        "round robin", lambda _c, _h: lambda _w, source: RoundRobinBaseline(source), False
    ),
    StrategyKind(
        "least outstanding",
        lambda _c, _h: lambda _w, source: LeastOutstandingBaseline(source),
        False,
    ),
    StrategyKind("rendezvous", lambda _c, _h: lambda _w, source: RendezvousBaseline(source), False),
    StrategyKind(
        "bounded load", lambda _c, _h: lambda _w, source: BoundedLoadBaseline(source), False
    ),
    StrategyKind(
        HOPSTEP,
        lambda _c, hasher: lambda _w, source: HopstepStrategy(RoutingTable(source, hasher)),
    ),
    StrategyKind(
        HOPSTEP_WITHOUT_IMPORT,
        lambda _c, hasher: lambda _w, source: HopstepStrategy(RoutingTable(source, hasher)),
        False,
    ),
    StrategyKind(
        OMNISCIENT,
        lambda configuration, _h: (
            lambda world, source: OmniscientStrategy(world, configuration, source)
        ),
    ),
)
"""Every strategy, baselines first."""

STRATEGY_NAMES = tuple(kind.name for kind in STRATEGIES)

BASELINES = tuple(kind.name for kind in STRATEGIES[:5])


class Spread(msgspec.Struct, frozen=True):
    """Median, lowest and highest value of a measure over the seeds."""

    median: float
    lowest: float
    highest: float


class Result(msgspec.Struct, frozen=True):
    """Measures of one strategy in one scenario of one deployment.

    Attributes:
        deployment: Name of the deployment.
        scenario: Name of the scenario.
        strategy: Name of the strategy.
        measures: Spread of each measure by name; times to first token as
            ``ttft_p99/CLASS``, in seconds.
    """

    deployment: str
    scenario: str
    strategy: str
    measures: dict[str, Spread]


def run_scenario(
    deployment: Deployment,
    scenario: Scenario,
    kinds: Sequence[StrategyKind],
    seeds: Sequence[int],
    progress: Progress,
) -> list[Result]:
    """Run strategies on the same traces of one scenario.

    Args:
        deployment: The deployment.
        scenario: The scenario.
        kinds: Strategies.
        seeds: Seeds of the traces, one trace each.
        progress: Called with a line before each run.
    """
    measured: dict[str, list[Measures]] = {kind.name: [] for kind in kinds}
    for seed in seeds:
        plan = scenario.traffic_plan(deployment)
        trace = TrafficGenerator(deployment, plan, seed).trace()
        for kind in kinds:
            progress(f"{deployment.name}, {scenario.name}, seed {seed}: {kind.name}")
            measured[kind.name].append(run_one(deployment, scenario, kind, trace, seed))
    return [
        Result(deployment.name, scenario.name, kind.name, _spreads(measured[kind.name]))
        for kind in kinds
    ]


def run_one(
    deployment: Deployment,
    scenario: Scenario,
    kind: StrategyKind,
    trace: list[TraceRequest],
    seed: int,
) -> Measures:
    """Run one strategy on one trace and return its measures after the warm-up."""
    if not kind.imports:
        deployment = _without_imports(deployment)
    simulation = Simulation(
        deployment,
        trace,
        kind.make(deployment.configuration, _precomputed_hasher(trace)),
        seed,
        event_loss_ratio=scenario.event_loss_ratio,
        event_delay_seconds=scenario.event_delay_seconds,
    )
    if scenario.induce is not None:
        scenario.induce(simulation)
    outcomes = simulation.run()
    return summarize([item for item in outcomes if item.sent_at >= WARM_UP_SECONDS])


def _without_imports(deployment: Deployment) -> Deployment:
    """Return the deployment with KV cache imports disabled."""
    configuration = deployment.configuration
    routing = msgspec.structs.replace(configuration.routing, import_tokens_per_second=0.0)
    return msgspec.structs.replace(
        deployment, configuration=msgspec.structs.replace(configuration, routing=routing)
    )


def _precomputed_hasher(trace: Iterable[TraceRequest]) -> HashPrompt:
    """Return a hasher that looks up the precomputed block keys of the trace's prompts."""
    by_text = {item.request.prompt: item.prepared.block_keys for item in trace}

    def hash_prompt(text: str, salt: str) -> list[int]:
        del salt  # Each prompt text occurs once in a trace, with one salt.
        return list(by_text[text])

    return hash_prompt


def _spreads(measured: Sequence[Measures]) -> dict[str, Spread]:
    """Return the spread of each measure over the seeds."""
    rows = [_flatten(measures) for measures in measured]
    names = [name for name in rows[0] if all(name in row for row in rows)]
    return {name: _spread([row[name] for row in rows]) for name in names}


def _flatten(measures: Measures) -> dict[str, float]:
    """Return the values of all measures by name."""
    flat = {
        "requests": float(measures.requests),
        "hit_rate": measures.hit_rate,
        "import_rate": measures.import_rate,
        "wasted_rate": measures.wasted_rate,
        "goodput": measures.goodput,
        "refused_rate": measures.refused_rate,
        "attempts_per_request": measures.attempts_per_request,
    }
    for name, values in measures.first_token.items():
        flat[f"ttft_p50/{name}"] = values.p50
        flat[f"ttft_p95/{name}"] = values.p95
        flat[f"ttft_p99/{name}"] = values.p99
    return flat


def _spread(values: list[float]) -> Spread:
    """Return the median and the extremes of a measure's values."""
    return Spread(statistics.median(values), min(values), max(values))
