"""Tells all nodes at once of instances that don't respond, and applies what others tell.

Reports that are lost cost speed only: nodes that haven't received them find out by themselves.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

import trio

from hopstep.domain.exchanges.instance_view import InstanceView
from hopstep.domain.exchanges.suspicion import OwnEvidence, SuspicionLedger
from hopstep.log_events.instances import INSTANCE_SUSPECTED
from hopstep.logs import emit
from hopstep.ports.node_exchange import SuspectedInstance
from hopstep.services.exchanges.directory.knowledge import ServingKnowledge
from hopstep.services.exchanges.peers.urgent_queue import UrgentQueue

MILLISECONDS = 1_000


class Suspicions:
    """Unresponsive instances, as this node sees them and as others report them."""

    def __init__(self, knowledge: ServingKnowledge, urgent: UrgentQueue) -> None:
        """Start without reports.

        Args:
            knowledge: Instances, and the name of this node.
            urgent: Receives updates that are sent to all nodes at once.
        """
        self._knowledge = knowledge
        self._urgent = urgent
        self._ledger = SuspicionLedger()
        self._request_check: Callable[[InstanceView], None] = self.note_failed

    def check_with(self, request_check: Callable[[InstanceView], None]) -> None:
        """Have silent instances checked before they are reported; the check reports them."""
        self._request_check = request_check

    def note_failed(self, view: InstanceView) -> None:
        """Report an instance to which a request of this node found no way, or no answer."""
        seconds = view.suspended_until - trio.current_time()
        if seconds <= 0.0:
            return
        report = SuspectedInstance(
            view.incarnation, round(seconds * MILLISECONDS), self._knowledge.name
        )
        self._urgent.put_suspected(report)
        _log(view, seconds, self._knowledge.name)

    def check(self) -> None:
        """Suspend and report instances that have become silent under requests of this node.

        Requests that may not run again elsewhere are left until their deadlines.
        """
        now = trio.current_time()
        for view in self._knowledge.table:
            if now >= view.suspended_until and view.leaves_unanswered(now):
                view.failed(now, unreachable=True)
                self._request_check(view)

    def apply(self, reports: Iterable[SuspectedInstance]) -> None:
        """Suspend reported instances as far as the reports are followed."""
        for report in reports:
            view = self._knowledge.table.of_incarnation(report.incarnation)
            if view is not None and report.node != self._knowledge.name:
                self._apply(view, report)

    def _apply(self, view: InstanceView, report: SuspectedInstance) -> None:
        """Suspend one reported instance if its report is followed."""
        now = trio.current_time()
        own = self._own_evidence(view, now)
        if self._ledger.is_followed(view.incarnation, report.node, own, now):
            seconds = max(0, report.milliseconds) / MILLISECONDS
            view.suspend_as_reported(seconds, now)
            _log(view, seconds, report.node)

    def _own_evidence(self, view: InstanceView, now: float) -> OwnEvidence:
        """Return what this node knows itself of a reported instance and its service."""
        listed = self._knowledge.table.of_service(view.instance.service)
        responding = sum(other is not view and other.responds(now) for other in listed)
        nodes = self._knowledge.count_nodes()
        return OwnEvidence(view.seconds_without_byte(now), responding, len(listed), nodes)


def _log(view: InstanceView, seconds: float, reported_by: str) -> None:
    """Log that an instance is suspended, and the node that reported it."""
    emit(
        INSTANCE_SUSPECTED,
        instance=view.instance.instance_id,
        life=view.incarnation,
        service=view.instance.service,
        suspended_ms=round(seconds * MILLISECONDS),
        reported_by=reported_by,
    )
