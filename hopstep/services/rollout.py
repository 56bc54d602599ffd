"""Sends engines fenced orders to load weights; only the rollout leader does so.

Two leaders at once do no harm: orders of one revision are equal, engines refuse a lower fence,
and repeating an order changes nothing. Without a configuration nothing is ordered; while the
store is down, the rollout of the configuration in force goes on.
"""

from __future__ import annotations

from collections.abc import Callable

import trio

from hopstep.domain.configuration.document import AcceptedConfiguration, BackEndKind
from hopstep.domain.engines import EngineFacts
from hopstep.domain.rollout import WeightsOrder, plan
from hopstep.domain.routing.routing_table import RoutingTable
from hopstep.error_reports import describe_unexpected
from hopstep.exceptions import EngineError
from hopstep.log_events.instances import WEIGHTS_ORDER_FAILED, WEIGHTS_ORDERED
from hopstep.logs import emit
from hopstep.ports.engine import EngineOrder, EnginePort
from hopstep.services.configuration.holder import ConfigurationHolder

ROUND_SECONDS = 0.25
"""Time between two checks of the engines' weights."""

ORDER_TIMEOUT_SECONDS = 2.0
"""Longest wait for an engine to accept an order."""


class Rollout:
    """Brings engines to the configured weights, a few at a time."""

    def __init__(
        self,
        engine_port: EnginePort,
        routing_table: RoutingTable,
        configuration_holder: ConfigurationHolder,
        is_leader: Callable[[], bool],
    ) -> None:
        """Prepare the rollout; ``run`` does the work.

        Args:
            engine_port: Calls to engines.
            routing_table: Holds the engines' facts, and takes those in the answers to orders.
            configuration_holder: Configuration in force.
            is_leader: Whether this router is the one that sends orders.
        """
        self._engine_port = engine_port
        self._routing_table = routing_table
        self._holder = configuration_holder
        self._is_leader = is_leader

    async def run(self) -> None:
        """Send orders until cancelled."""
        while True:
            await self.run_once()
            await trio.sleep(ROUND_SECONDS)

    async def run_once(self) -> None:
        """Send the orders that are due now."""
        accepted = self._holder.current
        if accepted is None or not self._is_leader():
            return
        async with trio.open_nursery() as nursery:
            for order in plan(accepted, self._facts(accepted)):
                nursery.start_soon(self._send, order)

    def _facts(self, accepted: AcceptedConfiguration) -> dict[str, EngineFacts]:
        """Return the known facts of the configured engines, by address."""
        known: dict[str, EngineFacts] = {}
        for back_end in accepted.configuration.back_ends:
            facts = self._routing_table.facts(back_end.address)
            if back_end.kind is BackEndKind.ENGINE and facts is not None:
                known[back_end.address] = facts
        return known

    async def _send(self, order: WeightsOrder) -> None:
        """Send one order; after a failure the next round sends it again."""
        message = EngineOrder(fence=order.fence, weights=order.weights)
        try:
            with trio.fail_after(ORDER_TIMEOUT_SECONDS):
                facts = await self._engine_port.order(order.address, message)
            self._routing_table.update_facts(order.address, facts, trio.current_time())
        except (EngineError, trio.TooSlowError) as error:
            self._log_failure(order, type(error).__name__)
            return
        except Exception as error:
            # What one engine answers can't be used; the others get their orders.
            self._log_failure(order, describe_unexpected(error))
            return
        emit(
            WEIGHTS_ORDERED,
            engine=order.address,
            fence=order.fence,
            weights=order.weights,
        )

    @staticmethod
    def _log_failure(order: WeightsOrder, reason: str) -> None:
        """Log an order whose outcome isn't known."""
        emit(
            WEIGHTS_ORDER_FAILED,
            engine=order.address,
            fence=order.fence,
            reason=reason,
        )
