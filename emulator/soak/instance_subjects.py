"""The instances that faults of a soak hit."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable

from emulator.soak.deployment import Deployment
from emulator.soak.links import InstanceLinks
from emulator.soak.operators import Operator

FAULT_SECONDS = (0.5, 6.0)
"""Duration of a fault, shortest and longest."""

MIN_INSTANCES = 2
"""Instances of a service that faults leave in use."""

Fault = Callable[[], Awaitable[None]]


class NoInstanceError(Exception):
    """A fault found no instance that it could hit: all of them have crashed."""


def draw_seconds(generator: random.Random) -> float:
    """Return a random duration of a fault, in seconds."""
    return generator.uniform(*FAULT_SECONDS)


class InstanceSubjects:
    """Draws the instances that a group of faults hits."""

    def __init__(
        self, deployment: Deployment, operator: Operator, generator: random.Random
    ) -> None:
        """Prepare without any fault.

        Args:
            deployment: Holds the instances.
            operator: Holds the target version of the weights.
            generator: Draws instance, time and strength.
        """
        self._deployment = deployment
        self._operator = operator
        self._generator = generator

    def _instance(self) -> InstanceLinks:
        """Return a random instance; raise ``NoInstanceError`` if none runs."""
        if not self._deployment.instances:
            raise NoInstanceError
        return self._generator.choice(self._deployment.instances)

    def _count(self, service: str) -> int:
        """Return the number of instances of a service that accept requests."""
        return sum(
            links.instance.traits.service == service
            and not (links.instance.draining or links.instance.notices.leaving)
            for links in self._deployment.instances
        )
