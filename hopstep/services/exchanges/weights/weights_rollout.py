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
MAX_SILENT_POLLS = 3
SETTLE_SECONDS = 0.15
"""An engine that isn't ordered yet gets no more requests from any node after this time."""

LOADING_SECONDS = 1.0
"""For so long peers keep requests from an engine after an order, unless they hear more."""

PERMIT_PATIENCE_SECONDS = 2.0
"""Longest wait for leave to ask a limited engine; its requests wait behind."""

LIMITED_PATIENCE_SECONDS = 6.0
"""The same for the one order that loads an engine which takes few requests: longer than the time
between two permits at the lowest limit."""

MAX_LOAD_SECONDS = 4.0
RETRY_SECONDS = 0.5

ENDING_OUTCOMES = frozenset(
    {OrderOutcome.ALREADY_LOADED, OrderOutcome.FENCED, OrderOutcome.REJECTED}
)
"""Outcomes after which no further order to the same engine helps for now."""


class WeightsRollout:
    """Brings engines to the newest weights while this node holds the lease."""

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
        """Join the parts.

        Args:
            name: Name of this node.
            knowledge: Engines and named weights.
            lease: Permission to order.
            orders: Orders to engines.
            sharing: Tells peers which engines load.
            notices: Hears what engines say of themselves.
            limits: Permits to send to limited engines.
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
        """Order loads as they fall due until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await self._lease.wait_held()
                await trio.sleep(CHECK_SECONDS)
                if self._lease.may_order:
                    self._start_due(nursery)

    def _start_due(self, nursery: trio.Nursery) -> None:
        """Start the loads that are due now."""
        weights = self._knowledge.weights
        now = trio.current_time()
        trusted = self._knowledge.table.trusted()
        for model in weights.models():
            newest = NamedWeights(model, weights.newest(model))
            behind = engines_behind(trusted, model, newest.version, now)
            if not behind:
                continue
            engines = sum(1 for view in trusted if model in view.versions)
            together = weights.together(engines)
            oldest = behind[0].versions[model]
            wanted = weights.first_wave(engines) - (engines - len(behind))
            if now >= weights.due_at(model, len(behind), together, oldest):
                wanted = len(behind)
            for view in behind[: max(0, wanted)]:
                if len(self._loading) < together:
                    self._start(nursery, view, newest, now)

    def _start(
        self, nursery: trio.Nursery, view: InstanceView, weights: NamedWeights, now: float
    ) -> None:
        """Start one load unless it is under way or has just failed."""
        if view.life in self._loading or now < self._retry_at.get(view.life, 0.0):
            return
        self._loading.add(view.life)
        nursery.start_soon(self._load, view, weights)

    async def _load(self, view: InstanceView, weights: NamedWeights) -> None:
        """Load one engine and wait until it is done."""
        try:
            if view.standing.limited_sends is not None:
                await self._load_limited(view, weights)
                return
            started_at = trio.current_time()
            with trio.move_on_after(MAX_LOAD_SECONDS):
                if await self._order_until_done(view, weights):
                    self._knowledge.weights.record_load(trio.current_time() - started_at)
        finally:
            self._retry_at[view.life] = trio.current_time() + RETRY_SECONDS
            self._loading.discard(view.life)

    async def _load_limited(self, view: InstanceView, weights: NamedWeights) -> None:
        """Order a load of an engine that takes few requests, and wait until its entry shows it.

        With reports, as others are followed, one that takes a request each four seconds would
        never have loaded in time.
        """
        if not await self._may_ask(view, trio.current_time() + LIMITED_PATIENCE_SECONDS):
            return
        self._mark_loading(view)
        outcome = await self._order(view, weights, view.order_sequence)
        if outcome not in (OrderOutcome.UNDER_WAY, OrderOutcome.UNKNOWN):
            self._end_order(view, weights, outcome)
            return
        with trio.move_on_after(MAX_LOAD_SECONDS):
            while view.versions.get(weights.model, 0) < weights.version:
                self._mark_loading(view)
                await trio.sleep(POLL_SECONDS)

    async def _order_until_done(self, view: InstanceView, weights: NamedWeights) -> bool:
        """Order, and again as long as the engine isn't known to load; return whether it did.

        All nodes are told first, so that what waits at the engine has begun before it loads.

        An order without an answer may be carried out later. It names how many orders the engine
        had taken, so it is void once another one was taken.
        """
        self._mark_loading(view)
        await trio.sleep(SETTLE_SECONDS)
        report = await self._report(view)
        if report is None:
            return False
        sequence = report.order_sequence
        while self._lease.may_order and await self._may_ask(view, _patience()):
            self._mark_loading(view)
            outcome = await self._order(view, weights, sequence)
            if outcome in ENDING_OUTCOMES:
                self._end_order(view, weights, outcome)
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
        """Send one order; none once the lease is lost, which it may be since the engine was chosen.

        Without this a node that waited for leave to ask the engine would order without a token.
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

    def _end_order(self, view: InstanceView, weights: NamedWeights, outcome: OrderOutcome) -> None:
        """Learn from an order after which nothing is under way."""
        if outcome is OrderOutcome.ALREADY_LOADED:
            view.learn_version(weights.model, weights.version)
        if outcome is OrderOutcome.FENCED:
            self._lease.give_up("fenced")

    async def _follow(self, view: InstanceView, weights: NamedWeights) -> EngineReport | None:
        """Return the report of an engine once it isn't busy; None when it gives none."""
        for _ in range(MAX_SILENT_POLLS):
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
        """Return an engine's report; None without one, or with one of another life."""
        if not await self._may_ask(view, _patience()):
            return None
        report = await self._orders.report(view.instance, self._notices.listener(view))
        if report is None or not view.instance.life.may_tell(report.born_ms):
            return None
        return report

    async def _may_ask(self, view: InstanceView, until: float) -> bool:
        """Return whether an engine may be sent an order or a report, once there is a permit."""
        if not await self._limits.acquire(view, CONTROL_RANK, until):
            return False
        open_now = view.takes(Purpose.ORDER_SENDING, trio.current_time())
        return self._knowledge.table.is_trusted(view) and open_now

    def _mark_loading(self, view: InstanceView) -> None:
        """Keep requests from an engine for a while, here and at the peers."""
        view.loading_until = trio.current_time() + LOADING_SECONDS
        self._sharing.announce_loading(view.life, LOADING_SECONDS)


def _patience() -> float:
    """Return until when leave to ask an engine is waited for."""
    return trio.current_time() + PERMIT_PATIENCE_SECONDS
