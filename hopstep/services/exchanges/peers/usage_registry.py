"""What all nodes use of something limited: this node's own, its members' and the other relays'."""

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
    """Joins the reports of nodes; messages that nodes send each other anyway carry them."""

    def __init__(
        self,
        knowledge: ServingKnowledge,
        window_seconds: float,
        own_report: Callable[[], UsageReport],
    ) -> None:
        """Know no other node.

        Args:
            knowledge: Nodes and their processes.
            window_seconds: For so long usage counts.
            own_report: Returns this node's usage.
        """
        self.own_report = own_report
        self._knowledge = knowledge
        self._members = UsageReports(window_seconds)
        self._relays = UsageReports(window_seconds)

    def group_report(self) -> UsageReport:
        """Return the usage of this node and those that ask it."""
        return _bounded(join((self.own_report(), self._members.sum(trio.current_time()))))

    def fleet_report(self) -> UsageReport:
        """Return the usage of all nodes, as far as this relay knows."""
        others = self._relays.sum(trio.current_time())
        return _bounded(join((self.group_report(), others)))

    def take_from_member(self, node: str, report: UsageReport) -> None:
        """Take the usage of a node that asks this one."""
        self._members.take(self._process(node), report, trio.current_time())

    def take_from_relay(self, node: str, report: UsageReport) -> None:
        """Take the usage of another relay's group."""
        self._relays.take(self._process(node), report, trio.current_time())

    def relays_usage(self, name: str) -> dict[str, Usage]:
        """Return what each other relay told last of one name, for its group."""
        return self._relays.of_name(name)

    def _process(self, node: str) -> NodeProcess:
        """Return a node's process as it is registered now."""
        record = self._knowledge.nodes.get(node)
        return NodeProcess(node, record.key if record is not None else b"")


def _bounded(report: UsageReport) -> UsageReport:
    """Return a report as it is told."""
    return UsageReport(largest(report.usage), report.nodes)
