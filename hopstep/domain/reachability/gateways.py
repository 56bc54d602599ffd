"""Through which node an instance is reached when this node's own link to it is cut.

Each partitioned node ranks the other nodes for each instance by rendezvous hashing: connections to
one instance share a gateway and stay pooled, and partitioned nodes spread over the others. Nodes
that have served come first, then those of its own zone; the second choice is of another zone, as a
zone may lose its links together. A node that can't serve is left out for a time.
"""

from __future__ import annotations

import functools
import heapq
import math
from collections.abc import Mapping

import msgspec

from hopstep.domain.exchanges.backoff import doubled_seconds
from hopstep.domain.exchanges.instances import Instance
from hopstep.domain.exchanges.nodes import NodeRecord
from hopstep.domain.rendezvous import hash_name

FIRST_EXCLUSION_SECONDS = 1.0
"""Time for which a node is left out after a failure; each consecutive one doubles it."""

MAX_EXCLUSION_SECONDS = 4.0

SERVED_SECONDS = 30.0
"""Time for which a node that has served is preferred."""

RANK_MULTIPLIER = 0x9E37_79B9_7F4A_7C15
RANK_MASK = (1 << 64) - 1
"""Multiplicative hashing of a node and a key to 64 bits."""


class Gateway(msgspec.Struct, frozen=True):
    """A node through which connections to instances are made.

    Attributes:
        name: Its name.
        address: ``ip:port`` at which it accepts tunnels.
        key: Its key, which authenticates its answers.
    """

    name: str
    address: str
    key: bytes


class _Exclusion(msgspec.Struct, frozen=True):
    """Until when a node is left out, and how often it has failed in a row."""

    until: float
    failures: int


class GatewayChoice:
    """Ranks gateways to each service. Times are of the steady clock, in seconds.

    A node may reach one service and not another, so its failures count for a service.
    """

    def __init__(self, name: str, zone: str) -> None:
        """Start without exclusions.

        Args:
            name: Name of this node.
            zone: Its zone.
        """
        self._name = name
        self._zone = zone
        self._excluded: dict[tuple[str, str], _Exclusion] = {}
        self._served_at: dict[tuple[str, str], float] = {}

    def candidates(
        self, nodes: Mapping[str, NodeRecord], instance: Instance, now: float, count: int
    ) -> list[Gateway]:
        """Return the best gateways to an instance, from two zones if there are several.

        Args:
            nodes: The registered nodes; this one is left out.
            instance: The instance.
            now: Steady clock.
            count: Largest number of gateways.
        """
        service, key = instance.service, hash_name(f"{self._name} {instance.address}")

        def order(name: str) -> tuple[bool, bool, int]:
            has_served = now - self._served_at.get((name, service), -math.inf) < SERVED_SECONDS
            return not has_served, nodes[name].zone != self._zone, _rank(name, key)

        usable = [name for name in nodes if self._is_usable(name, service, now)]
        best = heapq.nsmallest(count, usable, key=order)
        zones = {nodes[name].zone for name in best}
        if len(best) > 1 and len(zones) == 1:
            elsewhere = [name for name in usable if nodes[name].zone not in zones]
            best[1:] = [*heapq.nsmallest(1, elsewhere, key=order), *best[1:]][: count - 1]
        return [Gateway(name, nodes[name].address, nodes[name].key) for name in best]

    def note_failed(self, name: str, service: str, now: float) -> None:
        """Leave a node out for a time as a gateway to a service.

        A failure of a node that is left out already is of a connection that was begun before.
        """
        self._served_at.pop((name, service), None)
        known = self._excluded.get((name, service))
        if known is not None and now < known.until:
            return
        failures = known.failures if known is not None else 0
        seconds = doubled_seconds(FIRST_EXCLUSION_SECONDS, failures, MAX_EXCLUSION_SECONDS)
        self._excluded[name, service] = _Exclusion(now + seconds, failures + 1)

    def note_served(self, name: str, service: str, now: float) -> None:
        """Note that a node has served as a gateway to a service."""
        self._excluded.pop((name, service), None)
        self._served_at[name, service] = now

    def retain(self, names: set[str]) -> None:
        """Forget nodes that aren't registered any more."""
        for known in (self._excluded, self._served_at):
            for name, service in [key for key in known if key[0] not in names]:
                del known[name, service]

    def _is_usable(self, name: str, service: str, now: float) -> bool:
        """Return whether a node isn't left out now."""
        known = self._excluded.get((name, service))
        return name != self._name and (known is None or now >= known.until)


@functools.lru_cache(maxsize=4_096)
def _hash_node(name: str) -> int:
    """Return the hash of a node's name."""
    return hash_name(name)


def _rank(name: str, key: int) -> int:
    """Return the rank of a node for a key, lowest first."""
    return ((_hash_node(name) ^ key) * RANK_MULTIPLIER) & RANK_MASK
