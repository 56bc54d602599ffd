"""A request that waits at this node, and the log line of its wait."""

from __future__ import annotations

import msgspec
import trio

from hopstep.domain.exchanges.instance_scope import InstanceScope
from hopstep.domain.exchanges.request import ExchangeRequest
from hopstep.domain.exchanges.selection import Candidate
from hopstep.domain.exchanges.waiting_order import Place, WaitingRequest
from hopstep.exceptions import ServiceError
from hopstep.log_events.requests import REQUEST_WAITED
from hopstep.logs import emit

MILLISECONDS = 1_000

LOGGED_WAIT_SECONDS = 0.05
"""Longer waits are logged."""


class WaitingExchange(msgspec.Struct, eq=False):
    """A request that waits at this node, and how its wait ended.

    Attributes:
        order: What its place in the order depends on.
        scope: The request, and which instances may serve it.
        began_at: When it began to wait, by the steady clock in seconds.
        place: Its place in the order then.
        started: Whether a part of the answer was delivered: then it isn't refused.
        woken: Set when its wait has ended.
        candidate: Instance that was chosen for it; None when there is none.
        error: Why it was refused; None when it wasn't.
    """

    order: WaitingRequest
    scope: InstanceScope
    began_at: float
    place: Place
    started: bool = False
    woken: trio.Event = msgspec.field(default_factory=trio.Event)
    candidate: Candidate | None = None
    error: ServiceError | None = None

    @property
    def request(self) -> ExchangeRequest:
        """The request."""
        return self.scope.request

    @property
    def service(self) -> str:
        """Service that its route chose."""
        return self.scope.service

    def log_wait(self, seconds: float, still_waiting: int) -> None:
        """Log the wait if it was long.

        Args:
            seconds: How long it waited.
            still_waiting: Requests that wait at the node after it has left.
        """
        if seconds <= LOGGED_WAIT_SECONDS:
            return
        candidate = self.candidate
        emit(
            REQUEST_WAITED,
            request_id=self.request.request_id,
            route=self.request.route.name,
            service=self.service,
            priority=self.order.rank,
            waited_ms=round(seconds * MILLISECONDS),
            ahead=self.place.ahead,
            late=self.order.late,
            instance=candidate.view.instance.instance_id if candidate is not None else "",
            waiting=still_waiting,
        )
