"""Test runner that reports per module and accepts a short list of known failures.

Known failures are listed in ``KNOWN-RED.txt`` at the root of the repository, one per line::

    tests.test_ring.RingTest.test_wraps, cause in a few words, issue

A listed test that fails is printed and counted as skipped. A listed test that
passes, is skipped or isn't found by a full run makes the run fail, so that the
list stays up to date. Only tests can be listed, not a failing ``setUpClass`` or
``setUpModule``.
"""

import argparse
import sys
import traceback
import unittest
from collections import Counter
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from pathlib import Path
from types import TracebackType
from typing import TextIO

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED_PATH = ROOT / "KNOWN-RED.txt"
KNOWN_RED_LIMIT = 3
KNOWN_RED_FIELDS = 3
TEST_PATTERN = "test_*.py"

ErrorInfo = tuple[type[BaseException], BaseException, TracebackType] | tuple[None, None, None]


class KnownRedError(ValueError):
    """The list of known failures is malformed or too long."""


class Outcome(StrEnum):
    """Outcome of one test."""

    PASSED = "passed"
    FAILED = "failed"
    SKIPPED = "skipped"


@dataclass(frozen=True, slots=True)
class KnownRed:
    """A test known to fail because of a real fault that is not yet fixed."""

    name: str
    cause: str
    issue: str


@dataclass(slots=True)
class Record:
    """The outcome of one test, with the reasons if it failed or was skipped."""

    outcome: Outcome
    details: list[str] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Report:
    """Outcomes of a run, after known failures are taken into account."""

    passed: int
    failed: int
    skipped: int
    failures: tuple[str, ...]
    known: tuple[str, ...]

    @property
    def summary(self) -> str:
        """The closing line."""
        return f"{self.passed} passed, {self.failed} failed, {self.skipped} skipped"

    @property
    def exit_code(self) -> int:
        """Zero when some test ran and nothing failed unexpectedly."""
        ran = self.passed + self.failed + len(self.known)
        return 0 if ran and not self.failed else 1


class RecordingResult(unittest.TestResult):
    """A test result that keeps one record for each test, with its worst outcome."""

    def __init__(self) -> None:
        super().__init__()
        self.records: dict[str, Record] = {}

    def addSuccess(self, test: unittest.TestCase) -> None:  # noqa: N802
        """Record a pass."""
        super().addSuccess(test)
        self._note(test, Outcome.PASSED)

    def addError(self, test: unittest.TestCase, err: ErrorInfo) -> None:  # noqa: N802
        """Record an error as a failure."""
        super().addError(test, err)
        self._note(test, Outcome.FAILED, format_error(err))

    def addFailure(self, test: unittest.TestCase, err: ErrorInfo) -> None:  # noqa: N802
        """Record a failed assertion."""
        super().addFailure(test, err)
        self._note(test, Outcome.FAILED, format_error(err))

    def addSkip(self, test: unittest.TestCase, reason: str) -> None:  # noqa: N802
        """Record a skip with its reason."""
        super().addSkip(test, reason)
        self._note(test, Outcome.SKIPPED, reason)

    def addExpectedFailure(self, test: unittest.TestCase, err: ErrorInfo) -> None:  # noqa: N802
        """Record an expected failure as a failure: only listed known failures are accepted."""
        super().addExpectedFailure(test, err)
        self._note(test, Outcome.FAILED, "expectedFailure is not admitted\n" + format_error(err))

    def addUnexpectedSuccess(self, test: unittest.TestCase) -> None:  # noqa: N802
        """Record an unexpected success as a failure."""
        super().addUnexpectedSuccess(test)
        self._note(test, Outcome.FAILED, "unexpected success")

    def addSubTest(  # noqa: N802
        self, test: unittest.TestCase, subtest: unittest.TestCase, err: ErrorInfo | None
    ) -> None:
        """Record a failed subtest as a failure of its test."""
        super().addSubTest(test, subtest, err)
        if err is not None:
            self._note(test, Outcome.FAILED, f"{subtest}\n{format_error(err)}")

    def _note(self, test: unittest.TestCase, outcome: Outcome, detail: str = "") -> None:
        record = self.records.setdefault(dotted_name(test), Record(outcome))
        if severity(outcome) > severity(record.outcome):
            record.outcome = outcome
        if detail:
            record.details.append(detail)


def severity(outcome: Outcome) -> int:
    """Return the rank of an outcome; a test keeps its highest one."""
    return (Outcome.PASSED, Outcome.SKIPPED, Outcome.FAILED).index(outcome)


def dotted_name(test: unittest.TestCase) -> str:
    """Return the dotted name of a test, without the parameters of a subtest."""
    owner = getattr(test, "test_case", test)
    return str(owner.id())


def format_error(err: ErrorInfo) -> str:
    """Format an exception with its traceback in full."""
    return "".join(traceback.format_exception(err[1]))


def parse_known_red(text: str) -> dict[str, KnownRed]:
    """Parse the list of known failures.

    Args:
        text: Lines of ``dotted.test.name, cause, issue``; ``#`` starts a comment line.

    Returns:
        The entries by test name.

    Raises:
        KnownRedError: If a line is malformed or repeated, or there are too many.
    """
    lines = [line.strip() for line in text.splitlines()]
    entries = [parse_entry(line) for line in lines if line and not line.startswith("#")]
    if len(entries) > KNOWN_RED_LIMIT:
        raise KnownRedError(f"{len(entries)} known failures, at most {KNOWN_RED_LIMIT} admitted")
    by_name = {entry.name: entry for entry in entries}
    if len(by_name) < len(entries):
        raise KnownRedError("a known failure is listed twice")
    return by_name


