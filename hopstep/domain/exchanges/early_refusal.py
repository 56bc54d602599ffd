"""Whether a request is refused before it waits in vain, and when its client should come back.

The load that this answers: bursts in which callers want more than all engines can serve, so that
requests wait for seconds at an engine or a node and are refused when it is too late for a retry.
Every input follows from the order of the queue and from observed times; a priority is no reason.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

import msgspec

from hopstep.domain.fair_queue import MAX_PASSED_OVER

ERROR_FACTOR = 1.25
"""Factor on estimated times, which may be too low by a quarter of the observed ones."""

SMOOTHING = 0.2
"""Weight of the latest observation in the mean time to the first byte."""

DEFAULT_FIRST_BYTE_SECONDS = 0.1
"""Expected time to the first byte without any observation."""

SHARE_SMOOTHING = 1.0 / MAX_PASSED_OVER
"""Weight of the latest departure in the share of a class: one of a class that is always passed over
comes after that many others."""

MIN_SHARE = 1.0 / (MAX_PASSED_OVER + 1)
"""Part of the departures that each waiting class gets at least."""

MAX_RETURNING = 1_024
"""Refused clients that are remembered, the latest: more than return within a few seconds."""


class WaitEstimate(msgspec.Struct, frozen=True):
    """What a node expects of a request that would wait, or waits.

    Attributes:
        ahead: Requests of its service that go before it.
        wait_seconds: Expected wait for an instance; 0 when too little was observed.
        first_byte_seconds: Expected time from sending it to the first byte.
        remaining_seconds: Time until its deadline.
        free_places: Requests that the service's instances may still be sent.
        taken_places: Requests of all nodes at these instances.
        less_urgent_waits: Whether a less urgent request of its service waits.
    """

    ahead: int
    wait_seconds: float
    first_byte_seconds: float
    remaining_seconds: float
    free_places: int = 0
    taken_places: int = 0
    less_urgent_waits: bool = False

    @property
    def answer_seconds(self) -> float:
        """Time until its first byte, with a margin for the error of the estimate."""
        return (self.wait_seconds + self.first_byte_seconds) * ERROR_FACTOR


def expected_wait(
    by_order: float, ahead_in_class: int, interval_seconds: float, share: float
) -> float:
    """Return the expected wait in seconds, the longer of two estimates.

    Args:
        by_order: Time until all requests that go before it now have left.
        ahead_in_class: Requests before it in its own order class.
        interval_seconds: Mean time between two requests that leave the queue.
        share: Part of them that are of its order class.
    """
    return max(by_order, (ahead_in_class + 1) * interval_seconds / share)


def may_refuse(wait_estimate: WaitEstimate) -> bool:
    """Return whether a request may be refused for its wait.

    Never while half of the places are free, as then the wait has another cause than load; and
    never while a less urgent request of the service is kept.
    """
    return (
        wait_estimate.free_places < wait_estimate.taken_places
        and not wait_estimate.less_urgent_waits
    )


def misses_deadline(wait_estimate: WaitEstimate) -> bool:
    """Return whether to refuse a request at once, as its answer would come after its deadline."""
    return (
        may_refuse(wait_estimate) and wait_estimate.answer_seconds > wait_estimate.remaining_seconds
    )


def last_useful_at(deadline: float, first_byte_seconds: float) -> float:
    """Return until when it makes sense to wait for an instance, as a time of the same clock.

    Args:
        deadline: When the answer is due, in seconds.
        first_byte_seconds: Expected time from sending the request to the first byte.
    """
    return deadline - first_byte_seconds * ERROR_FACTOR


def return_seconds(wait_estimate: WaitEstimate, interval_seconds: float, returning: int) -> float:
    """Return the time after which the same request would be served in time.

    While its client stays away, the queue drains and its deadline comes nearer by the same time, so
    that only the margin of the estimate shrinks. The result may lie beyond the deadline.

    Args:
        wait_estimate: What is expected of the request now.
        interval_seconds: Mean time between two requests that leave the queue.
        returning: Clients that were refused before and come back before it.
    """
    before = returning * interval_seconds
    answer = wait_estimate.answer_seconds + before * ERROR_FACTOR
    until_served = (answer - wait_estimate.remaining_seconds) / (ERROR_FACTOR - 1.0)
    return max(before + interval_seconds, until_served)


class FirstByteTimes:
    """Mean times from sending a request to its first byte, by route.

    Memory is bounded by the number of configured routes.
    """

    def __init__(self) -> None:
        """Start without observations."""
        self._means: dict[str, float] = {}

    def observe(self, route: str, seconds: float) -> None:
        """Add an observation."""
        mean = self._means.get(route, seconds)
        self._means[route] = mean + SMOOTHING * (seconds - mean)

    def expected(self, route: str) -> float:
        """Return the expected seconds for a request of a route."""
        return self._means.get(route, DEFAULT_FIRST_BYTE_SECONDS)


class ReturningClients:
    """Refused clients of one service that haven't come back yet."""

    def __init__(self) -> None:
        """Start without any."""
        self._due_at: deque[float] = deque(maxlen=MAX_RETURNING)

    def add(self, due_at: float) -> None:
        """Note when a refused client is expected back, by the steady clock in seconds."""
        self._due_at.append(due_at)

    def count(self, now: float) -> int:
        """Return how many are still expected."""
        if self._due_at and min(self._due_at) <= now:
            still = [at for at in self._due_at if at > now]
            self._due_at = deque(still, maxlen=MAX_RETURNING)
        return len(self._due_at)


class ServedShares:
    """Part of the departures from one service's queue that each order class gets while it waits.

    The order alone tells too short a wait for a class that later requests of others overtake.
    Memory is bounded by the number of ranks.
    """

    def __init__(self) -> None:
        """Start without observations."""
        self._shares: dict[int, float] = {}

    def note_departure(self, served: int, waiting: Iterable[int]) -> None:
        """Note that a request has left the queue.

        Args:
            served: Its order class.
            waiting: Order classes that still wait.
        """
        for order_class in {served, *waiting}:
            share = self.share(order_class)
            self._shares[order_class] = share + SHARE_SMOOTHING * ((order_class == served) - share)

    def clear(self) -> None:
        """Drop the observations: nothing waits."""
        self._shares.clear()

    def share(self, order_class: int) -> float:
        """Return the share of a class; all of it without observations."""
        return max(MIN_SHARE, self._shares.get(order_class, 1.0))
