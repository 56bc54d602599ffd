"""One node's links to the emulated instances, which may be cut while other nodes' links work."""

from __future__ import annotations

import contextlib
import enum
from collections.abc import AsyncIterator

import trio

from emulator.exchange_platform.instances import EmulatedInstances
from hopstep.domain.exchanges.instances import Instance
from hopstep.domain.instance_notices import NoticeListener, ignore_notice
from hopstep.domain.quarantine.crashes import InstanceProbeResult
from hopstep.domain.reachability.gateways import Gateway
from hopstep.domain.reachability.tunnels import TunnelFailure, TunnelTarget
from hopstep.exceptions import ErrorCode, Execution
from hopstep.ports.instance_calls import (
    InstanceAnswer,
    InstanceCall,
    InstanceCallError,
    InstanceCalls,
)
from hopstep.ports.tunnels import TunnelGate
from hopstep.ports.weights_orders import EngineReport, OrderOutcome, WeightsOrder, WeightsOrders

CONNECT_SECONDS = 0.4
"""Time after which an attempt to connect is given up."""

REFUSAL_SECONDS = 0.002


class LinkCut(enum.StrEnum):
    """What happens to a node's connections to instances while its links are cut.

    ``REFUSING``: new connections are refused. ``HANGING``: they get no answer. ``RESETTING``: new
    ones are refused, and the first request on an established one is lost. ``SILENT``: requests on
    established connections arrive once the links work again.
    """

    REFUSING = "refusing"
    HANGING = "hanging"
    RESETTING = "resetting"
    SILENT = "silent"


class EmulatedTunnels:
    """Tunnels between the nodes of a simulated deployment, by the nodes' own decisions.

    Attributes:
        silent_seconds: Time after which a node that doesn't answer as a gateway is given up, by the
            names of those nodes.
    """

    def __init__(self) -> None:
        """Start without nodes."""
        self.silent_seconds: dict[str, float] = {}
        self._links: dict[str, EmulatedNodeLinks] = {}
        self._gates: dict[str, TunnelGate] = {}

    def attach(self, name: str, links: EmulatedNodeLinks, gate: TunnelGate) -> None:
        """Let a node be a gateway."""
        self._links[name] = links
        self._gates[name] = gate

    def detach(self, name: str) -> None:
        """Stop a node's tunnels, as if it had terminated."""
        self._links.pop(name, None)
        self._gates.pop(name, None)

    def check_passing(self, call: InstanceCall) -> InstanceCallError | None:
        """Return the error of a call that its gateway doesn't pass on; None if it does."""
        gate = self._gates.get(call.gateway.name) if call.gateway is not None else None
        if gate is None:
            return None
        instance = call.instance
        failure = gate.check_request(TunnelTarget(instance.instance_id, instance.address))
        return _no_tunnel(failure) if failure is not None else None

    async def connect(
        self, sender: str, gateway: Gateway, instance: Instance
    ) -> TunnelFailure | None:
        """Connect to an instance through a gateway; return why that failed, or None."""
        if gateway.name in self.silent_seconds:
            await trio.sleep(self.silent_seconds[gateway.name])
            return TunnelFailure.UNAVAILABLE
        await trio.sleep(REFUSAL_SECONDS)
        links, gate = self._links.get(gateway.name), self._gates.get(gateway.name)
        if links is None or gate is None:
            return TunnelFailure.UNAVAILABLE
        target = TunnelTarget(instance.instance_id, instance.address)
        failure = gate.check(sender, target)
        if failure is not None:
            return failure
        result = await links.probe_connection(instance)
        if result is InstanceProbeResult.ANSWERS:
            return None
        return await gate.diagnose(target, refused=result is InstanceProbeResult.ENDED)


