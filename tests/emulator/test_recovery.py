"""Measures of overload and recovery: on constructed responses, and in short runs."""

import pathlib
import tempfile
import unittest

import msgspec

from emulator.recovery import scenarios
from emulator.recovery.command import REPORT_NAME, run_recovery
from emulator.recovery.deployment import GREEDY_TENANT, MODEST_TENANTS
from emulator.recovery.measures import (
    SpanMeasures,
    measure_refusals,
    measure_span,
    recovery_seconds,
    windows,
)
from emulator.recovery.report import Report
from emulator.recovery.scenarios import Plan
from emulator.recovery.traffic import Phase, make_trace, overload_rates, steady_rates
from emulator.simulation.history import Answer, Call, Outcome

TINY = Plan(
    warm_seconds=5.0,
    steady_seconds=15.0,
    overload_seconds=20.0,
    outage_seconds=5.0,
    after_seconds=15.0,
    window_seconds=5.0,
)
CAPACITY = 8.0
SEED = 3


def make_answer(started_at, ended_at, outcome=Outcome.COMPLETE, **fields):
    call = Call("tenant", "ask", "x" * 400, 10)
    return Answer(0, call, "r0", started_at, ended_at=ended_at, outcome=outcome, **fields)


def make_span(goodput=5.0, hit_rate=0.9, ttft_p99=1.0):
    return SpanMeasures(10, goodput, hit_rate, 0.5, ttft_p99, 0, 0)


class MeasuresTest(unittest.TestCase):
    def test_span_counts_arrivals_and_ends_apart(self):
        answers = [
            make_answer(0.0, 11.0, first_token_at=9.0, cached_tokens=50),
            make_answer(1.0, 12.0, first_token_at=9.0, cached_tokens=50),
            make_answer(12.0, 14.0, first_token_at=13.0, cached_tokens=50),
            make_answer(13.0, 25.0, first_token_at=16.0, cached_tokens=100),
            make_answer(14.0, 14.0, Outcome.REFUSED),
            make_answer(15.0, 16.0, Outcome.CONNECTION_LOST),
        ]
        span = measure_span(answers, 10.0, 20.0)
        self.assertEqual((span.sent, span.refused, span.broken), (4, 1, 1))
        self.assertAlmostEqual(span.goodput, 0.3)
        self.assertAlmostEqual(span.hit_rate, 0.75)
        self.assertAlmostEqual(span.ttft_p50, 2.0)

    def test_refusals(self):
        answers = [
            make_answer(1.0, 1.0, Outcome.REFUSED, code="overloaded", retry_after_seconds=2.0),
            make_answer(1.0, 6.0, Outcome.REFUSED, code="overloaded", execution="not_run"),
            make_answer(1.0, 9.0),
        ]
        refusals = measure_refusals(answers)
        self.assertEqual((refusals.count, refusals.late, refusals.not_run), (2, 1, 1))
        self.assertEqual(refusals.without_retry_after, 1)
        self.assertEqual((refusals.max_seconds, refusals.codes), (5.0, ("overloaded",)))

    def test_windows_are_whole(self):
        begins = [begin for begin, _ in windows([], 10.0, 20.0, 5.0, 2.0)]
        self.assertEqual(begins, [10.0, 12.0, 14.0])

    def test_recovery_is_for_good_and_within_the_tolerance(self):
        steady = [make_span(), make_span(goodput=4.0, ttft_p99=2.0)]
        cases = (
            ("goodput", [3.8, 3.8, 3.8], 0.0),
            ("goodput", [1.0, 3.7, 3.8], 2.0),
            ("goodput", [5.0, 1.0, 5.0], 2.0),
            ("goodput", [5.0, 5.0, 3.7], None),
            ("hit_rate", [0.5, 0.86, 0.99], 1.0),
            ("ttft_p99", [9.0, 2.2, 2.0], 2.0),
            ("ttft_p99", [2.1, 0.1, 0.1], 0.0),
        )
        for measure, values, expected in cases:
            with self.subTest(measure=measure, values=values):
                after = [(7.0 + i, make_span(**{measure: v})) for i, v in enumerate(values)]
                self.assertEqual(recovery_seconds(after, steady, 7.0, measure), expected)


class TrafficTest(unittest.TestCase):
    def test_the_load_of_one_tenant_changes_nothing_of_the_others(self):
        calm, loaded = (
            make_trace([Phase(20.0, rates)], 2, SEED)
            for rates in (steady_rates(4.0), overload_rates(4.0, 12.0))
        )
        self.assertEqual((len(calm), len(loaded)), (80, 240))
        modest = [item for item in loaded if item.call.tenant != GREEDY_TENANT]
        self.assertEqual(modest, [item for item in calm if item.call.tenant != GREEDY_TENANT])


class ScenariosTest(unittest.TestCase):
    def test_overload_keeps_goodput_and_modest_tenants(self):
        result = scenarios.run_overload(TINY, CAPACITY, SEED)
        self.assertGreater(result.goodput_over_best, 0.9)
        self.assertEqual(result.overload.broken, 0)
        self.assertGreater(result.refusals.count, 0)
        self.assertEqual(result.refusals.without_retry_after, 0)
        self.assertEqual(result.refusals.not_run, result.refusals.count)
        self.assertEqual([impact.tenant for impact in result.tenants], list(MODEST_TENANTS))
        self.assertEqual([impact.overload.refused for impact in result.tenants], [0, 0, 0])

    def test_store_outage_refuses_at_once_and_ends(self):
        result = scenarios.run_store_outage(TINY, CAPACITY, SEED)
        self.assertEqual(result.refusals.codes, ("not_ready",))
        self.assertEqual((result.refusals.late, result.refusals.without_retry_after), (0, 0))
        self.assertGreaterEqual(result.first_served_seconds, 0.0)

    def test_report_of_events(self):
        names = ["calm", "herd_restart", "engine_loss"]
        lines = []
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory)
            report = run_recovery(names, [SEED], TINY, path, lines.append)
            written = msgspec.json.decode((path / REPORT_NAME).read_bytes(), type=Report)
        self.assertEqual(written, report)
        (result,) = report.seeds
        self.assertEqual(result.calm.recovery.goodput, 0.0)
        self.assertGreater(result.herd_restart.after.broken, 0)
        self.assertEqual(result.engine_loss.steady.broken, 0)
        self.assertIn("herd restart: goodput recovers (s)", lines[-1])

    def test_unknown_scenario(self):
        with self.assertRaisesRegex(ValueError, "scenarios: .*'flood'"):
            run_recovery(["flood"], [SEED], TINY, pathlib.Path(), lambda line: None)


if __name__ == "__main__":
    unittest.main()
