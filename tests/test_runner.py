"""Tests of the test runner."""

import io
import unittest
from collections.abc import Mapping

from tests import runner
from tests.runner import KnownRed, KnownRedError, Outcome, Record


class Sample(unittest.TestCase):
    """Cases of each outcome, run by the tests below; discovery doesn't load them."""

    def passes(self) -> None:
        pass

    def fails(self) -> None:
        self.fail("on purpose")

    def errors(self) -> None:
        raise RuntimeError("on purpose")

    def skips(self) -> None:
        self.skipTest("on purpose")

    def fails_in_subtests(self) -> None:
        for number in range(3):
            with self.subTest(number=number):
                self.assertEqual(number, 0)

    @unittest.expectedFailure
    def succeeds_unexpectedly(self) -> None:
        pass

    @unittest.expectedFailure
    def fails_as_expected(self) -> None:
        self.fail("on purpose")


def sample_name(method: str) -> str:
    return Sample(method).id()


def run_samples(*methods: str) -> dict[str, Record]:
    suite = unittest.TestSuite(Sample(method) for method in methods)
    return runner.run_suite(suite, io.StringIO())


def listed(*methods: str) -> Mapping[str, KnownRed]:
    names = [sample_name(method) for method in methods]
    return {name: KnownRed(name, "a cause", "#1") for name in names}


class RunTest(unittest.TestCase):
    def test_each_method_has_its_outcome(self) -> None:
        expected = {
            "passes": Outcome.PASSED,
            "fails": Outcome.FAILED,
            "errors": Outcome.FAILED,
            "skips": Outcome.SKIPPED,
            "fails_in_subtests": Outcome.FAILED,
            "succeeds_unexpectedly": Outcome.FAILED,
            "fails_as_expected": Outcome.FAILED,
        }
        records = run_samples(*expected)
        outcomes = {name: record.outcome for name, record in records.items()}
        self.assertEqual(
            outcomes, {sample_name(method): outcome for method, outcome in expected.items()}
        )

    def test_subtests_are_one_failure_with_each_reason(self) -> None:
        record = run_samples("fails_in_subtests")[sample_name("fails_in_subtests")]
        self.assertEqual(len(record.details), 2)

    def test_a_line_for_each_module(self) -> None:
        stream = io.StringIO()
        runner.run_suite(unittest.TestSuite([Sample("passes"), Sample("skips")]), stream)
        self.assertEqual(stream.getvalue(), f"{__name__}: 1 passed, 0 failed, 1 skipped\n")


class JudgeTest(unittest.TestCase):
    def test_pass(self) -> None:
        report = runner.evaluate(run_samples("passes", "skips"), {}, complete=True)
        self.assertEqual(report.summary, "1 passed, 0 failed, 1 skipped")
        self.assertEqual(report.exit_code, 0)

    def test_failure_is_printed_in_full(self) -> None:
        report = runner.evaluate(run_samples("passes", "fails"), {}, complete=True)
        self.assertEqual(report.exit_code, 1)
        self.assertIn("AssertionError: on purpose", report.failures[0])

    def test_no_tests_is_a_failure(self) -> None:
        self.assertEqual(runner.evaluate({}, {}, complete=True).exit_code, 1)

    def test_only_skips_is_a_failure(self) -> None:
        self.assertEqual(runner.evaluate(run_samples("skips"), {}, complete=True).exit_code, 1)

    def test_known_red_counts_as_skipped(self) -> None:
        report = runner.evaluate(run_samples("passes", "fails"), listed("fails"), complete=True)
        self.assertEqual(report.summary, "1 passed, 0 failed, 1 skipped")
        self.assertEqual(report.exit_code, 0)
        self.assertEqual(report.known, (f"known red: {sample_name('fails')}, a cause, #1",))

    def test_known_red_excuses_no_other_test(self) -> None:
        report = runner.evaluate(run_samples("fails", "errors"), listed("fails"), complete=True)
        self.assertEqual(report.summary, "0 passed, 1 failed, 1 skipped")
        self.assertEqual(report.exit_code, 1)

    def test_known_red_that_passes_or_skips_is_stale(self) -> None:
        for method in ("passes", "skips"):
            with self.subTest(method=method):
                report = runner.evaluate(run_samples(method), listed(method), complete=True)
                self.assertEqual(report.summary, "0 passed, 1 failed, 0 skipped")
                self.assertEqual(report.exit_code, 1)

    def test_known_red_not_met_is_stale_in_a_complete_run_only(self) -> None:
        records = run_samples("passes")
        self.assertEqual(runner.evaluate(records, listed("fails"), complete=True).exit_code, 1)
        self.assertEqual(runner.evaluate(records, listed("fails"), complete=False).exit_code, 0)

    def test_closing_lines(self) -> None:
        stream = io.StringIO()
        report = runner.evaluate(run_samples("passes", "fails"), listed("fails"), complete=True)
        runner.print_report(report, stream)
        self.assertEqual(
            stream.getvalue().splitlines()[-2:],
            ["1 known red, counted as skipped:", "1 passed, 0 failed, 1 skipped"],
        )


class KnownRedTest(unittest.TestCase):
    def test_comments_and_commas(self) -> None:
        entries = runner.parse_known_red("# a comment\n\na.b.c, slow, then late, #7\n")
        self.assertEqual(entries, {"a.b.c": KnownRed("a.b.c", "slow, then late", "#7")})

    def test_three_are_admitted_and_four_are_not(self) -> None:
        lines = [f"a.b.c{number}, cause, #1" for number in range(4)]
        self.assertEqual(len(runner.parse_known_red("\n".join(lines[:3]))), 3)
        with self.assertRaises(KnownRedError):
            runner.parse_known_red("\n".join(lines))

    def test_malformed_lines_are_refused(self) -> None:
        for text in ("a.b.c", "a.b.c, cause", "a.b.c, , #1", "a.b, x, #1\na.b, y, #2"):
            with self.subTest(text=text), self.assertRaises(KnownRedError):
                runner.parse_known_red(text)
