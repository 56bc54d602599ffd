"""Weights orders to emulated instances: they load weights after some time, or refuse."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
import trio
import trio.lowlevel

from emulator.exchange_platform.emulated_instance import EmulatedInstance
from hopstep.domain.exchanges.instances import Instance
from hopstep.domain.instance_notices import NoticeListener, ignore_notice
from hopstep.ports.weights_orders import EngineReport, OrderOutcome, WeightsOrder, WeightsOrders


class EmulatedOrders(WeightsOrders):
    """Carries out orders at the instances of a simulated deployment.

    Attributes:
        servers: The instances by id, terminated ones included.
        on_changed: Called with the changed entry of an instance.
    """

    def __init__(self) -> None:
        """Start without instances."""
        self.servers: dict[str, EmulatedInstance] = {}
        self.on_changed: Callable[[Instance], None] = lambda _entry: None

    async def order(
        self, instance: Instance, order: WeightsOrder, on_notice: NoticeListener = ignore_notice
    ) -> OrderOutcome:
        """Execute an order; see the port."""
        server = self.servers[instance.instance_id]
        await trio.sleep(0.001)
        server.arrived_at.append(trio.current_time())
        on_notice(server.notice())
        if server.order_delay_seconds:
            trio.lowlevel.spawn_system_task(self._execute_late, server, order)
            return OrderOutcome.UNKNOWN
        outcome = self._execute(server, order)
        if server.lost_order_answers > 0:
            server.lost_order_answers -= 1
            return OrderOutcome.UNKNOWN
        return outcome

    async def _execute_late(self, server: EmulatedInstance, order: WeightsOrder) -> None:
        """Execute an order later, at the incarnation that the instance then has."""
        await trio.sleep(server.order_delay_seconds)
        self._execute(self.servers[server.instance.instance_id], order)

    def _execute(self, server: EmulatedInstance, order: WeightsOrder) -> OrderOutcome:
        """Execute an order if its conditions hold."""
        server.received_orders.append((trio.current_time(), order))
        if order.fencing_token < server.highest_fence:
            return OrderOutcome.FENCED
        server.highest_fence = order.fencing_token
        if server.versions.get(order.weights.model) == order.weights.version:
            return OrderOutcome.ALREADY_LOADED
        if server.busy or order.expected_sequence != server.order_sequence:
            return OrderOutcome.BUSY_OR_SEQUENCE_CHANGED
        server.orders.append((trio.current_time(), order))
        server.order_sequence += 1
        server.busy = True
        trio.lowlevel.spawn_system_task(self._load, server, order)
        return OrderOutcome.UNDER_WAY

    async def _load(self, server: EmulatedInstance, order: WeightsOrder) -> None:
        """Load the weights of an order."""
        await trio.sleep(server.load_seconds)
        server.versions[order.weights.model] = order.weights.version
        server.busy = False
        self.on_changed(
            msgspec.structs.replace(
                server.instance,
                versions=dict(server.versions),
                order_sequence=server.order_sequence,
            )
        )

    async def report(
        self, instance: Instance, on_notice: NoticeListener = ignore_notice
    ) -> EngineReport | None:
        """Return an engine's report; see the port."""
        await trio.sleep(0.001)
        server = self.servers[instance.instance_id]
        server.arrived_at.append(trio.current_time())
        on_notice(server.notice())
        return EngineReport(
            server.busy, server.order_sequence, dict(server.versions), server.reported_born_ms
        )
