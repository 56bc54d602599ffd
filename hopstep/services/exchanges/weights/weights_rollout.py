"""Loads named weights into engines, a few at a time, under the rollout lease."""

from __future__ import annotations

import math

import trio

from hopstep.domain.exchanges.instance_view import InstanceView
from hopstep.domain.exchanges.instances import NamedWeights
from hopstep.domain.exchanges.load_schedule import (
    DRAIN_SECONDS,
    SETTLE_SECONDS,
    START_SECONDS,
    LoadPlan,
    LoadStart,
    RolloutState,
    plan_loads,
)
from hopstep.domain.instance_admission import Purpose
from hopstep.log_events.instances import WEIGHTS_LOADS_WAITING, WEIGHTS_ORDER_SENT
from hopstep.logs import emit
from hopstep.ports.weights_orders import EngineReport, OrderOutcome, WeightsOrder, WeightsOrders
from hopstep.services.exchanges.directory.knowledge import ServingKnowledge
from hopstep.services.exchanges.instances.instance_limits import CONTROL_RANK, InstanceLimits
from hopstep.services.exchanges.instances.instance_notices import InstanceNotices
from hopstep.services.exchanges.peers.load_sharing import LoadSharing
from hopstep.services.exchanges.weights.rollout_lease import RolloutLease

FIRST_POLL_SECONDS = 0.5
POLL_SECONDS = 0.15
MAX_UNANSWERED_POLLS = 3
DRAIN_CHECK_SECONDS = 0.05

LOADING_SECONDS = 1.0
"""Time for which nodes send no requests to an engine after a report that it loads."""

PERMIT_TIMEOUT_SECONDS = 2.0
"""Longest wait for a permit to send to a limited engine; its requests wait in the meantime."""

LIMITED_ORDER_TIMEOUT_SECONDS = 6.0
"""Longest wait for a permit to send the single order of a limited engine: longer than the time
between two permits at the lowest limit."""

MILLISECONDS = 1_000
MAX_LOAD_SECONDS = 4.0
RETRY_SECONDS = 0.5

ENDING_OUTCOMES = frozenset(
    {OrderOutcome.ALREADY_LOADED, OrderOutcome.FENCED, OrderOutcome.REJECTED}
)
"""Outcomes after which the same engine isn't ordered again for now."""


