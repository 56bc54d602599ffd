"""Requests permits to send to limited instances, and probes whether old limits still hold.

Without permits a limited instance gets no requests as long as any other accepts them, however slow
that is. Without probes no node learns that a limit was lifted while other instances serve all
requests better.
"""

from __future__ import annotations

from collections import OrderedDict

from hopstep.domain.exchanges.instance_view import InstanceView
from hopstep.domain.exchanges.request import ExchangeRequest
from hopstep.domain.exchanges.selection import Candidate
from hopstep.domain.instance_admission import Barrier, Purpose
from hopstep.domain.limits.limit_recheck import LimitRecheck, recheck_from
from hopstep.services.exchanges.directory.knowledge import ServingKnowledge

MAX_REMEMBERED_PROBES = 1_024
"""Incarnations whose probes are remembered, the latest: more than have limits at a time."""


def is_limited(view: InstanceView, now: float) -> bool:
    """Return whether its limit is the only thing that keeps requests from an instance."""
    return view.admission(Purpose.REQUEST, now).barrier is Barrier.LIMITED


def note_wanted(candidate: Candidate | None, now: float) -> None:
    """Request a permit if the best instance for a request is limited."""
    sends = candidate.view.announced_state.limited_sends if candidate is not None else None
    if sends is not None:
        sends.note_wanted(now)


class LimitProbes:
    """Sends single requests to limited instances to probe whether their limits still hold."""

    def __init__(self, knowledge: ServingKnowledge) -> None:
        """Start without any probe.

        Args:
            knowledge: This node's name, and the number of nodes.
        """
        self._knowledge = knowledge
        self._doubts: OrderedDict[str, LimitRecheck] = OrderedDict()

    def note_doubted(self, views: list[InstanceView], now: float) -> None:
        """Request permits for instances whose limits may be outdated.

        Args:
            views: Instances that may serve a request.
            now: Steady clock, seconds.
        """
        for view in views:
            sends = view.announced_state.limited_sends
            if sends is None or sends.free(now) > 0 or not self._is_doubted(view, now):
                continue
            if self._doubt(view).wants_permit(now):
                sends.note_wanted(now)

    def probeable(self, views: list[InstanceView], now: float) -> list[InstanceView]:
        """Return the instances to which a request may be sent now to probe their limits.

        Args:
            views: Instances that accept a request now.
            now: Steady clock, seconds.
        """
        return [
            view
            for view in views
            if view.announced_state.limited_sends is not None
            and view.is_usable(now)
            and self._is_doubted(view, now)
            and self._doubt(view).may_recheck(now)
        ]

    def start_probe(self, request: ExchangeRequest, candidate: Candidate, now: float) -> bool:
        """Return whether a request can be answered in time there, and record the probe if so."""
        answer_by = request.received_at + request.route.objective_seconds
        expected = candidate.read_seconds + candidate.view.expected_latency
        if now + expected > answer_by:
            return False
        self._doubt(candidate.view).note_recheck(now)
        return True

    def _is_doubted(self, view: InstanceView, now: float) -> bool:
        """Return whether it is this node's turn to probe whether a limit still holds."""
        limit_named_at = view.announced_state.limit.times.before
        nodes = self._knowledge.count_nodes()
        return now >= recheck_from(limit_named_at, view.incarnation, self._knowledge.name, nodes)

    def _doubt(self, view: InstanceView) -> LimitRecheck:
        """Return when the limit of an instance may be probed; created at first use."""
        doubt = self._doubts.setdefault(view.incarnation, LimitRecheck())
        self._doubts.move_to_end(view.incarnation)
        if len(self._doubts) > MAX_REMEMBERED_PROBES:
            self._doubts.popitem(last=False)
        return doubt