def parse_entry(line: str) -> KnownRed:
    """Parse one line; the cause may contain commas.

    Args:
        line: A line of the list.

    Returns:
        The entry.

    Raises:
        KnownRedError: If a field is missing or empty.
    """
    parts = [part.strip() for part in line.split(",")]
    if len(parts) < KNOWN_RED_FIELDS or not all(parts):
        raise KnownRedError(f"malformed line, 'test, cause, issue' expected: {line!r}")
    return KnownRed(name=parts[0], cause=", ".join(parts[1:-1]), issue=parts[-1])


def load_known_red(path: Path) -> dict[str, KnownRed]:
    """Load the list of known failures; a missing file is an empty list."""
    return parse_known_red(path.read_text(encoding="utf-8")) if path.exists() else {}


def load_suite(names: Sequence[str]) -> unittest.TestSuite:
    """Load the named tests, or all of them when no name is given."""
    loader = unittest.TestLoader()
    if names:
        return loader.loadTestsFromNames(names)
    return loader.discover(str(ROOT / "tests"), pattern=TEST_PATTERN, top_level_dir=str(ROOT))


def iterate_cases(suite: unittest.TestSuite) -> Iterator[unittest.TestCase]:
    """Yield the test cases of a suite, depth first."""
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            yield from iterate_cases(item)
        else:
            yield item


def group_by_module(suite: unittest.TestSuite) -> dict[str, unittest.TestSuite]:
    """Regroup a suite into one suite for each test module, in order."""
    groups: dict[str, unittest.TestSuite] = {}
    for case in iterate_cases(suite):
        groups.setdefault(type(case).__module__, unittest.TestSuite()).addTest(case)
    return groups


def run_suite(suite: unittest.TestSuite, stream: TextIO) -> dict[str, Record]:
    """Run a suite and print a line for each test module.

    Args:
        suite: The tests to run.
        stream: Output stream of the lines.

    Returns:
        The records by test name.
    """
    records: dict[str, Record] = {}
    for module, group in group_by_module(suite).items():
        result = RecordingResult()
        group.run(result)
        records.update(result.records)
        counts = Counter(record.outcome for record in result.records.values())
        line = ", ".join(f"{counts[outcome]} {outcome}" for outcome in Outcome)
        print(f"{module}: {line}", file=stream, flush=True)
    return records


def evaluate(
    records: Mapping[str, Record], known_red: Mapping[str, KnownRed], *, complete: bool
) -> Report:
    """Compare the records with the known failures.

    Args:
        records: The records by test name.
        known_red: The known failures by test name.
        complete: Whether all tests should run, so that a listed test that didn't run is stale.

    Returns:
        The report; each stale entry counts as one failure.
    """
    counts: Counter[Outcome] = Counter()
    failures: list[str] = []
    known: list[str] = []
    for name, record in records.items():
        entry = known_red.get(name)
        outcome = record.outcome
        if entry and outcome is Outcome.FAILED:
            known.append(f"known red: {name}, {entry.cause}, {entry.issue}")
            outcome = Outcome.SKIPPED
        elif entry:
            failures.append(f"FAILED {name}: stale entry of the known failures, it {outcome}")
            outcome = Outcome.FAILED
        elif outcome is Outcome.FAILED:
            failures.append("\n".join([f"FAILED {name}", *record.details]))
        counts[outcome] += 1
    missing = sorted(known_red.keys() - records.keys()) if complete else []
    failures += [f"FAILED {name}: stale entry of the known failures, not run" for name in missing]
    return Report(
        passed=counts[Outcome.PASSED],
        failed=counts[Outcome.FAILED] + len(missing),
        skipped=counts[Outcome.SKIPPED],
        failures=tuple(failures),
        known=tuple(known),
    )


def print_skips(records: Mapping[str, Record], stream: TextIO) -> None:
    """Print the skipped tests with their reasons."""
    for name, record in records.items():
        if record.outcome is Outcome.SKIPPED:
            print(f"skipped: {name}, {'; '.join(record.details)}", file=stream)


def print_report(report: Report, stream: TextIO) -> None:
    """Print the failures in full, the known failures and the closing line."""
    for failure in report.failures:
        print(f"\n{failure}", file=stream)
    for line in report.known:
        print(line, file=stream)
    if report.known:
        print(f"{len(report.known)} known red, counted as skipped:", file=stream)
    print(report.summary, file=stream, flush=True)


def main(arguments: Sequence[str]) -> int:
    """Run the tests.

    Args:
        arguments: Dotted names of modules, classes or tests; none means all.

    Returns:
        The exit code: zero when some test ran and none failed unexpectedly.
    """
    parser = argparse.ArgumentParser(prog="python -m tests", description="Run the tests.")
    parser.add_argument("names", nargs="*", metavar="NAME", help="dotted name; none means all")
    names: list[str] = parser.parse_args(arguments).names
    try:
        known_red = load_known_red(KNOWN_RED_PATH)
    except KnownRedError as error:
        print(f"{KNOWN_RED_PATH.name}: {error}", file=sys.stderr)
        return 1
    records = run_suite(load_suite(names), sys.stdout)
    print_skips(records, sys.stdout)
    report = evaluate(records, known_red, complete=not names)
    print_report(report, sys.stdout)
    return report.exit_code
