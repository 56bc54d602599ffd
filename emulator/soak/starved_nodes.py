"""Takes the processor away from nodes in short pieces, as a busy machine does.

Such a node is late at every step, but never so long that it takes itself for paused. It counts as
disturbed for every promise with a time bound except that of draining instances.
"""

from __future__ import annotations

import random
import signal

import trio

from emulator.soak.deployment import Deployment
from emulator.soak.disturbances import STARVED
from emulator.soak.links import NodeLinks

STARVED_SECONDS = (4.0, 9.0)
"""Time for which a node is starved, shortest and longest."""

STOPPED_SECONDS = (0.3, 0.55)
"""Time of each piece in which a node doesn't run; a node takes 0.6 s for a pause of its own."""

RUNNING_SECONDS = (0.002, 0.015)
"""Time of each piece in which it runs."""

MAX_SHARE = 0.5
"""Largest share of the nodes that is starved at the same time."""


class StarvedNodes:
    """Starves some nodes at a time."""

    def __init__(self, deployment: Deployment, generator: random.Random) -> None:
        """Prepare without starving any node.

        Args:
            deployment: The nodes.
            generator: Draws nodes and times.
        """
        self._deployment = deployment
        self._generator = generator
        self._starved: set[str] = set()

    async def run(self) -> None:
        """Starve some of the nodes that aren't starved yet, for a while."""
        nodes = self._deployment.nodes
        free = [node for node in nodes if node.running and node.name not in self._starved]
        most = int(MAX_SHARE * len(nodes)) - len(self._starved)
        if most < 1 or not free:
            return
        chosen = self._generator.sample(free, self._generator.randint(1, min(most, len(free))))
        async with trio.open_nursery() as nursery:
            for node in chosen:
                nursery.start_soon(self._starve, node)

    async def _starve(self, node: NodeLinks) -> None:
        """Let a node run in short pieces only."""
        self._starved.add(node.name)
        disturbance = self._deployment.disturb(STARVED, node.name)
        ends_at = trio.current_time() + self._generator.uniform(*STARVED_SECONDS)
        while trio.current_time() < ends_at and self._runs(node):
            self._deployment.signal_node(node, signal.SIGSTOP)
            await trio.sleep(self._generator.uniform(*STOPPED_SECONDS))
            if self._runs(node):
                self._deployment.signal_node(node, signal.SIGCONT)
            await trio.sleep(self._generator.uniform(*RUNNING_SECONDS))
        disturbance.until = trio.current_time()
        self._starved.discard(node.name)

    def _runs(self, node: NodeLinks) -> bool:
        """Return whether a node's process hasn't ended."""
        return self._deployment.node_exit_code(node) is None
