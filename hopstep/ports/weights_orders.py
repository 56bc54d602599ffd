"""Port to engines that take fenced orders to load weights."""

from __future__ import annotations

import abc
import enum
from collections.abc import Mapping

import msgspec

from hopstep.domain.exchanges.instances import Instance, NamedWeights
from hopstep.domain.instance_notices import NoticeListener, ignore_notice


class OrderOutcome(enum.StrEnum):
    """What became of an order."""

    UNDER_WAY = "under_way"
    HOLDS_ALREADY = "holds_already"
    BUSY_OR_MOVED_ON = "busy_or_moved_on"
    FENCED = "fenced"
    REJECTED = "rejected"
    UNKNOWN = "unknown"


class WeightsOrder(msgspec.Struct, frozen=True):
    """An order to load weights.

    Attributes:
        weights: What to load.
        holder: Name of the node that orders.
        fencing_token: Rises with every holder.
        expected_sequence: Orders that the engine must have taken so far.
    """

    weights: NamedWeights
    holder: str
    fencing_token: int
    expected_sequence: int


class EngineReport(msgspec.Struct, frozen=True):
    """What an engine says of itself.

    Attributes:
        busy: Whether an order is under way.
        order_sequence: Orders taken.
        versions: Weights version of each model.
        born_ms: Unix time of its start in milliseconds; 0 when it tells none.
    """

    busy: bool
    order_sequence: int
    versions: Mapping[str, int]
    born_ms: int = 0


class WeightsOrders(abc.ABC):
    """Orders to engines."""

    @abc.abstractmethod
    async def order(
        self, instance: Instance, order: WeightsOrder, hear: NoticeListener = ignore_notice
    ) -> OrderOutcome:
        """Send an order; without an answer it is ``UNKNOWN`` and may be carried out later.

        Args:
            instance: The engine.
            order: The order.
            hear: Told what the answer says of the engine.
        """

    @abc.abstractmethod
    async def report(
        self, instance: Instance, hear: NoticeListener = ignore_notice
    ) -> EngineReport | None:
        """Return what the engine says of itself, or None without a usable answer.

        Args:
            instance: The engine.
            hear: Told what the answer's head says of the engine.
        """
