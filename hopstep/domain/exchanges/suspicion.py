"""Which reports of other nodes about an unresponsive instance this node follows.

Addresses engines that go silent together: without reports each node finds out by failed requests of
its own, again after each suspension. A node whose own link is cut reports too, and must not take an
instance away from the others.
"""

from __future__ import annotations

import msgspec

REPORT_VALID_SECONDS = 4.0
"""Time for which a report counts: the longest suspension."""

SINGLE_REPORT_SECONDS = 8.0
"""A node that reports an instance more often than this, with no other node doing so, is followed
the first time only."""

SILENT_SECONDS = 1.0
"""A single report is followed only if this node has had no byte from the instance for so long."""

RESPONSE_SECONDS = 0.4
"""No report is followed if this node has had a byte from the instance within this time: the time in
which a connection attempt fails."""

NODES_FOR_A_REPORT = 8
"""One report is needed for each so many nodes, two at least. Requests that starve at a busy engine
look like silence to the few nodes that sent them."""

MAX_REPORTED_INSTANCES = 1_024
"""Bounds the memory for reports."""


class OwnEvidence(msgspec.Struct, frozen=True):
    """What a node knows itself when it receives a report.

    Attributes:
        seconds_without_byte: Time since its last byte from the instance.
        responding: Other instances of the service that are neither suspended nor silent.
        listed: All instances of the service.
        nodes: Nodes that may be alive, this one included.
    """

    seconds_without_byte: float
    responding: int
    listed: int
    nodes: int = 1

    @property
    def reports_needed(self) -> int:
        """Nodes that must report an instance before it is suspended."""
        return max(2, self.nodes // NODES_FOR_A_REPORT)

    @property
    def shows_silence(self) -> bool:
        """Whether its own silence tells something: in a large fleet a node sends there rarely."""
        is_small_fleet = self.nodes <= NODES_FOR_A_REPORT
        return is_small_fleet and self.seconds_without_byte >= SILENT_SECONDS


class SuspicionLedger:
    """Recent reports by instance and node. Times are of the steady clock, in seconds."""

    def __init__(self) -> None:
        """Start without reports."""
        self._reports: dict[str, dict[str, float]] = {}

    def note(self, incarnation: str, node: str, now: float) -> None:
        """Record a report of another node; without space for the instance it is ignored."""
        if incarnation not in self._reports and len(self._reports) >= MAX_REPORTED_INSTANCES:
            self._forget(now)
        if incarnation not in self._reports and len(self._reports) >= MAX_REPORTED_INSTANCES:
            return
        reports = self._reports.setdefault(incarnation, {})
        reports[node] = now
        for reporter in [each for each, at in reports.items() if _is_over(at, now)]:
            del reports[reporter]

    def is_followed(self, incarnation: str, node: str, own: OwnEvidence, now: float) -> bool:
        """Record a report; return whether to suspend the instance because of it.

        At least half of a service's instances stay in use whatever is reported, and always one: if
        most of them seem unresponsive, the links of the reporting nodes are the likelier cause.

        Args:
            incarnation: The instance's incarnation.
            node: The node that reports it.
            own: What this node knows itself.
            now: Steady clock.
        """
        reported_before = self._reports.get(incarnation, {}).get(node, -float("inf"))
        self.note(incarnation, node, now)
        if own.seconds_without_byte < RESPONSE_SECONDS or 2 * own.responding < own.listed:
            return False
        if not own.responding:
            return False
        if self._count(incarnation, now) >= own.reports_needed:
            return True
        is_repeated = now - reported_before <= SINGLE_REPORT_SECONDS
        return own.shows_silence and not is_repeated

    def _count(self, incarnation: str, now: float) -> int:
        """Return how many nodes have recently reported an instance."""
        reports = self._reports.get(incarnation, {})
        return sum(now - at <= REPORT_VALID_SECONDS for at in reports.values())

    def _forget(self, now: float) -> None:
        """Drop the instances without a report that still matters."""
        self._reports = {
            incarnation: reports
            for incarnation, reports in self._reports.items()
            if not _is_over(max(reports.values()), now)
        }


def _is_over(reported_at: float, now: float) -> bool:
    """Return whether a report is too old to matter."""
    return now - reported_at > SINGLE_REPORT_SECONDS
