"""Requests that wait at this node until an instance has capacity for them.

A request is bound to an instance only when it leaves the queue. With capacity available and nothing
waiting, it passes at once.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio

from hopstep.domain.exchanges.early_refusal import (
    WaitEstimate,
    last_useful_at,
    may_refuse,
    misses_deadline,
)
from hopstep.domain.exchanges.instance_scope import InstanceScope
from hopstep.domain.exchanges.selection import Candidate
from hopstep.domain.exchanges.waiting_order import (
    STARTED_RANK,
    Place,
    WaitingOrder,
    WaitingRequest,
)
from hopstep.exceptions import ServiceError
from hopstep.services.exchanges.exchange_metrics import ExchangeMetrics
from hopstep.services.exchanges.requests.choice.instance_choice import InstanceChoice
from hopstep.services.exchanges.requests.choice.service_capacity import Capacity, ServiceCapacity
from hopstep.services.exchanges.requests.queueing.queue_binding import QueueBinding
from hopstep.services.exchanges.requests.queueing.queue_refusals import QueueRefusals
from hopstep.services.exchanges.requests.queueing.waiting_exchange import WaitingExchange
from hopstep.services.lifecycle import Lifecycle

RECHECK_SECONDS = 0.1
"""Interval at which waiting requests are tried again, for changes that nothing here announces:
load reports of other nodes, which come every 0.2 s, and new entries of instances."""

MAX_WAITING = 256
"""Requests that may wait at a node."""

MAX_WAITING_BYTES = 8 * 1024 * 1024
"""Bytes of bodies of the requests that may wait at a node."""

Recheck = Callable[[], Awaitable[None]]
"""Checks again whether a request may be sent; raises ``ServiceError`` when it may not."""


class RequestQueue:
    """Queue of one node; ``run`` must be active while requests wait.

    Attributes:
        refusals: Observes the queue, and makes its refusals.
    """

    def __init__(
        self,
        capacity: ServiceCapacity,
        choice: InstanceChoice,
        lifecycle: Lifecycle,
        metrics: ExchangeMetrics,
    ) -> None:
        """Start empty. Must be called inside the event loop.

        Args:
            capacity: Tells which instances have capacity.
            choice: Chooses the instance of a request that leaves the queue.
            lifecycle: Whether the node is stopping.
            metrics: Counts waits and early refusals.
        """
        self.refusals = QueueRefusals(metrics)
        self._choice = choice
        self._binding = QueueBinding(capacity, choice)
        self._lifecycle = lifecycle
        self._metrics = metrics
        self._orders: dict[str, WaitingOrder] = {}
        self._waiting: dict[str, WaitingExchange] = {}
        self._bytes = 0
        self._next_id = 0
        self._changed = trio.Event()

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiting)

    def recheck(self) -> None:
        """Try the waiting requests again as soon as the running task yields."""
        if self._waiting:
            self._changed.set()

    async def run(self) -> None:
        """Try the waiting requests again after each change, and at intervals."""
        while True:
            with trio.move_on_after(RECHECK_SECONDS if self._waiting else float("inf")):
                await self._changed.wait()
            self._changed = trio.Event()
            self._refuse_stopping()
            self._serve()

    async def acquire(
        self,
        scope: InstanceScope,
        only: str | None,
        recheck: Recheck,
        *,
        started: bool = False,
    ) -> Candidate | None:
        """Return the instance for an attempt, after a wait if none has capacity.

        The caller counts the request at the instance before it awaits anything else.

        Args:
            scope: The request, and which instances may serve it.
            only: Id of the only instance allowed; empty or None for any that wasn't tried.
            recheck: Called after a wait, before the request may be sent.
            started: Whether a part of the answer was delivered: then it isn't refused.

        Returns:
            None when no instance may serve the request now, for reasons other than capacity.

        Raises:
            ServiceError: ``OVERLOADED`` when the wait is or becomes too long, ``STOPPING`` when
                the node stops before its end, or whatever ``recheck`` raises.
        """
        if only:
            return self._choice.choose(scope, only)
        capacity = self._binding.look(scope)
        if not capacity.must_wait and not self._waits_for(scope.service):
            return self._choice.choose(scope, within=capacity.within)
        waiting = self._make_waiting(scope, started)
        if not started:
            self._refuse_if_late(waiting, waiting.place, capacity)
        try:
            self._enter(waiting)
            await self._wait(waiting)
            await recheck()
        finally:
            self._leave(waiting)
        return waiting.candidate

    def _waits_for(self, service: str) -> bool:
        """Return whether requests of a service wait."""
        order = self._orders.get(service)
        return order is not None and len(order) > 0

    def _make_waiting(self, scope: InstanceScope, started: bool) -> WaitingExchange:
        """Return the waiting entry of a request."""
        self._next_id += 1
        request, service, prompt = scope.request, scope.service, scope.request.prompt
        first_byte = self.refusals.first_bytes.expected(request.route.name)
        rank = request.rank if scope.origin is None else STARTED_RANK
        order = WaitingRequest(
            entry_id=str(self._next_id),
            tenant=request.tenant.name if request.tenant is not None else "",
            rank=rank,
            tokens=1 + (prompt.prompt_tokens + prompt.answer_tokens if prompt is not None else 0),
            late_from=request.received_at + request.route.objective_seconds - first_byte,
        )
        service_order = self._orders.setdefault(service, WaitingOrder())
        place = self.refusals.place_on_arrival(service, service_order, order)
        return WaitingExchange(order, scope, trio.current_time(), place, started)

    def _refuse_if_late(self, waiting: WaitingExchange, place: Place, capacity: Capacity) -> None:
        """Refuse a request whose answer would come after its deadline.

        Raises:
            QueueRefusalError: It would.
        """
        wait_estimate = self._estimate_wait(waiting, place, capacity)
        if misses_deadline(wait_estimate):
            raise self.refusals.refuse(waiting, wait_estimate, "the expected wait is too long")

    def _estimate_wait(
        self, waiting: WaitingExchange, place: Place, capacity: Capacity
    ) -> WaitEstimate:
        """Return what is expected of a request."""
        order = self._orders[waiting.service]
        less_urgent_waits = order.has_less_urgent(waiting.order.rank)
        return self.refusals.wait_estimate(waiting, place, capacity, less_urgent_waits)

    def _enter(self, waiting: WaitingExchange) -> None:
        """Queue a request; refuse those that would be served last while too many wait."""
        self._orders[waiting.service].add(waiting.order, trio.current_time())
        self.refusals.note_entered(waiting.service)
        self._waiting[waiting.order.entry_id] = waiting
        self._bytes += len(waiting.request.body)
        self._metrics.waiting.labels(str(waiting.order.rank)).inc()
        while len(self._waiting) > MAX_WAITING or self._bytes > MAX_WAITING_BYTES:
            if not self._refuse_last():
                break
        self.recheck()

    def _refuse_last(self) -> bool:
        """Refuse the request that would be served last, unless its answer has begun.

        Returns:
            Whether a request was refused.
        """
        lasts = (order.last() for order in self._orders.values())
        waiting = [self._waiting[last.entry_id] for last in lasts if last is not None]
        waiting = [each for each in waiting if not each.started]
        if not waiting:
            return False
        last = max(waiting, key=lambda each: (each.order.rank, each.order.late, each.began_at))
        place = self._place(last)
        wait_estimate = self._estimate_wait(last, place, self._binding.look(last.scope))
        last.error = self.refusals.refuse(last, wait_estimate, "too many requests wait")
        self._end_wait(last)
        return True

    async def _wait(self, waiting: WaitingExchange) -> None:
        """Wait until an instance is chosen, or until that has become useless.

        Raises:
            ServiceError: The request is refused.
        """
        if not waiting.started:
            first_byte = self.refusals.first_bytes.expected(waiting.request.route.name)
            last_useful = last_useful_at(waiting.request.first_byte_by, first_byte)
            await _wait_until(waiting.woken, min(waiting.order.late_from, last_useful))
            self._refuse_late(waiting)
            await _wait_until(waiting.woken, last_useful)
            while not waiting.woken.is_set():
                self._refuse_useless(waiting)
                await _wait_until(waiting.woken, trio.current_time() + RECHECK_SECONDS)
        await waiting.woken.wait()
        if waiting.error is not None:
            raise waiting.error

    def _refuse_late(self, waiting: WaitingExchange) -> None:
        """Refuse a request that can't meet its objective, and won't meet its deadline either."""
        if not waiting.woken.is_set():
            capacity = self._binding.look(waiting.scope)
            self._refuse_if_late(waiting, self._place(waiting), capacity)

    def _refuse_useless(self, waiting: WaitingExchange) -> None:
        """Refuse a request that an instance couldn't answer before its deadline any more."""
        capacity = self._binding.look(waiting.scope)
        wait_estimate = self._estimate_wait(waiting, self._place(waiting), capacity)
        if may_refuse(wait_estimate):
            raise self.refusals.refuse(waiting, wait_estimate, "no instance had capacity in time")

    def _place(self, waiting: WaitingExchange) -> Place:
        """Return the place of a waiting request."""
        order = self._orders[waiting.service]
        order.sort_late(trio.current_time())
        return order.place(waiting.order.entry_id)

    def _leave(self, waiting: WaitingExchange) -> None:
        """Note that a request waits no longer, and let the next one be tried."""
        self._binding.release(waiting)
        self._end_wait(waiting)
        waited = trio.current_time() - waiting.began_at
        self._metrics.waited.observe(waited)
        waiting.log_wait(waited, len(self._waiting))
        self.recheck()

    def _end_wait(self, waiting: WaitingExchange) -> None:
        """Remove a request from the queue and wake it; without effect when it has left."""
        if self._waiting.pop(waiting.order.entry_id, None) is None:
            return
        order = self._orders[waiting.service]
        order.discard(waiting.order.entry_id)
        if not len(order):
            self.refusals.note_empty(waiting.service)
        self._bytes -= len(waiting.request.body)
        self._metrics.waiting.labels(str(waiting.order.rank)).dec()
        waiting.woken.set()

    def _refuse_stopping(self) -> None:
        """Refuse requests that can't be answered before a planned stop cuts them off."""
        if not self._lifecycle.stopping:
            return
        for waiting in tuple(self._waiting.values()):
            try:
                self._lifecycle.check_serving(waiting.request.route.objective_seconds)
            except ServiceError as error:
                waiting.error = error
                self._end_wait(waiting)

    def _serve(self) -> None:
        """Choose instances for waiting requests in order, while instances have capacity."""
        now = trio.current_time()
        self._binding.begin_pass()
        for service, order in self._orders.items():
            order.sort_late(now)
            while (entry_id := order.pop(self._try_bind)) is not None:
                waiting = self._waiting[entry_id]
                self.refusals.note_departed(service, waiting.order.order_class, order.classes())
                self._end_wait(waiting)

    def _try_bind(self, entry_id: str) -> bool:
        """Return whether a request needn't wait any more; if so, its instance is chosen."""
        return self._binding.try_bind(self._waiting[entry_id])


async def _wait_until(event: trio.Event, until: float) -> None:
    """Wait for an event, at most until a time of the steady clock in seconds."""
    with trio.move_on_at(until):
        await event.wait()
