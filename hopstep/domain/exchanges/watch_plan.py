"""Assignment of nodes to engines whose cache events they read.

Each node ranks the registered nodes in the same order, so no agreement is needed. While the views
of nodes differ, an engine may briefly be followed by two nodes or by none; the segment indexes
tolerate both.
"""

from __future__ import annotations

from collections.abc import Mapping

from hopstep.domain.exchanges.instances import Instance
from hopstep.domain.exchanges.nodes import NodeRecord
from hopstep.domain.rendezvous import Rendezvous


class WatchPlan:
    """The node that follows each engine, in the engine's zone if that has nodes."""

    def __init__(self) -> None:
        """Start without nodes."""
        self._nodes: dict[str, NodeRecord] = {}
        self._zones: dict[str, Rendezvous] = {}
        self._all = Rendezvous({})

    def set_nodes(self, nodes: Mapping[str, NodeRecord]) -> None:
        """Set the registered nodes; larger ones follow more engines."""
        if nodes == self._nodes:
            return
        self._nodes = dict(nodes)
        zones: dict[str, dict[str, float]] = {}
        for name, record in nodes.items():
            zones.setdefault(record.zone, {})[name] = record.capacity
        self._zones = {zone: Rendezvous(weights) for zone, weights in zones.items()}
        self._all = Rendezvous({name: record.capacity for name, record in nodes.items()})

    def watcher(self, instance: Instance) -> str:
        """Return the node that follows an engine; empty without nodes."""
        ranking = self._zones.get(instance.zone, self._all)
        owners = ranking.owners(instance.instance_id)
        return owners[0] if owners else ""
