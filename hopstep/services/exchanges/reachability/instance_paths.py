"""Sends requests to instances over this node's own link, or through another node if that is cut.

A request that couldn't be sent directly is sent through a gateway at once, as no byte of it has
left the node. Only if the gateway reaches the instance is the own link known to be cut; only if
gateways with working links don't reach it either is the instance at fault.
"""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator

import msgspec
import trio

from hopstep.domain.exchanges.instances import Instance
from hopstep.domain.quarantine.crashes import InstanceProbeResult
from hopstep.domain.reachability.gateways import Gateway
from hopstep.domain.reachability.instance_links import InstanceLinks
from hopstep.domain.reachability.tunnels import TunnelFailure
from hopstep.ports.instance_calls import (
    InstanceAnswer,
    InstanceCall,
    InstanceCallError,
    InstanceCalls,
)
from hopstep.services.exchanges.directory.knowledge import ServingKnowledge
from hopstep.services.exchanges.pause_watch import PauseWatch
from hopstep.services.exchanges.reachability.path_knowledge import (
    NEEDED_CONFIRMATIONS,
    PathKnowledge,
)
from hopstep.services.exchanges.reachability.path_probes import PathProbes, Reachability

PROBE_ROUND_SECONDS = 0.25

LATE_SECONDS = 0.2
"""Delay of this node's event loop from which a connection that timed out shows nothing: its answer
may have been there, unread."""

PROBE_RESULTS = {
    Reachability.DIRECT: InstanceProbeResult.ANSWERS,
    Reachability.THROUGH_GATEWAY: InstanceProbeResult.ANSWERS,
    Reachability.REFUSED: InstanceProbeResult.ENDED,
}
"""Results of probes by reachability; all others are ``NO_ANSWER``."""


class InstancePaths(InstanceCalls):
    """Calls to instances over whichever way works."""

    def __init__(
        self, calls: InstanceCalls, knowledge: ServingKnowledge, zone: str, pauses: PauseWatch
    ) -> None:
        """Start with working links.

        Args:
            calls: Sends requests directly and through gateways.
            knowledge: The registered nodes and the listed instances.
            zone: Zone of this node.
            pauses: Detects delays of the node's own event loop.
        """
        self._calls = calls
        self._pauses = pauses
        self._known = PathKnowledge(knowledge, zone)
        self._probes = PathProbes(calls, self._known)

    @property
    def links(self) -> InstanceLinks:
        """This node's own links to instances."""
        return self._known.links

    async def check(self, instance: Instance) -> Reachability:
        """Return how an instance can be reached, by another node's connection if need be."""
        return await self._probes.check(instance)

    async def run(self) -> None:
        """Probe cut links and close unused tunnels until cancelled."""
        while True:
            await trio.sleep(PROBE_ROUND_SECONDS)
            if self.links.cut_count:
                self._known.forget_unlisted()
                await self._probes.probe_cut_links()
            await self._calls.drop_unused_tunnels()

    @contextlib.asynccontextmanager
    async def open(self, call: InstanceCall) -> AsyncIterator[InstanceAnswer]:
        """Send a request; see the port."""
        async with contextlib.AsyncExitStack() as stack:
            yield await self._open(call, stack)

    async def _open(self, call: InstanceCall, stack: contextlib.AsyncExitStack) -> InstanceAnswer:
        """Send a request directly unless the link is cut, and through a gateway if that fails.

        Raises:
            InstanceCallError: The failure of the last way that was tried.
        """
        candidates: list[Gateway] = []
        failure: InstanceCallError | None = None
        if self.links.is_cut(call.instance):
            candidates = self._known.candidates(call.instance)
        if not candidates:
            try:
                return await self._open_directly_in_time(call, stack)
            except InstanceCallError as error:
                if error.sent or error.withdrawn or self._known.is_known_unreachable(call.instance):
                    raise
                failure = error
            candidates = self._known.candidates(call.instance)
        return await self._open_through_any(candidates, call, stack, failure)

    async def _open_through_any(
        self,
        candidates: list[Gateway],
        call: InstanceCall,
        stack: contextlib.AsyncExitStack,
        failure: InstanceCallError | None,
    ) -> InstanceAnswer:
        """Send a request through the first gateway that reaches the instance.

        After two gateways, or one that had to wait for the instance, no further one is tried.

        Raises:
            InstanceCallError: The last failure; ``failure`` without a gateway.
        """
        confirmations = 0
        for gateway in candidates:
            try:
                return await self._open_through(gateway, call, stack)
            except InstanceCallError as error:
                if error.tunnel_failure in (None, TunnelFailure.INSTANCE_LEAVING):
                    raise
                failure = error
            if not self._known.note_failure(gateway, call.instance, failure.tunnel_failure):
                continue
            confirmations += 1
            failure.confirmed = confirmations >= min(NEEDED_CONFIRMATIONS, len(candidates))
            if failure.confirmed or failure.tunnel_failure is TunnelFailure.INSTANCE_SILENT:
                break
        if failure is None:
            return await self._open_directly(call, stack)
        raise failure

    async def _open_directly_in_time(
        self, call: InstanceCall, stack: contextlib.AsyncExitStack
    ) -> InstanceAnswer:
        """Send a request over this node's own link; once more if this node was late to connect.

        Raises:
            InstanceCallError: When the link or the instance fails.
        """
        began_at = trio.current_time()
        try:
            return await self._open_directly(call, stack)
        except InstanceCallError as error:
            was_late = self._pauses.longest_delay_since(began_at) >= LATE_SECONDS
            if error.sent or error.withdrawn or not was_late:
                raise
        return await self._open_directly(call, stack)

    async def _open_directly(
        self, call: InstanceCall, stack: contextlib.AsyncExitStack
    ) -> InstanceAnswer:
        """Send a request over this node's own link."""
        answer = await stack.enter_async_context(self._calls.open(call))
        if call.proof.connected:
            self.links.note_connected(call.instance, trio.current_time())
        return answer

    async def _open_through(
        self, gateway: Gateway, call: InstanceCall, stack: contextlib.AsyncExitStack
    ) -> InstanceAnswer:
        """Send a request through a gateway."""
        call.proof.gateway = gateway.name
        tunneled = msgspec.structs.replace(call, gateway=gateway)
        try:
            return await stack.enter_async_context(self._calls.open(tunneled))
        except InstanceCallError as error:
            if error.tunnel_failure is not None:
                call.proof.gateway = ""
            raise
        finally:
            if call.proof.connected:
                self._known.note_reached(gateway, call.instance)

    async def probe_connection(self, instance: Instance) -> InstanceProbeResult:
        """Return whether an instance listens, however it can be reached; see the port.

        A refused connection shows the instance's end only where a gateway is refused too, or where
        there is no other node.
        """
        return PROBE_RESULTS.get(await self.check(instance), InstanceProbeResult.NO_ANSWER)

    async def probe_through(self, instance: Instance, gateway: Gateway) -> TunnelFailure | None:
        """Try to connect to an instance through a gateway; see the port."""
        return await self._calls.probe_through(instance, gateway)

    def idle_addresses(self) -> set[str]:
        """Return the addresses without requests in progress; see the port."""
        return self._calls.idle_addresses()

    async def drop_idle(self, address: str) -> None:
        """Close the idle connections to an address; see the port."""
        await self._calls.drop_idle(address)

    async def drop_unused_tunnels(self) -> None:
        """Close tunnels that are no longer used; see the port."""
        await self._calls.drop_unused_tunnels()

    async def forget(self, address: str) -> None:
        """Close the connections to an address; see the port."""
        await self._calls.forget(address)
