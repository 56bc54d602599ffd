"""Churn of a fleet: planned restarts and failures at ten times the ordinary rate."""

from __future__ import annotations

import random
from collections.abc import Sequence

from emulator.hollow_cluster import HollowCluster

FLEET_NODES = 390
RESTARTS_PER_DAY = 1_100
FAILURES_PER_DAY = 120
DAY_SECONDS = 86_400
CHURN_FACTOR = 10
"""Multiple of the ordinary rate, so that some events fall into a window of one minute."""

DOWN_SECONDS = 5.0
FAILURE_DOWN_SECONDS = 30.0


class Churn:
    """Restarts and kills random nodes, at ``CHURN_FACTOR`` times the fleet's rate per node."""

    def __init__(
        self, cluster: HollowCluster, seeds: Sequence[str], generator: random.Random
    ) -> None:
        """Start with all nodes running.

        Args:
            cluster: Cluster whose nodes are restarted and killed.
            seeds: Seed addresses of restarted nodes.
            generator: Random generator.
        """
        self._cluster = cluster
        self._seeds = tuple(seeds)
        self._generator = generator
        self._down: list[tuple[float, str]] = []
        factor = CHURN_FACTOR * len(cluster.nodes) / FLEET_NODES
        self._restart_chance = factor * RESTARTS_PER_DAY / DAY_SECONDS
        self._failure_chance = factor * FAILURES_PER_DAY / DAY_SECONDS
        self.events = 0

    def step(self) -> None:
        """Apply the churn of one second."""
        now = self._cluster.now
        due = [name for due_at, name in self._down if due_at <= now]
        self._down = [item for item in self._down if item[0] > now]
        for name in due:
            self._cluster.restart(name, self._seeds)
        if self._generator.random() < self._restart_chance:
            self._take_down(planned=True)
        if self._generator.random() < self._failure_chance:
            self._take_down(planned=False)

    def _take_down(self, *, planned: bool) -> None:
        node = self._generator.choice(self._cluster.running())
        if planned:
            self._cluster.leave(node.name)
        else:
            self._cluster.kill(node.name)
        wait = DOWN_SECONDS if planned else FAILURE_DOWN_SECONDS
        self._down.append((self._cluster.now + wait, node.name))
        self.events += 1
