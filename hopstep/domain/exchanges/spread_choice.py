"""Choice among rated instances when many nodes choose by the same reports at the same moment.

The load that this addresses: dozens of nodes with equal views, some tenths of a second old, all
send to the instance that looks best, which then has too many requests while others idle.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from typing import Protocol, TypeVar

import msgspec

UNCERTAIN_SHARE = 0.25
"""Part of the lowest cost by which costs may differ because load reports are old."""

FEW_TOKENS = 1_000
"""Prompts with fewer uncached tokens cost about the same at every engine with the same load."""

SAMPLED_FROM_NODES = 8
"""Nodes that may choose the same instance at once without harm; more sample the instances."""

MIN_SAMPLED = 2
"""Fewest instances in a sample."""

SAMPLED_FROM_OCCUPANCY = 0.5
"""Part of the best instance's slots in use above which the instances are sampled."""


class Rating(msgspec.Struct, frozen=True):
    """What is expected of an instance for a request.

    Attributes:
        cost_seconds: Expected time to the first byte, with all costs.
        first_byte_seconds: Expected time to the first byte.
        wait_seconds: Part of that time which follows from the load.
        policy_seconds: Part of the cost by preferences: zone, weights and kept engines.
        uncached_tokens: Prompt tokens that it would prefill.
        occupancy: Requests there, as a fraction of its slots.
        has_room: Whether it has capacity for the request.
    """

    cost_seconds: float
    first_byte_seconds: float
    wait_seconds: float = 0.0
    policy_seconds: float = 0.0
    uncached_tokens: int = 0
    occupancy: float = 0.0
    has_room: bool = True


class RatedInstance(Protocol):
    """An instance that may be chosen."""

    @property
    def rating(self) -> Rating:
        """What is expected of it."""


Rated = TypeVar("Rated", bound=RatedInstance)


class ChoiceBounds(msgspec.Struct, frozen=True):
    """What the choice depends on besides the rated instances.

    Attributes:
        objective_seconds: What is left of the request's objective.
        nodes: Nodes that choose by the same reports.
        sampling: Whether the instances may be sampled.
    """

    objective_seconds: float = float("inf")
    nodes: int = 1
    sampling: bool = True


def choose_rated(
    rated: Sequence[Rated],
    bounds: ChoiceBounds,
    generator: random.Random,
    cost_when_late: Callable[[RatedInstance], float] | None = None,
) -> Rated | None:
    """Return the instance with the lowest cost.

    Instances with capacity come first. When the best one would be late, costs that stand for
    preferences don't count: they would delay an answer that another instance may give in time.

    Args:
        rated: The instances that may serve a request.
        bounds: The request's objective, and the number of nodes.
        generator: Chooses among instances that can't be told apart.
        cost_when_late: Cost that decides when the best instance would be late; None for the cost
            without preferences.
    """
    fitting = [each for each in rated if each.rating.has_room] or rated
    if not fitting:
        return None
    in_time = [each for each in fitting if _is_in_time(each, bounds)]
    if _is_in_time(min(fitting, key=_cost), bounds):
        return _spread(in_time, _cost, bounds, generator)
    return _spread(fitting, cost_when_late or cost_without_policy, bounds, generator)


def sample_size(instances: int, nodes: int) -> int:
    """Return how many random instances a node compares: fewer, the more nodes there are."""
    return max(MIN_SAMPLED, round(instances * SAMPLED_FROM_NODES / max(1, nodes)))


def _spread(
    rated: Sequence[Rated],
    seconds_of: Callable[[RatedInstance], float],
    bounds: ChoiceBounds,
    generator: random.Random,
) -> Rated:
    """Return the best of a sample, or one of those that can't be told from the best.

    Only instances that operators prefer as much as the best are compared with it: another zone or
    older weights aren't chosen by chance.
    """
    best = min(rated, key=seconds_of)
    preferred = [each for each in rated if each.rating.policy_seconds <= best.rating.policy_seconds]
    if _is_sampled(best.rating, bounds):
        size = min(len(preferred), sample_size(len(preferred), bounds.nodes))
        return min(generator.sample(preferred, size), key=seconds_of)
    lowest = seconds_of(best)
    limit = lowest + _uncertainty(lowest, rated, bounds)
    near = [each for each in preferred if seconds_of(each) <= limit]
    return generator.choice(near) if len(near) > 1 else best


def _uncertainty(lowest: float, rated: Sequence[RatedInstance], bounds: ChoiceBounds) -> float:
    """Return by how many seconds costs may differ because reports are old.

    While instances are idle, other nodes send little that isn't reported yet: the mean wait at the
    instances limits the uncertainty.
    """
    if bounds.nodes <= 1:
        return 0.0
    mean_wait = sum(each.rating.wait_seconds for each in rated) / len(rated)
    return min(UNCERTAIN_SHARE * lowest, mean_wait)


def _is_sampled(best: Rating, bounds: ChoiceBounds) -> bool:
    """Return whether so many nodes would send to the best instance that a sample is better."""
    return (
        bounds.sampling
        and bounds.nodes > SAMPLED_FROM_NODES
        and best.uncached_tokens < FEW_TOKENS
        and best.occupancy > SAMPLED_FROM_OCCUPANCY
    )


def _cost(rated: RatedInstance) -> float:
    """Return the cost of an instance."""
    return rated.rating.cost_seconds


def _is_in_time(rated: RatedInstance, bounds: ChoiceBounds) -> bool:
    """Return whether an instance is expected to meet the request's objective."""
    return rated.rating.first_byte_seconds <= bounds.objective_seconds


def first_byte(rated: RatedInstance) -> float:
    """Return the expected time to an instance's first byte."""
    return rated.rating.first_byte_seconds


def cost_without_policy(rated: RatedInstance) -> float:
    """Return the cost of an instance without preferences for it."""
    return rated.rating.cost_seconds - rated.rating.policy_seconds
