"""Usage of limited resources by all nodes: this one, its group, and the other relays' groups."""

from __future__ import annotations

from collections.abc import Callable

import trio

from hopstep.domain.limits.fleet_usage import (
    NodeProcess,
    Usage,
    UsageReport,
    UsageReports,
    join,
    largest,
)
from hopstep.services.exchanges.directory.knowledge import ServingKnowledge


class UsageRegistry:
    """Joins the usage reports of nodes, which are part of their regular messages."""

    def __init__(
        self,
        knowledge: ServingKnowledge,
        window_seconds: float,
        own_report: Callable[[], UsageReport],
    ) -> None:
        """Start without reports of other nodes.

        Args:
            knowledge: Nodes and their processes.
            window_seconds: Time for which usage counts.
            own_report: Returns this node's usage.
        """
        self.own_report = own_report
        self._knowledge = knowledge
        self._members = UsageReports(window_seconds)
        self._relays = UsageReports(window_seconds)

    def group_report(self) -> UsageReport:
        """Return the usage of this node and of those that query it."""
        return _bounded(join((self.own_report(), self._members.sum(trio.current_time()))))

    def fleet_report(self) -> UsageReport:
        """Return the usage of all nodes, as far as it was reported to this relay."""
        others = self._relays.sum(trio.current_time())
        return _bounded(join((self.group_report(), others)))

    def take_from_member(self, node: str, report: UsageReport) -> None:
        """Apply the usage report of a node that queries this one."""
        self._members.take(self._process(node), report, trio.current_time())

    def take_from_relay(self, node: str, report: UsageReport) -> None:
        """Apply the usage report of another relay's group."""
        self._relays.take(self._process(node), report, trio.current_time())

    def relays_usage(self, name: str) -> dict[str, Usage]:
        """Return the last reported usage of one name, for each other relay's group."""
        return self._relays.usage_by_node(name)

    def _process(self, node: str) -> NodeProcess:
        """Return a node's currently registered process."""
        record = self._knowledge.nodes.get(node)
        return NodeProcess(node, record.key if record is not None else b"")


def _bounded(report: UsageReport) -> UsageReport:
    """Return a report, cut to the largest usages, as it is sent."""
    return UsageReport(largest(report.usage), report.nodes)
