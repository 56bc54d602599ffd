"""Plans which engines load which weights next, from facts and the configuration, without I/O.

An engine whose weights differ from the configuration gets an order whose fence is the revision.
At most ``max_concurrent_weight_loads`` engines load at once, since loads slow each other down.
An engine that restarts with old weights has a low fence again, and so gets its order again.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from hopstep.domain.configuration.document import AcceptedConfiguration, BackEnd, BackEndKind
from hopstep.domain.engines import EngineFacts


class WeightsOrder(msgspec.Struct, frozen=True):
    """An order that an engine should get now.

    Attributes:
        address: Address of the engine.
        fence: Configuration revision that the order follows.
        weights: Weights version to load by model.
    """

    address: str
    fence: int
    weights: dict[str, str]


def plan(
    accepted: AcceptedConfiguration, facts: Mapping[str, EngineFacts]
) -> tuple[WeightsOrder, ...]:
    """Return the orders to send now, in configuration order.

    Args:
        accepted: Current configuration.
        facts: Latest facts by address; an engine without facts gets no order yet.
    """
    loading = 0
    orders: list[WeightsOrder] = []
    for back_end in accepted.configuration.back_ends:
        engine_facts = facts.get(back_end.address)
        if back_end.kind is not BackEndKind.ENGINE or engine_facts is None:
            continue
        weights = differing_weights(accepted, back_end, engine_facts)
        if not weights:
            continue
        if _is_loading(weights, engine_facts):
            loading += 1
        else:
            orders.append(WeightsOrder(back_end.address, accepted.revision, weights))
    free = accepted.configuration.routing.max_concurrent_weight_loads - loading
    return tuple(orders[: max(free, 0)])


def differing_weights(
    accepted: AcceptedConfiguration, back_end: BackEnd, facts: EngineFacts
) -> dict[str, str]:
    """Return the configured version of each model of which an engine has another version."""
    return {
        model.name: model.weights_version
        for model in accepted.configuration.models
        if model.name in back_end.models and facts.weights.get(model.name) != model.weights_version
    }


def _is_loading(weights: dict[str, str], facts: EngineFacts) -> bool:
    """Return whether an engine has accepted an order for differing weights and is loading them.

    An engine unloads a model when it accepts an order for it. One with this revision's fence that
    still has old weights got the fence by an order for another model.
    """
    return facts.fence > 0 and any(model not in facts.weights for model in weights)
