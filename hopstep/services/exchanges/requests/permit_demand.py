"""Asks for permits to send to limited instances, and whether limits that were heard long ago hold.

Without the first a limited instance would get nothing as long as any other takes requests, however
late those answer. Without the second nobody would hear that a limit is lifted while others serve
all requests better.
"""

from __future__ import annotations

from collections import OrderedDict

from hopstep.domain.exchanges.instance_view import InstanceView
from hopstep.domain.exchanges.request import ExchangeRequest
from hopstep.domain.exchanges.selection import Candidate
from hopstep.domain.instance_admission import Barrier, Purpose
from hopstep.domain.limits.limit_recheck import LimitRecheck, recheck_from
from hopstep.services.exchanges.directory.knowledge import ServingKnowledge

MAX_DOUBTS = 1_024
"""Lives that were asked about and are remembered, the latest: more than have limits at a time."""


def is_limited(view: InstanceView, now: float) -> bool:
    """Return whether all that keeps a request from an instance is its limit."""
    return view.admission(Purpose.REQUEST, now).barrier is Barrier.LIMITED


def note_wanted(candidate: Candidate | None, now: float) -> None:
    """Ask for a permit if the best instance for a request is one under a limit."""
    sends = candidate.view.standing.limited_sends if candidate is not None else None
    if sends is not None:
        sends.note_wanted(now)


class LimitAsking:
    """Lets single requests find out whether limits still hold."""

    def __init__(self, knowledge: ServingKnowledge) -> None:
        """Have asked nothing.

        Args:
            knowledge: This node's name, and how many nodes there are.
        """
        self._knowledge = knowledge
        self._doubts: OrderedDict[str, LimitRecheck] = OrderedDict()

    def note_doubted(self, views: list[InstanceView], now: float) -> None:
        """Ask for permits for instances whose limits are in doubt.

        Args:
            views: Instances that may serve a request.
            now: Steady clock.
        """
        for view in views:
            sends = view.standing.limited_sends
            if sends is None or sends.free(now) > 0 or not self._is_doubted(view, now):
                continue
            if self._doubt(view).wants_permit(now):
                sends.note_wanted(now)

    def askable(self, views: list[InstanceView], now: float) -> list[InstanceView]:
        """Return the instances that a request may be sent to now to ask about their limits.

        Args:
            views: Instances that take a request now.
            now: Steady clock.
        """
        return [
            view
            for view in views
            if view.standing.limited_sends is not None
            and view.is_usable(now)
            and self._is_doubted(view, now)
            and self._doubt(view).may_recheck(now)
        ]

    def asks(self, request: ExchangeRequest, candidate: Candidate, now: float) -> bool:
        """Return whether a request can be answered in time there, and note that it is sent."""
        answer_by = request.received_at + request.route.objective_seconds
        expected = candidate.read_seconds + candidate.view.expected_latency
        if now + expected > answer_by:
            return False
        self._doubt(candidate.view).note_recheck(now)
        return True

    def _is_doubted(self, view: InstanceView, now: float) -> bool:
        """Return whether this node is to ask whether a limit holds."""
        heard_at = view.standing.limit.times.before
        nodes = self._knowledge.count_nodes()
        return now >= recheck_from(heard_at, view.life, self._knowledge.name, nodes)

    def _doubt(self, view: InstanceView) -> LimitRecheck:
        """Return the doubt of an instance's limit."""
        doubt = self._doubts.setdefault(view.life, LimitRecheck())
        self._doubts.move_to_end(view.life)
        if len(self._doubts) > MAX_DOUBTS:
            self._doubts.popitem(last=False)
        return doubt