class EmulatedNodeLinks(InstanceCalls, WeightsOrders):
    """Calls of one node to instances, subject to its links."""

    def __init__(self, name: str, instances: EmulatedInstances, tunnels: EmulatedTunnels) -> None:
        """Start with working links.

        Args:
            name: Name of the node.
            instances: The instances, shared with other nodes.
            tunnels: Tunnels through other nodes.
        """
        self._name = name
        self._instances = instances
        self._tunnels = tunnels
        self._cut: LinkCut | None = None
        self._cut_ids: frozenset[str] = frozenset()
        self._established: set[str] = set()
        self._restored = trio.Event()

    def cut(self, kind: LinkCut, instance_ids: frozenset[str] = frozenset()) -> None:
        """Cut the links to some instances, or to all if none are named."""
        self._cut = kind
        self._cut_ids = instance_ids
        self._established = set()
        if kind in (LinkCut.SILENT, LinkCut.RESETTING):
            servers = self._instances.servers.values()
            self._established = {server.instance.address for server in servers}

    def restore(self) -> None:
        """Let all links work again."""
        self._cut = None
        self._restored.set()
        self._restored = trio.Event()

    def is_cut(self, instance: Instance) -> bool:
        """Return whether the link to an instance is cut."""
        is_named = not self._cut_ids or instance.instance_id in self._cut_ids
        return self._cut is not None and is_named

    @contextlib.asynccontextmanager
    async def open(self, call: InstanceCall) -> AsyncIterator[InstanceAnswer]:
        """Send a request; see the port."""
        if call.gateway is not None:
            await self._open_tunnel(call, call.gateway)
        elif self.is_cut(call.instance):
            await self._fail(call)
        async with self._instances.open(call) as answer:
            yield answer

    async def _open_tunnel(self, call: InstanceCall, gateway: Gateway) -> None:
        """Open the tunnel of a call."""
        failure = await self._tunnels.connect(self._name, gateway, call.instance)
        if failure is not None:
            raise _no_tunnel(failure)

    async def probe_through(self, instance: Instance, gateway: Gateway) -> TunnelFailure | None:
        """Try to connect to an instance through a gateway; see the port."""
        return await self._tunnels.connect(self._name, gateway, instance)

    async def drop_unused_tunnels(self) -> None:
        """Close no tunnel, as emulated calls keep none; see the port."""
        await trio.lowlevel.checkpoint()

    async def _fail(self, call: InstanceCall) -> None:
        """Fail a call over a link that is cut, or hold it up until the link works again."""
        if call.instance.address in self._established:
            call.proof.sent = True
            await self._hold_up(call.instance.address)
            return
        await trio.sleep(self._connect_seconds)
        raise InstanceCallError(
            ErrorCode.ENGINE_UNREACHABLE, "no connection", Execution.NOT_RUN, sent=False
        )

    async def _hold_up(self, address: str) -> None:
        """Hold up a request on an established connection, or lose it with its connection."""
        if self._cut is LinkCut.SILENT:
            await self._restored.wait()
            return
        self._established.discard(address)
        await trio.sleep(REFUSAL_SECONDS)
        raise InstanceCallError(ErrorCode.EXECUTION_UNKNOWN, "no answer came", Execution.UNKNOWN)

    @property
    def _is_refusing(self) -> bool:
        """Whether new connections are refused."""
        return self._cut in (LinkCut.REFUSING, LinkCut.RESETTING)

    @property
    def _connect_seconds(self) -> float:
        """Time after which an attempt to connect fails while the links are cut."""
        return REFUSAL_SECONDS if self._is_refusing else CONNECT_SECONDS

    async def probe_connection(self, instance: Instance) -> InstanceProbeResult:
        """Probe an instance; see the port."""
        if not self.is_cut(instance):
            return await self._instances.probe_connection(instance)
        await trio.sleep(self._connect_seconds)
        return InstanceProbeResult.ENDED if self._is_refusing else InstanceProbeResult.NO_ANSWER

    def idle_addresses(self) -> set[str]:
        """Return the addresses with idle connections; see the port."""
        return self._instances.idle_addresses()

    async def drop_idle(self, address: str) -> None:
        """Drop idle connections; see the port."""
        self._established.discard(address)
        await self._instances.drop_idle(address)

    async def forget(self, address: str) -> None:
        """Close the connections to an address; see the port."""
        await self._instances.forget(address)

    async def order(
        self, instance: Instance, order: WeightsOrder, on_notice: NoticeListener = ignore_notice
    ) -> OrderOutcome:
        """Execute an order; see the port."""
        if not self.is_cut(instance):
            return await self._instances.order(instance, order, on_notice)
        await trio.sleep(self._connect_seconds)
        return OrderOutcome.REJECTED

    async def report(
        self, instance: Instance, on_notice: NoticeListener = ignore_notice
    ) -> EngineReport | None:
        """Return an engine's report; see the port."""
        if not self.is_cut(instance):
            return await self._instances.report(instance, on_notice)
        await trio.sleep(self._connect_seconds)
        return None


def _no_tunnel(failure: TunnelFailure) -> InstanceCallError:
    """Return the error of a call of which no byte was passed on by a gateway."""
    leaves = failure is TunnelFailure.INSTANCE_LEAVING
    return InstanceCallError(
        ErrorCode.OVERLOADED if leaves else ErrorCode.ENGINE_UNREACHABLE,
        "no tunnel",
        Execution.NOT_RUN,
        sent=False,
        tunnel_failure=failure,
    )
