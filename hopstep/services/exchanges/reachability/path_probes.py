"""Finds out how instances can be reached: by probes over cut links, and by those of other nodes."""

from __future__ import annotations

import enum

import trio

from hopstep.domain.exchanges.instances import Instance
from hopstep.domain.quarantine.crashes import InstanceProbeResult
from hopstep.domain.reachability.gateways import Gateway
from hopstep.domain.reachability.tunnels import TunnelFailure
from hopstep.ports.instance_calls import InstanceCalls
from hopstep.services.exchanges.reachability.path_knowledge import (
    NEEDED_CONFIRMATIONS,
    PathKnowledge,
)

SEARCH_ROUNDS = 4
"""Times that a check in the background asks gateways, others each time if the first can't serve."""

PROBES_AT_ONCE = 4
"""Cut links that are probed in one round, so that load returns to them by and by."""


class Reachability(enum.StrEnum):
    """Result of checking how an instance can be reached.

    ``DIRECT``: over this node's own link. ``THROUGH_GATEWAY``: only through another node, as the
    own link is cut. ``REFUSED`` and ``SILENT``: not at all, as nodes with working links agree.
    ``UNKNOWN``: this node doesn't reach it, and no other one could be asked.
    """

    DIRECT = "direct"
    THROUGH_GATEWAY = "through_gateway"
    REFUSED = "refused"
    SILENT = "silent"
    UNKNOWN = "unknown"


INSTANCE_FAILURES = {
    TunnelFailure.INSTANCE_REFUSED: Reachability.REFUSED,
    TunnelFailure.INSTANCE_SILENT: Reachability.SILENT,
}
"""Reachability by the failure of a tunnel whose gateway reaches other instances."""

LONE_RESULTS = {
    InstanceProbeResult.ENDED: Reachability.REFUSED,
    InstanceProbeResult.NO_ANSWER: Reachability.SILENT,
}
"""Results of direct connections that count where there is no other node."""


class PathProbes:
    """Probes instances over this node's links and through other nodes."""

    def __init__(self, calls: InstanceCalls, known: PathKnowledge) -> None:
        """Use the ways that a node knows.

        Args:
            calls: Probes instances directly and through gateways.
            known: Cut links and gateways, which learn from the probes.
        """
        self._calls = calls
        self._known = known

    async def probe_cut_links(self) -> None:
        """Try direct connections over some of the cut links."""
        due = self._known.links.due_probes(trio.current_time(), PROBES_AT_ONCE)
        by_address = self._known.listed()
        async with trio.open_nursery() as nursery:
            for address in due:
                nursery.start_soon(self._probe_directly, by_address[address])

    async def _probe_directly(self, instance: Instance) -> InstanceProbeResult:
        """Try a direct connection, and note the result."""
        result = await self._calls.probe_connection(instance)
        now = trio.current_time()
        links = self._known.links
        if result is not InstanceProbeResult.ANSWERS:
            links.note_probe_failed(instance.address, now)
        elif links.note_probe_succeeded(instance.address, now):
            self._known.log_link(instance, is_cut=False, gateway="")
        return result

    async def check(self, instance: Instance) -> Reachability:
        """Return how an instance can be reached, by another node's connection if need be."""
        result = await self._probe_directly(instance)
        if result is InstanceProbeResult.ANSWERS:
            return Reachability.DIRECT
        if not self._known.has_other_nodes:
            return LONE_RESULTS[result]
        for _ in range(SEARCH_ROUNDS):
            candidates = self._known.candidates(instance)
            failures = await self._probe_through_all(candidates, instance)
            if None in failures:
                return Reachability.THROUGH_GATEWAY
            confirmed = [failure for failure in failures if failure in INSTANCE_FAILURES]
            if confirmed and len(confirmed) >= min(NEEDED_CONFIRMATIONS, len(candidates)):
                return INSTANCE_FAILURES[confirmed[0]]
        return Reachability.UNKNOWN

    async def _probe_through_all(
        self, gateways: list[Gateway], instance: Instance
    ) -> list[TunnelFailure | None]:
        """Try gateways at the same time; return their results, up to the first that succeeds."""
        failures: list[TunnelFailure | None] = []

        async def probe(gateway: Gateway) -> None:
            failure = await self._calls.probe_through(instance, gateway)
            failures.append(failure)
            if failure is None:
                self._known.note_reached(gateway, instance)
                nursery.cancel_scope.cancel()
            else:
                self._known.note_failure(gateway, instance, failure)

        async with trio.open_nursery() as nursery:
            for gateway in gateways:
                nursery.start_soon(probe, gateway)
        return failures
