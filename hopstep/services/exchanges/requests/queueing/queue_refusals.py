"""Expects how long requests wait at this node, and refuses those that would wait in vain."""

from __future__ import annotations

import trio

from hopstep.domain.exchanges.early_refusal import (
    FirstByteTimes,
    ReturningClients,
    ServedShares,
    WaitEstimate,
    expected_wait,
    return_seconds,
)
from hopstep.domain.exchanges.retry_after import QueueReturn, queue_wait_seconds
from hopstep.domain.exchanges.waiting_order import Place, WaitingOrder, WaitingRequest
from hopstep.domain.queue_pace import QueuePace
from hopstep.exceptions import ErrorCode, ServiceError
from hopstep.log_events.requests import REQUEST_REFUSED_EARLY
from hopstep.logs import emit
from hopstep.services.exchanges.exchange_metrics import ExchangeMetrics
from hopstep.services.exchanges.requests.choice.service_capacity import Capacity
from hopstep.services.exchanges.requests.queueing.waiting_exchange import WaitingExchange

MILLISECONDS = 1_000

ALL_PRIORITIES = 0
"""Priority under which the pace of a whole service is kept."""


class QueueRefusalError(ServiceError):
    """A request is refused because it would wait for too long; it hasn't been sent."""

    def __init__(self, message: str, return_seconds: float) -> None:
        """Create the refusal.

        Args:
            message: Why, for a person.
            return_seconds: Time after which the request would be served; 0 when unknown.
        """
        super().__init__(ErrorCode.OVERLOADED, message)
        self.return_seconds = return_seconds


class QueueRefusals:
    """Observes the queue of one node, and makes its refusals.

    Attributes:
        first_bytes: Times from sending a request to its first byte, by route.
    """

    def __init__(self, metrics: ExchangeMetrics) -> None:
        """Start without observations.

        Args:
            metrics: Counts early refusals.
        """
        self.first_bytes = FirstByteTimes()
        self._metrics = metrics
        self._pace = QueuePace()
        self._shares: dict[str, ServedShares] = {}
        self._returning: dict[str, ReturningClients] = {}

    def note_entered(self, service: str) -> None:
        """Note that a request begins to wait for a service."""
        self._pace.begin(service, ALL_PRIORITIES, trio.current_time())

    def note_departed(self, service: str, order_class: int, waiting: list[int]) -> None:
        """Note that a request needn't wait any more.

        Args:
            service: Its service.
            order_class: Its order class.
            waiting: Order classes that still wait.
        """
        self._shares.setdefault(service, ServedShares()).note_departure(order_class, waiting)
        self._pace.record_entry(service, ALL_PRIORITIES, trio.current_time())

    def note_empty(self, service: str) -> None:
        """Note that no request waits for a service any more."""
        self._pace.pause(service, ALL_PRIORITIES)
        if service in self._shares:
            self._shares[service].clear()

    def place_on_arrival(self, service: str, order: WaitingOrder, request: WaitingRequest) -> Place:
        """Return the place of an arriving request: among the late ones if it would become late."""
        now = trio.current_time()
        place = order.place_of(request, now)
        late = now + self._expected_wait(service, place) >= request.late_from
        return order.place_of(request, now, late=late)

    def wait_estimate(
        self, waiting: WaitingExchange, place: Place, capacity: Capacity, less_urgent_waits: bool
    ) -> WaitEstimate:
        """Return what is expected of a request.

        Args:
            waiting: The request.
            place: Its place in the order.
            capacity: Capacity of the instances that may serve it.
            less_urgent_waits: Whether a less urgent request of its service waits.
        """
        now = trio.current_time()
        request = waiting.request
        return WaitEstimate(
            ahead=place.ahead,
            wait_seconds=self._expected_wait(waiting.service, place),
            first_byte_seconds=self.first_bytes.expected(request.route.name),
            remaining_seconds=request.first_byte_by - now,
            free_places=capacity.free_places,
            taken_places=capacity.taken_places,
            less_urgent_waits=less_urgent_waits,
        )

    def refuse(
        self, waiting: WaitingExchange, wait_estimate: WaitEstimate, message: str
    ) -> QueueRefusalError:
        """Return the refusal of a request, with the time after which it would be served."""
        now = trio.current_time()
        interval = self._interval(waiting.service)
        returning = self._returning.setdefault(waiting.service, ReturningClients())
        seconds = return_seconds(wait_estimate, interval, returning.count(now))
        client_seconds = waiting.request.client_deadline - now
        returning.add(now + queue_wait_seconds(QueueReturn(seconds, client_seconds)))
        self._metrics.early_refusals.labels(str(waiting.order.rank)).inc()
        emit(
            REQUEST_REFUSED_EARLY,
            request_id=waiting.request.request_id,
            route=waiting.request.route.name,
            service=waiting.service,
            priority=waiting.order.rank,
            reason=message,
            waited_ms=round((now - waiting.began_at) * MILLISECONDS),
            ahead=wait_estimate.ahead,
            expected_wait_ms=round(wait_estimate.wait_seconds * MILLISECONDS),
            first_byte_ms=round(wait_estimate.first_byte_seconds * MILLISECONDS),
            remaining_ms=round(wait_estimate.remaining_seconds * MILLISECONDS),
            per_second=round(1.0 / interval, 2) if interval else 0.0,
            free_places=wait_estimate.free_places,
            taken_places=wait_estimate.taken_places,
        )
        return QueueRefusalError(message, seconds)

    def _expected_wait(self, service: str, place: Place) -> float:
        """Return the expected wait in seconds at a place in the order; 0 when unknown."""
        now = trio.current_time()
        by_order = self._pace.expected_wait(service, ALL_PRIORITIES, place.ahead, now)
        shares = self._shares.get(service)
        share = shares.share(place.order_class) if shares is not None else 1.0
        return expected_wait(by_order, place.ahead_in_class, self._interval(service), share)

    def _interval(self, service: str) -> float:
        """Return the expected seconds between two requests that leave; 0 when unknown."""
        return self._pace.expected_wait(service, ALL_PRIORITIES, 0, trio.current_time())
