"""Port to engines that take fenced orders to load weights."""

from __future__ import annotations

import abc
import enum
from collections.abc import Mapping

import msgspec

from hopstep.domain.exchanges.instances import Instance, NamedWeights
from hopstep.domain.instance_notices import NoticeListener, ignore_notice


class OrderOutcome(enum.StrEnum):
    """Outcome of an order."""

    UNDER_WAY = "under_way"
    ALREADY_LOADED = "holds_already"
    BUSY_OR_SEQUENCE_CHANGED = "busy_or_moved_on"
    FENCED = "fenced"
    REJECTED = "rejected"
    UNKNOWN = "unknown"


class WeightsOrder(msgspec.Struct, frozen=True):
    """An order to load weights.

    Attributes:
        weights: What to load.
        holder: Name of the node that orders.
        fencing_token: Rises with every holder.
        expected_sequence: Number of orders that the engine must have accepted so far.
    """

    weights: NamedWeights
    holder: str
    fencing_token: int
    expected_sequence: int


class EngineReport(msgspec.Struct, frozen=True):
    """An engine's report of its own state.

    Attributes:
        busy: Whether an order is in progress.
        order_sequence: Number of orders accepted so far.
        versions: Weights version of each model.
        born_ms: Unix time of its start in milliseconds; 0 when it reports none.
    """

    busy: bool
    order_sequence: int
    versions: Mapping[str, int]
    born_ms: int = 0


class WeightsOrders(abc.ABC):
    """Sends orders to engines."""

    @abc.abstractmethod
    async def order(
        self, instance: Instance, order: WeightsOrder, on_notice: NoticeListener = ignore_notice
    ) -> OrderOutcome:
        """Send an order; without a response it is ``UNKNOWN`` and may be carried out later.

        Args:
            instance: The engine.
            order: The order.
            on_notice: Called with the notice in the response's headers.
        """

    @abc.abstractmethod
    async def report(
        self, instance: Instance, on_notice: NoticeListener = ignore_notice
    ) -> EngineReport | None:
        """Return the engine's report, or None without a usable response.

        Args:
            instance: The engine.
            on_notice: Called with the notice in the response's headers.
        """
