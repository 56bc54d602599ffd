"""What this node knows of its ways to instances: cut links, and gateways that serve or fail."""

from __future__ import annotations

import trio

from hopstep.domain.exchanges.instances import Instance
from hopstep.domain.reachability.gateways import Gateway, GatewayChoice
from hopstep.domain.reachability.instance_links import InstanceLinks
from hopstep.domain.reachability.tunnels import TunnelFailure
from hopstep.log_events.instances import GATEWAY_EXCLUDED, INSTANCE_LINK_CHANGED, INSTANCES_CUT_OFF
from hopstep.logs import emit
from hopstep.services.exchanges.directory.knowledge import ServingKnowledge

MAX_GATEWAYS = 3
"""Gateways that are tried for one request."""

NEEDED_CONFIRMATIONS = 2
"""Gateways that must fail to reach an instance, though they reach others, until it counts as
unreachable; one suffices where there is no other."""

UNREACHABLE_SECONDS = 2.0
"""Time for which an instance that a gateway couldn't reach isn't tried through others again."""


class PathKnowledge:
    """Links of this node, and the other nodes that may make its connections.

    Attributes:
        links: This node's own links to instances.
    """

    def __init__(self, knowledge: ServingKnowledge, zone: str) -> None:
        """Start with working links.

        Args:
            knowledge: The registered nodes and the listed instances.
            zone: Zone of this node.
        """
        self.links = InstanceLinks(_log_partitioned)
        self._knowledge = knowledge
        self._gateways = GatewayChoice(knowledge.name, zone)
        self._unreachable_until: dict[str, float] = {}

    @property
    def has_other_nodes(self) -> bool:
        """Whether any other node is registered."""
        return self._knowledge.registered_nodes.has_others

    def listed(self) -> dict[str, Instance]:
        """Return the listed instances by their addresses."""
        return {view.instance.address: view.instance for view in self._knowledge.table}

    def forget_unlisted(self) -> None:
        """Forget what is known of instances and nodes that aren't listed any more."""
        now = trio.current_time()
        self.links.retain(set(self.listed()))
        self._gateways.retain(set(self._knowledge.nodes))
        known = self._unreachable_until.items()
        self._unreachable_until = {address: until for address, until in known if now < until}

    def candidates(self, instance: Instance) -> list[Gateway]:
        """Return the gateways to try for an instance."""
        nodes, now = self._knowledge.nodes, trio.current_time()
        return self._gateways.candidates(nodes, instance, now, MAX_GATEWAYS)

    def note_failure(
        self, gateway: Gateway, instance: Instance, failure: TunnelFailure | None
    ) -> bool:
        """Note that no tunnel came about; return whether the instance itself can't be reached."""
        now = trio.current_time()
        if failure is not None and failure.is_instance_failure:
            self._unreachable_until[instance.address] = now + UNREACHABLE_SECONDS
            return True
        self._gateways.note_failed(gateway.name, instance.service, now)
        emit(
            GATEWAY_EXCLUDED,
            gateway=gateway.name,
            service=instance.service,
            reason=failure.value if failure is not None else "",
        )
        return False

    def is_known_unreachable(self, instance: Instance) -> bool:
        """Return whether a gateway has lately failed to reach an instance."""
        return trio.current_time() < self._unreachable_until.get(instance.address, 0.0)

    def note_reached(self, gateway: Gateway, instance: Instance) -> None:
        """Note that a gateway has reached an instance: the own link to it is cut."""
        now = trio.current_time()
        self._gateways.note_served(gateway.name, instance.service, now)
        if not self.links.note_cut(instance, now):
            return
        self.log_link(instance, is_cut=True, gateway=gateway.name)
        view = self._knowledge.table.get(instance.instance_id)
        if view is not None:
            view.note_reached(now)

    def log_link(self, instance: Instance, *, is_cut: bool, gateway: str) -> None:
        """Log that the link to an instance is cut, or works again."""
        emit(
            INSTANCE_LINK_CHANGED,
            instance=instance.instance_id,
            service=instance.service,
            cut=is_cut,
            gateway=gateway,
            links_cut=self.links.cut_count,
        )


def _log_partitioned(is_partitioned: bool) -> None:
    """Log that this node has lost all its links to instances, or has one again."""
    emit(INSTANCES_CUT_OFF, cut_off=is_partitioned)
