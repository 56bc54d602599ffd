"""Loads named weights into engines, a few at a time, under the rollout lease."""

from __future__ import annotations

import trio

from hopstep import log_events
from hopstep.domain.exchanges.instance_view import InstanceView
from hopstep.domain.exchanges.instances import NamedWeights
from hopstep.domain.exchanges.weights import engines_behind
from hopstep.domain.instance_admission import Purpose
from hopstep.logs import emit
from hopstep.ports.weights_orders import EngineReport, OrderOutcome, WeightsOrder, WeightsOrders
from hopstep.services.exchanges.directory.knowledge import ServingKnowledge
from hopstep.services.exchanges.instances.instance_limits import CONTROL_RANK, InstanceLimits
from hopstep.services.exchanges.instances.instance_notices import InstanceNotices
from hopstep.services.exchanges.peers.load_sharing import LoadSharing
from hopstep.services.exchanges.weights.rollout_lease import RolloutLease

CHECK_SECONDS = 0.1
FIRST_POLL_SECONDS = 0.5
POLL_SECONDS = 0.15
MAX_UNANSWERED_POLLS = 3
SETTLE_SECONDS = 0.15
"""Time after which no node sends further requests to an engine that is about to be ordered."""

LOADING_SECONDS = 1.0
"""Time for which nodes send no requests to an engine after a report that it loads."""

PERMIT_TIMEOUT_SECONDS = 2.0
"""Longest wait for a permit to send to a limited engine; its requests wait in the meantime."""

LIMITED_ORDER_TIMEOUT_SECONDS = 6.0
"""Longest wait for a permit to send the single order of a limited engine: longer than the time
between two permits at the lowest limit."""

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

    async def run(self) -> None:
        """Order loads as they become due, until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await self._lease.wait_held()
                await trio.sleep(CHECK_SECONDS)
                if self._lease.may_order:
                    self._start_due(nursery)

    def _start_due(self, nursery: trio.Nursery) -> None:
        """Start the loads that are due."""
        weights = self._knowledge.weights
        now = trio.current_time()
        trusted = self._knowledge.table.trusted()
        for model in weights.models():
            newest = NamedWeights(model, weights.newest(model))
            behind = engines_behind(trusted, model, newest.version, now)
            if not behind:
                continue
            engines = sum(1 for view in trusted if model in view.versions)
            concurrent = weights.together(engines)
            oldest = behind[0].versions[model]
            start_count = weights.first_wave(engines) - (engines - len(behind))
            if now >= weights.due_at(model, len(behind), concurrent, oldest):
                start_count = len(behind)
            for view in behind[: max(0, start_count)]:
                if len(self._loading) < concurrent:
                    self._start(nursery, view, newest, now)

    def _start(
        self, nursery: trio.Nursery, view: InstanceView, weights: NamedWeights, now: float
    ) -> None:
        """Start one load unless it is in progress or has just failed."""
        if view.incarnation in self._loading or now < self._retry_at.get(view.incarnation, 0.0):
            return
        self._loading.add(view.incarnation)
        nursery.start_soon(self._load, view, weights)

    async def _load(self, view: InstanceView, weights: NamedWeights) -> None:
        """Have one engine load weights, and wait until it is done."""
        try:
            if view.announced_state.limited_sends is not None:
                await self._load_limited(view, weights)
                return
            started_at = trio.current_time()
            with trio.move_on_after(MAX_LOAD_SECONDS):
                if await self._order_until_done(view, weights):
                    self._knowledge.weights.record_load(trio.current_time() - started_at)
        finally:
            self._retry_at[view.incarnation] = trio.current_time() + RETRY_SECONDS
            self._loading.discard(view.incarnation)

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

        The load is reported to all nodes first, so that requests waiting at the engine have started
        before it loads.

        An unanswered order may be carried out later. It contains the number of orders that the
        engine had accepted, so it is void once another one is accepted.
        """
        self._mark_loading(view)
        await trio.sleep(SETTLE_SECONDS)
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
            log_events.WEIGHTS_ORDER_SENT,
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
