"""Reports of nodes about their use of something limited, and sums of them over groups of nodes.

The limited thing is a tenant's quota, or an instance with a limit on its requests.

Each node reports the whole of its own window, not changes, so lost, repeated and late messages do
no harm, and a relay that has just started knows its nodes' usage from their first messages. The
last report before a node became unresponsive or restarted counts until the window has passed.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

import msgspec

MAX_FRESH_AGE_SECONDS = 1.0
"""Age in seconds up to which a report is fresh, the interval of five messages. A node without a
fresh report isn't counted among the reporting nodes."""

SWEEP_INTERVAL_SECONDS = 0.2
"""Time in seconds between two searches for reports that are too old."""

MAX_REPORTED_NAMES = 64
"""Maximum number of names in one message, those with the greatest usage: some 2 kB."""


class Usage(msgspec.Struct, frozen=True, array_like=True):
    """Usage of one tenant's quota, in its unit, or of one instance incarnation, in requests.

    Attributes:
        name: The tenant's name, or the instance incarnation as text.
        admitted: Amount admitted within the window; for an instance, the requests sent.
        offered: Amount offered within the last second, including refused requests; for an
            instance, the requests that wait.
        expected: For an instance, requests expected before the next report, besides those waiting.
    """

    name: str
    admitted: int
    offered: int
    expected: int = 0

    def plus(self, other: Usage) -> Usage:
        """Return the sum with other usage of the same name."""
        return Usage(
            self.name,
            self.admitted + other.admitted,
            self.offered + other.offered,
            self.expected + other.expected,
        )

    def less(self, count: int) -> Usage:
        """Return the usage with ``count`` fewer wanted requests, waiting ones subtracted first."""
        left = max(0, count - self.offered)
        return msgspec.structs.replace(
            self, offered=max(0, self.offered - count), expected=max(0, self.expected - left)
        )

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing to report."""
        return not (self.admitted or self.offered or self.expected)


class UsageReport(msgspec.Struct, frozen=True):
    """Usage of a node or of its group.

    Attributes:
        usage: Usage by name; names that are missing have none.
        nodes: Number of nodes whose usage is in it.
    """

    usage: tuple[Usage, ...] = ()
    nodes: int = 1


class NodeProcess(msgspec.Struct, frozen=True):
    """A process of a node; a restarted one no longer has the usage of the earlier one.

    Attributes:
        name: Name of the node.
        key: Key under which the process signs its messages.
    """

    name: str
    key: bytes


class _ReceivedReport(msgspec.Struct):
    """A report with the time of its receipt.

    Attributes:
        report: The report.
        at: When it was received.
        fresh: Whether its process may still run; the demand and nodes of other reports don't count.
    """

    report: UsageReport
    at: float
    fresh: bool = True


def largest(usage: Iterable[Usage]) -> tuple[Usage, ...]:
    """Return the greatest usage, at most ``MAX_REPORTED_NAMES`` names."""
    ranked = sorted(
        usage, key=lambda each: max(each.admitted, each.offered, each.expected), reverse=True
    )
    return tuple(ranked[:MAX_REPORTED_NAMES])


class UsageReports:
    """The latest report of each process, and their sum."""

    def __init__(self, window_seconds: float) -> None:
        """Start without any report.

        Args:
            window_seconds: Time for which usage counts.
        """
        self._window_seconds = window_seconds
        self._received: dict[NodeProcess, _ReceivedReport] = {}
        self._current: dict[str, NodeProcess] = {}
        self._admitted: Counter[str] = Counter()
        self._offered: Counter[str] = Counter()
        self._expected: Counter[str] = Counter()
        self._nodes = 0
        self._swept_at = -float("inf")

    def take(self, process: NodeProcess, report: UsageReport, now: float) -> None:
        """Store a report in place of the process's last one."""
        self._remove(process)
        earlier = self._current.get(process.name)
        if earlier is not None and earlier in self._received:
            self._mark_stale(self._received[earlier])
        self._current[process.name] = process
        self._received[process] = _ReceivedReport(report, now)
        self._nodes += report.nodes
        for each in report.usage:
            self._admitted[each.name] += each.admitted
            self._offered[each.name] += each.offered
            self._expected[each.name] += each.expected

    def sum(self, now: float) -> UsageReport:
        """Return the sum of all stored reports."""
        if now - self._swept_at >= SWEEP_INTERVAL_SECONDS:
            self._swept_at = now
            self._sweep(now)
        usage = (
            Usage(name, admitted, self._offered[name], self._expected[name])
            for name, admitted in self._admitted.items()
        )
        return UsageReport(tuple(each for each in usage if not each.is_empty), self._nodes)

    def usage_by_node(self, name: str) -> dict[str, Usage]:
        """Return the latest usage of one name, by node, for the nodes with a fresh report."""
        return {
            process.name: each
            for process, received in self._received.items()
            if received.fresh
            for each in received.report.usage
            if each.name == name
        }

    def _sweep(self, now: float) -> None:
        """Drop reports that are too old, and mark those that are no longer fresh."""
        for process, received in list(self._received.items()):
            if now - received.at > self._window_seconds:
                self._remove(process)
            elif now - received.at > MAX_FRESH_AGE_SECONDS:
                self._mark_stale(received)

    def _mark_stale(self, received: _ReceivedReport) -> None:
        """Stop counting the demand and nodes of a report."""
        if not received.fresh:
            return
        received.fresh = False
        self._nodes -= received.report.nodes
        for each in received.report.usage:
            self._offered[each.name] -= each.offered
            self._expected[each.name] -= each.expected

    def _remove(self, process: NodeProcess) -> None:
        """Drop a process's report from the sum."""
        received = self._received.pop(process, None)
        if received is None:
            return
        self._mark_stale(received)
        if self._current.get(process.name) == process:
            del self._current[process.name]
        for each in received.report.usage:
            self._admitted[each.name] -= each.admitted


def join(reports: Iterable[UsageReport]) -> UsageReport:
    """Return the sum of reports that have no node in common."""
    nodes = 0
    usage: dict[str, Usage] = {}
    for report in reports:
        nodes += report.nodes
        for each in report.usage:
            existing = usage.get(each.name)
            usage[each.name] = each if existing is None else existing.plus(each)
    return UsageReport(tuple(usage.values()), nodes)