class WeightsRollout:
    """Orders engines to load the newest weights while this node holds the lease."""

    def __init__(
        self,
        name: str,
        knowledge: ServingKnowledge,
        lease: RolloutLease,
        orders: WeightsOrders,
        sharing: LoadSharing,
        notices: InstanceNotices,
        limits: InstanceLimits,
    ) -> None:
        """Connect the parts.

        Args:
            name: Name of this node.
            knowledge: Engines and named weights.
            lease: The rollout lease, which permits orders.
            orders: Sends orders to engines.
            sharing: Reports loading engines to the other nodes.
            notices: Receives what engines announce in response headers.
            limits: Provides permits to send to limited engines.
        """
        self._name = name
        self._knowledge = knowledge
        self._lease = lease
        self._orders = orders
        self._sharing = sharing
        self._notices = notices
        self._limits = limits
        self._loading: set[str] = set()
        self._retry_at: dict[str, float] = {}
        self._waiting: dict[str, int] = {}
        self._logged_waiting: dict[str, int] = {}

    @property
    def loads_in_progress(self) -> int:
        """Engines that this node is loading weights into."""
        return len(self._loading)

    @property
    def loads_waiting(self) -> int:
        """Engines whose load waits for capacity, or for a further version."""
        return sum(self._waiting.values()) if self._lease.may_order else 0

    async def run(self) -> None:
        """Order loads as they become due, until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await self._lease.wait_held()
                await trio.sleep(START_SECONDS)
                if self._lease.may_order:
                    self._start_due(nursery)

    def _start_due(self, nursery: trio.Nursery) -> None:
        """Start the loads that are due."""
        now = trio.current_time()
        trusted = self._knowledge.table.trusted()
        self._retry_at = {name: until for name, until in self._retry_at.items() if now < until}
        for model in self._knowledge.weights.models():
            engines = [view for view in trusted if model in view.versions]
            plan = plan_loads(self._state(model, engines, now))
            self._note_waiting(model, plan, now)
            for start in plan.starts:
                self._loading.add(start.view.incarnation)
                nursery.start_soon(self._load, start, model)

    def _state(self, model: str, engines: list[InstanceView], now: float) -> RolloutState:
        """Return what the loads of a model are planned by."""
        current = self._knowledge.current
        services = {view.instance.service for view in engines}
        return RolloutState(
            self._knowledge.weights,
            model,
            engines,
            self._loading,
            self._retry_at.keys(),
            current.shortest_objective(services) if current is not None else math.inf,
            now,
        )

    def _note_waiting(self, model: str, plan: LoadPlan, now: float) -> None:
        """Record how many loads wait for capacity; log it once for each version."""
        self._waiting[model] = plan.waiting
        version = self._knowledge.weights.newest(model)
        if not plan.waiting or self._logged_waiting.get(model) == version:
            return
        self._logged_waiting[model] = version
        emit(
            WEIGHTS_LOADS_WAITING,
            model=model,
            version=version,
            engines=plan.waiting,
            due_ms=round((plan.due_at - now) * MILLISECONDS),
        )

    async def _load(self, start: LoadStart, model: str) -> None:
        """Have one engine load the newest weights, and wait until it is done."""
        view = start.view
        try:
            if view.announced_state.limited_sends is not None:
                await self._load_limited(view, self._newest(model))
                return
            await self._drain(start)
            started_at = trio.current_time() - SETTLE_SECONDS
            with trio.move_on_after(MAX_LOAD_SECONDS):
                if await self._order_until_done(view, self._newest(model)):
                    self._knowledge.weights.record_load(trio.current_time() - started_at)
        finally:
            self._retry_at[view.incarnation] = trio.current_time() + RETRY_SECONDS
            self._loading.discard(view.incarnation)

    def _newest(self, model: str) -> NamedWeights:
        """Return a model's newest weights: a further version may have been named meanwhile."""
        return NamedWeights(model, self._knowledge.weights.newest(model))

    async def _drain(self, start: LoadStart) -> None:
        """Report a load to all nodes, and wait until the engine's requests have ended.

        Requests on their way have arrived then. The order isn't delayed by more than
        ``DRAIN_SECONDS``, or beyond the time when it is due.
        """
        view = start.view
        self._mark_loading(view)
        started_at = trio.current_time()
        await trio.sleep(SETTLE_SECONDS)
        order_at = min(started_at + DRAIN_SECONDS, start.order_by)
        while trio.current_time() < order_at:
            if not view.total_active(trio.current_time()):
                return
            await trio.sleep(DRAIN_CHECK_SECONDS)

    async def _load_limited(self, view: InstanceView, weights: NamedWeights) -> None:
        """Order a load of an engine with a send limit, and wait until its entry shows the version.

        Polling its reports, as for other engines, would take too long for an engine that accepts
        one request every four seconds.
        """
        if not await self._acquire_permit(
            view, trio.current_time() + LIMITED_ORDER_TIMEOUT_SECONDS
        ):
            return
        self._mark_loading(view)
        outcome = await self._order(view, weights, view.order_sequence)
        if outcome not in (OrderOutcome.UNDER_WAY, OrderOutcome.UNKNOWN):
            self._apply_final_outcome(view, weights, outcome)
            return
        with trio.move_on_after(MAX_LOAD_SECONDS):
            while view.versions.get(weights.model, 0) < weights.version:
                self._mark_loading(view)
                await trio.sleep(POLL_SECONDS)

    async def _order_until_done(self, view: InstanceView, weights: NamedWeights) -> bool:
        """Repeat the order until the engine is known to load; return whether it has loaded.

        An unanswered order may be carried out later. It contains the number of orders that the
        engine had accepted, so it is void once another one is accepted.
        """
        report = await self._report(view)
        if report is None:
            return False
        sequence = report.order_sequence
        while self._lease.may_order and await self._acquire_permit(view, _permit_deadline()):
            self._mark_loading(view)
            outcome = await self._order(view, weights, sequence)
            if outcome in ENDING_OUTCOMES:
                self._apply_final_outcome(view, weights, outcome)
                return False
            if outcome is OrderOutcome.UNDER_WAY:
                await trio.sleep(FIRST_POLL_SECONDS)
            report = await self._follow(view, weights)
            if report is None or view.versions.get(weights.model, 0) >= weights.version:
                return report is not None
            sequence = report.order_sequence
        return False

    async def _order(
        self, view: InstanceView, weights: NamedWeights, sequence: int
    ) -> OrderOutcome:
        """Send one order, unless the lease was lost after the engine was chosen.

        Otherwise a node that waited for a permit could order without a fencing token.
        """
        if not self._lease.may_order:
            return OrderOutcome.REJECTED
        order = WeightsOrder(weights, self._name, self._lease.fencing_token, sequence)
        outcome = await self._orders.order(view.instance, order, self._notices.listener(view))
        emit(
            WEIGHTS_ORDER_SENT,
            instance=view.instance.instance_id,
            model=weights.model,
            version=weights.version,
            fencing_token=order.fencing_token,
            outcome=outcome.value,
        )
        return outcome

    def _apply_final_outcome(
        self, view: InstanceView, weights: NamedWeights, outcome: OrderOutcome
    ) -> None:
        """Apply the outcome of an order that didn't start a load."""
        if outcome is OrderOutcome.ALREADY_LOADED:
            view.learn_version(weights.model, weights.version)
        if outcome is OrderOutcome.FENCED:
            self._lease.give_up("fenced")

    async def _follow(self, view: InstanceView, weights: NamedWeights) -> EngineReport | None:
        """Poll an engine until it isn't busy, and return its report; None if it sends none."""
        for _ in range(MAX_UNANSWERED_POLLS):
            report = await self._report(view)
            while report is not None and report.busy:
                self._mark_loading(view)
                await trio.sleep(POLL_SECONDS)
                report = await self._report(view)
            if report is not None:
                view.show_versions(report.versions, report.order_sequence)
                return report
            await trio.sleep(POLL_SECONDS)
        return None

    async def _report(self, view: InstanceView) -> EngineReport | None:
        """Return an engine's report; None without one, or if it is of another incarnation."""
        if not await self._acquire_permit(view, _permit_deadline()):
            return None
        report = await self._orders.report(view.instance, self._notices.listener(view))
        if report is None or not view.instance.incarnation.matches_start(report.born_ms):
            return None
        return report

    async def _acquire_permit(self, view: InstanceView, until: float) -> bool:
        """Wait for a permit; return whether an engine may be sent an order or a report query."""
        if not await self._limits.acquire(view, CONTROL_RANK, until):
            return False
        accepts_orders = view.takes(Purpose.ORDER_SENDING, trio.current_time())
        return self._knowledge.table.is_trusted(view) and accepts_orders

    def _mark_loading(self, view: InstanceView) -> None:
        """Keep requests from an engine for a while, on this node and the others."""
        view.loading_until = trio.current_time() + LOADING_SECONDS
        self._sharing.announce_loading(view.incarnation, LOADING_SECONDS)


def _permit_deadline() -> float:
    """Return the time until which to wait for a permit, by the steady clock."""
    return trio.current_time() + PERMIT_TIMEOUT_SECONDS
