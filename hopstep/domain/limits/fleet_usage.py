"""What nodes tell of what they use of something limited, and its sums over groups of nodes.

That is a tenant's quota, or an instance that takes only so many requests.

Each node tells the whole of its own window, not changes, so lost, repeated and late messages do no
harm, and a relay that has just started knows its nodes' usage with their first messages. What a
node told before it fell silent or started anew counts until the window has passed.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

import msgspec

FRESH_SECONDS = 1.0
"""A node that told nothing for longer isn't counted among those that are heard: five messages."""

SWEEP_SECONDS = 0.2
"""Between two looks for reports that are too old."""

MAX_TOLD = 64
"""Most in one message, those with the greatest usage: some 2 kB."""


class Usage(msgspec.Struct, frozen=True, array_like=True):
    """Usage of one tenant's quota, in its unit, or of one life of an instance, in requests.

    Attributes:
        name: The tenant's name, or the life as ``str(InstanceLife)``.
        admitted: Within the window; to an instance, what was sent.
        offered: Within the last second, what was refused included; to an instance, what waits.
        expected: To an instance, what would be sent before the next telling, beside what waits.
    """

    name: str
    admitted: int
    offered: int
    expected: int = 0

    def plus(self, other: Usage) -> Usage:
        """Return the sum with other usage of the same."""
        return Usage(
            self.name,
            self.admitted + other.admitted,
            self.offered + other.offered,
            self.expected + other.expected,
        )

    def less(self, count: int) -> Usage:
        """Return the same with so many wants fewer, those first that wait."""
        left = max(0, count - self.offered)
        return msgspec.structs.replace(
            self, offered=max(0, self.offered - count), expected=max(0, self.expected - left)
        )

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing to tell."""
        return not (self.admitted or self.offered or self.expected)


class UsageReport(msgspec.Struct, frozen=True):
    """What a node tells, of itself or of its group.

    Attributes:
        usage: By name; what isn't named has none.
        nodes: Nodes whose usage is in it.
    """

    usage: tuple[Usage, ...] = ()
    nodes: int = 1


class NodeProcess(msgspec.Struct, frozen=True):
    """A process of a node: one that starts anew has forgotten what it had admitted.

    Attributes:
        name: Of the node.
        key: Under which the process signs its messages.
    """

    name: str
    key: bytes


class _Heard(msgspec.Struct):
    """A report.

    Attributes:
        report: As it was told.
        at: When it came.
        fresh: Whether its process may still be there: demand and nodes of others don't count.
    """

    report: UsageReport
    at: float
    fresh: bool = True


def largest(usage: Iterable[Usage]) -> tuple[Usage, ...]:
    """Return the usage that is told: the greatest, up to the bound."""
    ranked = sorted(
        usage, key=lambda each: max(each.admitted, each.offered, each.expected), reverse=True
    )
    return tuple(ranked[:MAX_TOLD])


class UsageReports:
    """The latest report of each process, and their sum."""

    def __init__(self, window_seconds: float) -> None:
        """Know none.

        Args:
            window_seconds: For so long usage counts.
        """
        self._window_seconds = window_seconds
        self._heard: dict[NodeProcess, _Heard] = {}
        self._current: dict[str, NodeProcess] = {}
        self._admitted: Counter[str] = Counter()
        self._offered: Counter[str] = Counter()
        self._expected: Counter[str] = Counter()
        self._nodes = 0
        self._swept_at = -float("inf")

    def take(self, process: NodeProcess, report: UsageReport, now: float) -> None:
        """Take a report in the place of the process's last one."""
        self._remove(process)
        earlier = self._current.get(process.name)
        if earlier is not None and earlier in self._heard:
            self._age(self._heard[earlier])
        self._current[process.name] = process
        self._heard[process] = _Heard(report, now)
        self._nodes += report.nodes
        for each in report.usage:
            self._admitted[each.name] += each.admitted
            self._offered[each.name] += each.offered
            self._expected[each.name] += each.expected

    def sum(self, now: float) -> UsageReport:
        """Return what all that are known tell together."""
        if now - self._swept_at >= SWEEP_SECONDS:
            self._swept_at = now
            self._sweep(now)
        usage = (
            Usage(name, admitted, self._offered[name]) for name, admitted in self._admitted.items()
        )
        return UsageReport(tuple(each for each in usage if not each.is_empty), self._nodes)

    def usage_by_node(self, name: str) -> dict[str, Usage]:
        """Return what each node that is heard told last of one name."""
        return {
            process.name: each
            for process, heard in self._heard.items()
            if heard.fresh
            for each in heard.report.usage
            if each.name == name
        }

    def _sweep(self, now: float) -> None:
        """Drop what is too old, and mark what is no longer fresh."""
        for process, heard in list(self._heard.items()):
            if now - heard.at > self._window_seconds:
                self._remove(process)
            elif now - heard.at > FRESH_SECONDS:
                self._age(heard)

    def _age(self, heard: _Heard) -> None:
        """Count the demand and nodes of a report no longer."""
        if not heard.fresh:
            return
        heard.fresh = False
        self._nodes -= heard.report.nodes
        for each in heard.report.usage:
            self._offered[each.name] -= each.offered
            self._expected[each.name] -= each.expected

    def _remove(self, process: NodeProcess) -> None:
        """Count a process's report no longer."""
        heard = self._heard.pop(process, None)
        if heard is None:
            return
        self._age(heard)
        if self._current.get(process.name) == process:
            del self._current[process.name]
        for each in heard.report.usage:
            self._admitted[each.name] -= each.admitted


def join(reports: Iterable[UsageReport]) -> UsageReport:
    """Return the sum of reports that have no node in common."""
    nodes = 0
    usage: dict[str, Usage] = {}
    for report in reports:
        nodes += report.nodes
        for each in report.usage:
            known = usage.get(each.name)
            usage[each.name] = each if known is None else known.plus(each)
    return UsageReport(tuple(usage.values()), nodes)
