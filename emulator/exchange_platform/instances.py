"""In-process instances on trio's clock: they run requests, load weights and fail on demand."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator, Callable

import trio
import trio.lowlevel

from emulator.exchange_platform.emulated_instance import (
    Behaviour,
    EmulatedAnswer,
    EmulatedInstance,
    Run,
    broken_off,
)
from emulator.exchange_platform.emulated_orders import EmulatedOrders
from hopstep.domain.exchanges.instances import Instance
from hopstep.domain.exchanges.request import ExchangeRequest
from hopstep.domain.quarantine.crashes import InstanceProbeResult
from hopstep.domain.reachability.gateways import Gateway
from hopstep.domain.reachability.tunnels import TunnelFailure
from hopstep.exceptions import ErrorCode, Execution
from hopstep.ports.instance_calls import (
    InstanceAnswer,
    InstanceCall,
    InstanceCallError,
    InstanceCalls,
    withdrawn_call,
)

FATAL_SECONDS = 0.1
"""Time from the start of a fatal request to the instance's crash, as seen at users' engines."""

CONNECT_SECONDS = 0.003
"""Time to open a connection within a region."""

FAILURE_STATUS = 500
SUCCESS_STATUS = 200


UNREACHABLE_BUT_RUNNING = frozenset({Behaviour.NO_CONNECTION})
"""Behaviours of an instance that can't be reached but may be running."""


