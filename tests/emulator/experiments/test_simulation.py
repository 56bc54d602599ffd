import unittest

import msgspec

from emulator.experiments.command import run_experiments
from emulator.experiments.deployments import DEPLOYMENTS
from emulator.experiments.measures import percentiles, summarize
from emulator.experiments.runner import STRATEGIES, run_one
from emulator.experiments.scenarios import SCENARIOS
from emulator.experiments.simulation import Simulation
from emulator.experiments.strategies import Strategy, plain_choice
from emulator.experiments.traffic import TrafficGenerator, TrafficPlan

HOPSTEP = next(kind for kind in STRATEGIES if kind.name == "hopstep")


class FixedStrategy(Strategy):
    """Sends the n-th request to the engine with the n-th of the given indexes."""

    def __init__(self, indexes):
        self.indexes = list(indexes)

    def choose(self, item, admissible, excluded, now):
        return plain_choice(admissible[self.indexes.pop(0)], item)


def run_identical(count, indexes):
    """Run requests with the same prompt, one second apart, on the given engines."""
    deployment = DEPLOYMENTS["catalogue"]()
    trace = TrafficGenerator(deployment, TrafficPlan(duration_seconds=5.0), seed=1).trace()
    item = next(item for item in trace if item.request.request_class.name == "careful_batch")
    identical = [
        msgspec.structs.replace(item, sent_at=float(turn), router=item.router)
        for turn in range(count)
    ]
    strategy = FixedStrategy(indexes)
    return item, Simulation(deployment, identical, lambda _world, _random: strategy, seed=1).run()


class MeasureTest(unittest.TestCase):
    def test_a_prompt_seen_once_wastes_nothing(self):
        _, (outcome,) = run_identical(1, [0])
        self.assertEqual((outcome.wasted_tokens, outcome.cached_tokens), (0, 0))
        self.assertEqual(outcome.prefilled_tokens, outcome.prompt_tokens)
        self.assertLess(outcome.first_token_at, outcome.finished_at)

    def test_the_same_engine_again_hits(self):
        item, (_, again) = run_identical(2, [0, 0])
        whole_blocks = (item.prepared.token_count - 1) // 16 * 16
        self.assertEqual((again.cached_tokens, again.wasted_tokens), (whole_blocks, 0))

    def test_another_engine_wastes_the_whole_copy(self):
        item, (_, other) = run_identical(2, [0, 1])
        whole_blocks = (item.prepared.token_count - 1) // 16 * 16
        self.assertEqual((other.cached_tokens, other.wasted_tokens), (0, whole_blocks))

    def test_rates_are_over_prompt_tokens(self):
        item, outcomes = run_identical(2, [0, 1])
        measures = summarize(outcomes)
        whole_blocks = (item.prepared.token_count - 1) // 16 * 16
        self.assertAlmostEqual(measures.wasted_rate, whole_blocks / (2 * item.prepared.token_count))
        self.assertEqual((measures.goodput, measures.refused_rate), (1.0, 0.0))

    def test_percentiles(self):
        values = percentiles(float(value) for value in range(101))
        self.assertEqual((values.p50, values.p95, values.p99), (50.0, 95.0, 99.0))


class DeterminismTest(unittest.TestCase):
    def test_a_run_gives_the_same_measures_again(self):
        deployment = msgspec.structs.replace(DEPLOYMENTS["burdekin"](), requests_per_second=5.0)
        scenario = SCENARIOS["engine_crashes"]
        trace = TrafficGenerator(deployment, scenario.traffic_plan(deployment), seed=3).trace()
        first = run_one(deployment, scenario, HOPSTEP, trace, seed=3)
        self.assertEqual(run_one(deployment, scenario, HOPSTEP, trace, seed=3), first)

    def test_every_scenario_ends_with_each_request_answered_or_refused(self):
        deployment = msgspec.structs.replace(
            DEPLOYMENTS["catalogue"](), requests_per_second=3.0, capacity_per_second=6.0
        )
        for scenario in SCENARIOS.values():
            with self.subTest(scenario.name):
                plan = scenario.traffic_plan(deployment)
                trace = TrafficGenerator(deployment, plan, seed=2).trace()
                strategies = []
                kind = HOPSTEP.make(
                    deployment.configuration,
                    lambda text, salt, trace=trace: next(
                        list(item.prepared.block_keys)
                        for item in trace
                        if item.request.prompt is text
                    ),
                )
                simulation = Simulation(deployment, trace, kind, seed=2)
                strategies += [router.strategy for router in simulation.routers]
                if scenario.induce is not None:
                    scenario.induce(simulation)
                for outcome in simulation.run():
                    ended = min(outcome.finished_at, outcome.refused_at)
                    self.assertLess(ended, float("inf"))
                restarted = [router.strategy for router in simulation.routers] != strategies
                self.assertEqual(restarted, scenario.name == "router_restart")


class CommandTest(unittest.TestCase):
    def test_unknown_names_are_listed(self):
        for field in ("deployments", "scenarios", "strategies"):
            with self.subTest(field), self.assertRaisesRegex(ValueError, "expected one of"):
                run_experiments(**{field: ["nonsense"]})
