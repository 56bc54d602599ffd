"""Callers of one kind that send at the same time."""

from __future__ import annotations

import abc
import random

import trio

from emulator.soak.callers import Readiness
from emulator.soak.deployment import Deployment


class CallerGroup(abc.ABC):
    """A number of callers that choose among the nodes that accept new connections."""

    def __init__(
        self, deployment: Deployment, generator: random.Random, readiness: Readiness, count: int
    ) -> None:
        """Prepare callers without connections.

        Args:
            deployment: Nodes and history.
            generator: Draws requests, and how they are sent.
            readiness: Nodes to which new connections may go.
            count: Number of callers.
        """
        self._deployment = deployment
        self._generator = generator
        self._readiness = readiness
        self._count = count

    async def run(self) -> None:
        """Send until cancelled."""
        async with trio.open_nursery() as nursery:
            for _ in range(self._count):
                nursery.start_soon(self._keep_calling)

    @abc.abstractmethod
    async def _keep_calling(self) -> None:
        """Send the requests of one caller until cancelled."""