class EmulatedInstances(InstanceCalls, EmulatedOrders):
    """All instances of a simulated deployment.

    Attributes:
        on_ended: Called with an instance that a request has crashed.
        on_sent: Called with each call when its first byte is sent.
        check_passing: Returns the error of a call that a gateway doesn't pass on; None if it does.
        way_seconds: Returns the time from the first byte of a call to its arrival, in seconds.
        fatal_bodies: Bodies of requests that crash each instance that begins to run them.
        fatal_seconds: Time from the start of such a request to the crash.
        calls: All calls.
        dropped: Addresses whose idle connections were dropped.
        all_servers: All processes, those that ended and were replaced under their id included.
    """

    def __init__(self) -> None:
        """Start without instances."""
        super().__init__()
        self.all_servers: list[EmulatedInstance] = []
        self.on_ended: Callable[[EmulatedInstance], None] = lambda _server: None
        self.on_sent: Callable[[InstanceCall], None] = lambda _call: None
        self.check_passing: Callable[[InstanceCall], InstanceCallError | None] = lambda _call: None
        self.way_seconds: Callable[[InstanceCall], float] = lambda _call: 0.0
        self.fatal_bodies: set[bytes] = set()
        self.fatal_parts: set[str] = set()
        self.fatal_seconds = FATAL_SECONDS
        self.calls: list[InstanceCall] = []
        self.dropped: list[str] = []
        self._blocked: set[str] = set()

    def block_connections(self, address: str) -> None:
        """Leave calls to an address without response until its idle connections are dropped."""
        self._blocked.add(address)

    def add(self, instance: Instance) -> EmulatedInstance:
        """Start an instance."""
        server = self.servers[instance.instance_id] = EmulatedInstance(instance)
        self.all_servers.append(server)
        return server

    def runs(self, request_id: str) -> list[Run]:
        """Return all runs of a request, at any instance."""
        runs = [run for server in self.servers.values() for run in server.runs]
        return sorted((run for run in runs if run.request_id == request_id), key=lambda run: run.at)

    @contextlib.asynccontextmanager
    async def open(self, call: InstanceCall) -> AsyncIterator[InstanceAnswer]:
        """Send a request; see the port."""
        self.calls.append(call)
        server = self.servers.get(call.instance.instance_id)
        if server is None or not server.is_reachable:
            await trio.sleep(max(0.001, server.connect_seconds if server else 0.0))
            raise InstanceCallError(
                ErrorCode.ENGINE_UNREACHABLE, "no connection", Execution.NOT_RUN, sent=False
            )
        if server.behaviour is Behaviour.NO_CONNECTION:
            await trio.sleep_forever()
        await trio.sleep(server.connect_seconds)
        if not call.may_send():
            raise withdrawn_call()
        call.proof.connected = True
        call.proof.sent = True
        self.on_sent(call)
        await trio.sleep(self.way_seconds(call))
        refusal = self.check_passing(call)
        if refusal is not None:
            call.proof.take_back()
            raise refusal
        if call.instance.address in self._blocked:
            await trio.sleep_forever()
        server.arrivals += 1
        server.arrived_at.append(trio.current_time())
        try:
            yield await self._begin(server, call)
        except trio.Cancelled:
            server.cancelled.append(call.request.request_id)
            raise

    async def _begin(self, server: EmulatedInstance, call: InstanceCall) -> InstanceAnswer:
        """Run a request up to the head of its response."""
        if server.requested_backoff_seconds:
            await trio.sleep(0.001)
            call.on_notice(server.notice())
            raise InstanceCallError(ErrorCode.OVERLOADED, "not run", Execution.NOT_RUN)
        await server.work(server.queue_seconds)
        rejecting = server.behaviour in (Behaviour.REJECT, Behaviour.REPLACED)
        if rejecting or not _meets_preconditions(server, call):
            await trio.sleep(0.001)
            replaced = server.behaviour is Behaviour.REPLACED
            stale = not server.busy and not replaced and server.behaviour is not Behaviour.REJECT
            raise InstanceCallError(
                ErrorCode.OVERLOADED,
                "not run",
                Execution.NOT_RUN,
                stale_version=stale,
                replaced=replaced,
            )
        if server.behaviour is Behaviour.UNRESPONSIVE:
            await trio.sleep_forever()
        model = call.request.prompt.model if call.request.prompt is not None else ""
        server.runs.append(
            Run(
                call.request.request_id,
                trio.current_time(),
                server.versions.get(model, 0),
                call.cache_salt,
                call.resume_after,
            )
        )
        if self._is_fatal(call.request):
            trio.lowlevel.spawn_system_task(self._crash_later, server)
            await server.work(float("inf"))
        await server.work(server.work_seconds)
        if server.behaviour is Behaviour.LOSE_ANSWER:
            raise broken_off()
        if server.behaviour is Behaviour.OTHER_ANSWER:
            raise InstanceCallError(ErrorCode.EXECUTION_UNKNOWN, "another's", Execution.UNKNOWN)
        call.on_notice(server.notice())
        status = SUCCESS_STATUS
        if server.behaviour is Behaviour.FAIL:
            status = FAILURE_STATUS
        if server.behaviour is Behaviour.PROMISE_WITHOUT_PROOF:
            status = 503
        return EmulatedAnswer(server, call, status)

    def restart(self, instance: Instance) -> EmulatedInstance:
        """Terminate an instance and start it again, without state, under the same id.

        Args:
            instance: The published entry of its new incarnation.
        """
        self.servers[instance.instance_id].end()
        return self.add(instance)

    def _is_fatal(self, request: ExchangeRequest) -> bool:
        """Return whether an instance crashes when it begins a request."""
        segments = request.prompt.segments if request.prompt is not None else ()
        fatal_parts = self.fatal_parts.intersection(segment.segment_id for segment in segments)
        return bool(fatal_parts) or request.body in self.fatal_bodies

    async def _crash_later(self, server: EmulatedInstance) -> None:
        """Crash an instance some time after it began a fatal request."""
        await trio.sleep(self.fatal_seconds)
        if server.ended_at is None:
            server.end()
            self.on_ended(server)

    async def probe_connection(self, instance: Instance) -> InstanceProbeResult:
        """Probe an instance; see the port."""
        await trio.sleep(CONNECT_SECONDS)
        server = self.servers.get(instance.instance_id)
        if server is not None and server.behaviour in UNREACHABLE_BUT_RUNNING:
            return InstanceProbeResult.NO_ANSWER
        reachable = server is not None and server.is_reachable
        return InstanceProbeResult.ANSWERS if reachable else InstanceProbeResult.ENDED

    async def probe_through(self, instance: Instance, gateway: Gateway) -> TunnelFailure | None:
        """Fail to connect through a gateway, as there are no other nodes; see the port."""
        await trio.sleep(CONNECT_SECONDS)
        return TunnelFailure.UNAVAILABLE

    def idle_addresses(self) -> set[str]:
        """Return no address, as emulated calls keep no connections; see the port."""
        return set()

    async def drop_idle(self, address: str) -> None:
        """Drop idle connections, which may be unresponsive; see the port."""
        await trio.lowlevel.checkpoint()
        self.dropped.append(address)
        self._blocked.discard(address)

    async def drop_unused_tunnels(self) -> None:
        """Close no tunnel, as emulated calls keep none; see the port."""
        await trio.lowlevel.checkpoint()

    async def forget(self, address: str) -> None:
        """Close the connections to an address; see the port."""
        await trio.lowlevel.checkpoint()


def _meets_preconditions(server: EmulatedInstance, call: InstanceCall) -> bool:
    """Return whether an instance meets a call's preconditions."""
    prompt = call.request.prompt
    if not call.expected_version or prompt is None:
        return not server.busy
    return not server.busy and server.versions.get(prompt.model) == call.expected_version
