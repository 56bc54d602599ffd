"""In-process instances on trio's clock: they run requests, load weights and fail on demand.

Each instance records its runs, so that tests can check invariants.
"""

from __future__ import annotations

import contextlib
import enum
from collections.abc import AsyncIterator, Callable

import msgspec
import trio
import trio.lowlevel

from hopstep.domain.exchanges.instances import Instance
from hopstep.domain.exchanges.request import ExchangeRequest, Headers
from hopstep.domain.exchanges.serving import RequestKind
from hopstep.domain.instance_notices import (
    InstanceNotice,
    LimitNotice,
    NoticeListener,
    ignore_notice,
)
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
from hopstep.ports.weights_orders import EngineReport, OrderOutcome, WeightsOrder, WeightsOrders

FATAL_SECONDS = 0.1
"""Time from the start of a fatal request to the instance's crash, as seen at users' engines."""

CONNECT_SECONDS = 0.003
"""Time to open a connection within a region."""

FAILURE_STATUS = 500
SUCCESS_STATUS = 200


class Behaviour(enum.StrEnum):
    """Behaviour of an instance towards requests."""

    SERVE = "serve"
    FAIL = "fail"
    REJECT = "reject"
    REPLACED = "replaced"
    UNREACHABLE = "unreachable"
    NO_CONNECTION = "no_connection"
    UNRESPONSIVE = "unresponsive"
    LOSE_ANSWER = "lose_answer"
    BREAK_STREAM = "break_stream"
    CUT_EVENT = "cut_event"
    SKIP_EVENT = "skip_event"
    OTHER_ANSWER = "other_answer"
    PROMISE_WITHOUT_PROOF = "promise_without_proof"
    UNSIGNED = "unsigned"
    END_UNWRITTEN = "end_unwritten"


BREAKING = frozenset({Behaviour.BREAK_STREAM, Behaviour.CUT_EVENT, Behaviour.SKIP_EVENT})
"""Behaviours that end a stream before its last event."""


UNREACHABLE_BUT_RUNNING = frozenset({Behaviour.NO_CONNECTION})
"""Behaviours of an instance that can't be reached but may be running."""


class Run(msgspec.Struct, frozen=True):
    """One request that an instance began to run.

    Attributes:
        request_id: Id of the request.
        at: Start time on the monotonic clock, in seconds.
        version: Weights version at the instance.
        salt: Cache salt that separates the segments of tenants.
        resume_after: Id of the last event that the client has received.
    """

    request_id: str
    at: float
    version: int
    salt: str
    resume_after: str


class SentEvent(msgspec.Struct, frozen=True):
    """One complete event of a stream that an instance has sent.

    Attributes:
        request_id: Id of the request.
        number: Number of the event.
        software_version: Version of the instance's software.
    """

    request_id: str
    number: int
    software_version: str


class EmulatedInstance:
    """One instance."""

    def __init__(self, instance: Instance) -> None:
        """Start without faults.

        Args:
            instance: The instance's published entry.
        """
        self.instance = instance
        self.behaviour = Behaviour.SERVE
        self.work_seconds = 0.05
        self.events = 5
        self.event_seconds = 0.02
        self.events_before_break = 2
        self.load_seconds = 0.6
        self.lost_order_answers = 0
        self.order_delay_seconds = 0.0
        self.runs: list[Run] = []
        self.sent_events: list[SentEvent] = []
        self.arrivals = 0
        self.cancelled: list[str] = []
        self.versions = dict(instance.versions)
        self.order_sequence = instance.order_sequence
        self.highest_fence = 0
        self.orders: list[tuple[float, WeightsOrder]] = []
        self.received_orders: list[tuple[float, WeightsOrder]] = []
        self.busy = False
        self.reported_born_ms = instance.born_ms
        self.connect_seconds = 0.0
        self.announces_leaving = False
        self.requested_backoff_seconds = 0.0
        self.announced_limit: float | None = None
        self.arrived_at: list[float] = []
        self.ended_at: float | None = None
        self._ended = trio.Event()

    def end(self) -> None:
        """Terminate at once: responses in progress break off, connections are refused."""
        if self.ended_at is None:
            self.ended_at = trio.current_time()
            self._ended.set()

    @property
    def is_reachable(self) -> bool:
        """Whether it accepts connections."""
        return self.ended_at is None and self.behaviour is not Behaviour.UNREACHABLE

    def notice(self) -> InstanceNotice:
        """Return the notice in its response headers.

        ``requested_backoff_seconds`` is the backoff that refusals ask for, ``announced_limit`` the
        requests per second that the instance accepts from all nodes together.
        """
        return InstanceNotice(
            self.announces_leaving,
            self.requested_backoff_seconds,
            LimitNotice(self.announced_limit),
        )

    async def work(self, seconds: float) -> None:
        """Wait for the duration of a request's work.

        Raises:
            InstanceCallError: When the instance terminates before the end.
        """
        with trio.move_on_after(seconds):
            await self._ended.wait()
        if self.ended_at is not None:
            raise _broken_off()


class EmulatedAnswer(InstanceAnswer):
    """Response of an emulated instance."""

    def __init__(self, server: EmulatedInstance, call: InstanceCall, status: int) -> None:
        """Create the response to a call.

        Args:
            server: The instance.
            call: The call.
            status: HTTP status.
        """
        self.status = status
        self.headers: Headers = ((b"x-instance", server.instance.instance_id.encode()),)
        self.signed = server.behaviour is not Behaviour.UNSIGNED
        self.weights_version = max(server.versions.values(), default=0)
        self.ends_with_connection = server.behaviour is Behaviour.END_UNWRITTEN
        self._server = server
        self._call = call

    async def body(self) -> AsyncIterator[bytes]:
        """Yield the body; see the port."""
        if self._call.request.route.kind is not RequestKind.STREAM:
            await trio.lowlevel.checkpoint()
            if self.ends_with_connection:
                return
            yield b"answer of " + self._call.request.request_id.encode()
            return
        async for data in self._stream():
            yield data

    async def _stream(self) -> AsyncIterator[bytes]:
        """Yield the events of the stream, until its end or the configured break."""
        server = self._server
        behaviour = server.behaviour
        resumed = self._call.resume_after
        first = int(resumed) + 1 if resumed else 0
        for number in range(first, server.events):
            await server.work(server.event_seconds)
            if behaviour in BREAKING and number - first >= server.events_before_break:
                if behaviour is Behaviour.CUT_EVENT:
                    yield f"id: {number}\ndata: cut o".encode()
                if behaviour is Behaviour.SKIP_EVENT:
                    yield _event(number) + _event(number + 2)
                raise _broken_off()
            version = server.instance.software_version
            server.sent_events.append(SentEvent(self._call.request.request_id, number, version))
            yield _event(number)


class EmulatedInstances(InstanceCalls, WeightsOrders):
    """All instances of a simulated deployment.

    Attributes:
        servers: The instances by id, terminated ones included.
        on_changed: Called with the changed entry of an instance.
        on_ended: Called with an instance that a request has crashed.
        on_sent: Called with each call when its first byte is sent.
        fatal_bodies: Bodies of requests that crash each instance that begins to run them.
        fatal_seconds: Time from the start of such a request to the crash.
        calls: All calls.
        dropped: Addresses whose idle connections were dropped.
        all_servers: All processes, those that ended and were replaced under their id included.
    """

    def __init__(self) -> None:
        """Start without instances."""
        self.servers: dict[str, EmulatedInstance] = {}
        self.all_servers: list[EmulatedInstance] = []
        self.on_changed: Callable[[Instance], None] = lambda _entry: None
        self.on_ended: Callable[[EmulatedInstance], None] = lambda _server: None
        self.on_sent: Callable[[InstanceCall], None] = lambda _call: None
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
            raise _broken_off()
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

    async def order(
        self, instance: Instance, order: WeightsOrder, on_notice: NoticeListener = ignore_notice
    ) -> OrderOutcome:
        """Execute an order; see the port."""
        server = self.servers[instance.instance_id]
        await trio.sleep(0.001)
        server.arrived_at.append(trio.current_time())
        on_notice(server.notice())
        if server.order_delay_seconds:
            trio.lowlevel.spawn_system_task(self._execute_late, server, order)
            return OrderOutcome.UNKNOWN
        outcome = self._execute(server, order)
        if server.lost_order_answers > 0:
            server.lost_order_answers -= 1
            return OrderOutcome.UNKNOWN
        return outcome

    async def _execute_late(self, server: EmulatedInstance, order: WeightsOrder) -> None:
        """Execute an order later, at the incarnation that the instance then has."""
        await trio.sleep(server.order_delay_seconds)
        self._execute(self.servers[server.instance.instance_id], order)

    def _execute(self, server: EmulatedInstance, order: WeightsOrder) -> OrderOutcome:
        """Execute an order if its conditions hold."""
        server.received_orders.append((trio.current_time(), order))
        if order.fencing_token < server.highest_fence:
            return OrderOutcome.FENCED
        server.highest_fence = order.fencing_token
        if server.versions.get(order.weights.model) == order.weights.version:
            return OrderOutcome.ALREADY_LOADED
        if server.busy or order.expected_sequence != server.order_sequence:
            return OrderOutcome.BUSY_OR_SEQUENCE_CHANGED
        server.orders.append((trio.current_time(), order))
        server.order_sequence += 1
        server.busy = True
        trio.lowlevel.spawn_system_task(self._load, server, order)
        return OrderOutcome.UNDER_WAY

    async def _load(self, server: EmulatedInstance, order: WeightsOrder) -> None:
        """Load the weights of an order."""
        await trio.sleep(server.load_seconds)
        server.versions[order.weights.model] = order.weights.version
        server.busy = False
        self.on_changed(
            msgspec.structs.replace(
                server.instance,
                versions=dict(server.versions),
                order_sequence=server.order_sequence,
            )
        )

    async def report(
        self, instance: Instance, on_notice: NoticeListener = ignore_notice
    ) -> EngineReport | None:
        """Return an engine's report; see the port."""
        await trio.sleep(0.001)
        server = self.servers[instance.instance_id]
        server.arrived_at.append(trio.current_time())
        on_notice(server.notice())
        return EngineReport(
            server.busy, server.order_sequence, dict(server.versions), server.reported_born_ms
        )


def _meets_preconditions(server: EmulatedInstance, call: InstanceCall) -> bool:
    """Return whether an instance meets a call's preconditions."""
    prompt = call.request.prompt
    if not call.expected_version or prompt is None:
        return not server.busy
    return not server.busy and server.versions.get(prompt.model) == call.expected_version


def _event(number: int) -> bytes:
    """Return one event of a stream."""
    return f"id: {number}\ndata: piece {number}\n\n".encode()


def _broken_off() -> InstanceCallError:
    """Return the error of a response that broke off."""
    return InstanceCallError(ErrorCode.STREAM_INTERRUPTED, "broke off", Execution.UNKNOWN)
