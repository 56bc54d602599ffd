"""One simulated router process: the real services and header gate over simulated ports."""

from __future__ import annotations

import contextvars
import itertools
import random
from collections.abc import Awaitable, Callable
from typing import Any

import httpx
import trio
from prometheus_client import CollectorRegistry

from emulator.simulation.connection import Connection, ConnectionEnd
from emulator.simulation.gate import ProcessGate
from emulator.simulation.history import Applied, Call, Dispatch, RouterIncarnation
from emulator.simulation.ports import (
    Link,
    PeerHttpTransport,
    SimulatedEngines,
    SimulatedMachineList,
    SimulatedStore,
)
from emulator.simulation.world import World
from hopstep.adapters.http_api.bodies import CompletionBody
from hopstep.adapters.http_api.composition import make_api_context
from hopstep.adapters.http_api.errors import encode_error
from hopstep.adapters.http_api.gate import CALLER_KEY, HeaderGate
from hopstep.adapters.http_api.requests import resolve_request
from hopstep.adapters.pacing import Pacer
from hopstep.adapters.peer_codec import PeerCodec
from hopstep.adapters.peer_http import HttpPeerConfiguration, PeerHttpHandler
from hopstep.adapters.peer_keys import PeerKeys
from hopstep.domain.configuration.document import AcceptedConfiguration
from hopstep.domain.inference import InferenceRequest
from hopstep.exceptions import ServiceError
from hopstep.ports.engine import GenerateRequest, TokenFrame, Usage
from hopstep.services.router import RouterPorts, RouterServices
from hopstep.settings import RouterSettings

CONNECTION_KEY = "simulation.connection"
MILLISECONDS = 1_000

_sending: contextvars.ContextVar[int] = contextvars.ContextVar("sending", default=0)
"""Number of the sending on whose behalf the current task runs."""


class SimulatedRouter:
    """One incarnation of a router.

    Attributes:
        name: Name of the router.
        gate: Gate of its process.
        services: Its services.
        record: Its record in the history.
        ended: Set at the end of the process.
    """

    def __init__(
        self, world: World, settings: RouterSettings, number: int, peers: PeerDirectory
    ) -> None:
        """Compose the router; ``run`` starts it.

        Args:
            world: Engines, platform and network.
            settings: Settings of the router.
            number: Number of this incarnation, over all routers.
            peers: Finds the running routers.
        """
        self.name = settings.name
        self.settings = settings
        self.gate = ProcessGate()
        self.record = RouterIncarnation(settings.name, number, trio.current_time())
        self._world = world
        self._history = world.history
        self._history.incarnations.append(self.record)
        self.ended = trio.Event()
        self._scope = trio.CancelScope()
        self._nursery: trio.Nursery | None = None
        self._connections: set[Connection] = set()
        self._nonces = itertools.count(1)
        incarnation = int(world.wall_clock() * MILLISECONDS) + number
        link = Link(settings.address, world.links, self.gate)
        keys = PeerKeys.derived(settings.peers.cluster)
        codec = PeerCodec(
            settings.peers.cluster, settings.name, incarnation, keys, world.wall_clock
        )
        self._client = httpx.AsyncClient(transport=PeerHttpTransport(link, peers.answer))
        registry = CollectorRegistry()
        self.services = RouterServices(
            settings,
            self._make_ports(link, codec),
            incarnation=incarnation,
            registry=registry,
        )
        self.handler = PeerHttpHandler(codec, self.services.synchronization.transfer)
        self.services.holder.subscribe(self._note_applied)
        context = make_api_context(
            self.settings,
            self.services,
            incarnation=incarnation,
            registry=registry,
            pacer=Pacer(),
            spawn=self._spawn,
        )
        self._front = HeaderGate(self._handle, context)

    @property
    def running(self) -> bool:
        """Whether the process has neither stopped nor been killed."""
        return self.record.ended_at == float("inf")

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Run until killed or until a planned stop is complete."""
        with self._scope:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                await nursery.start(self.services.run)
                task_status.started()
                await self.services.wait_drained()
                await self.services.membership.stop()
                nursery.cancel_scope.cancel()
        self._end()

    def stop(self) -> None:
        """Request a planned stop."""
        self.record.planned_stop_at = min(self.record.planned_stop_at, trio.current_time())
        self.services.lifecycle.stop()

    def kill(self) -> None:
        """Kill the process at once, without flushing anything."""
        self.record.killed = self.running
        self.gate.kill()
        self._end()
        if self.gate.paused:
            self._world.network.resume(self.settings.address)
        self._world.network.disconnect(self.settings.address)
        self._scope.cancel()

    def pause(self) -> None:
        """Stop the process as by SIGSTOP."""
        self.gate.pause()
        self._world.network.pause(self.settings.address)
        for connection in self._connections:
            connection.delayed = True

    def resume(self) -> None:
        """Resume the process as by SIGCONT; a new incarnation isn't paused."""
        if not self.gate.paused:
            return
        self._world.network.resume(self.settings.address)
        self.gate.resume()

    def connect(self, connection: Connection) -> None:
        """Accept a caller's connection, or refuse it before the start and after the end."""
        if self._nursery is None or not self.running:
            connection.close(ConnectionEnd.REFUSED)
            return
        self._connections.add(connection)
        connection.delayed = self.gate.paused
        self._nursery.start_soon(self._serve, connection)

    async def _serve(self, connection: Connection) -> None:
        """Serve one request through the header gate."""
        _sending.set(connection.number)
        headers = [(b"authorization", b"Bearer " + connection.call.tenant.encode())]
        scope: dict[str, Any] = {"type": "http", "path": "/v1/completions", "headers": headers}
        try:
            with connection.scope:
                await self.gate.cross("caller.request")
                scope[CONNECTION_KEY] = connection
                await self._front(scope, trio.sleep_forever, connection.send_refusal)
            connection.close(ConnectionEnd.CLOSED)
        finally:
            self._connections.discard(connection)
            connection.close(ConnectionEnd.LOST)

    async def _handle(self, scope: Any, _receive: object, _send: object) -> None:
        """Handle an admitted request, in place of the web framework."""
        connection: Connection = scope[CONNECTION_KEY]
        try:
            request = self._resolve(scope[CALLER_KEY], connection.call)
            connection.request_id = request.request_id
            async with self.services.dispatcher.run(request) as answer:
                # The error is sent here, as leaving the block waits for cancels at engines.
                await self._send_answer(connection, answer)
        except ServiceError as error:
            await self._send_error(connection, error)

    async def _send_answer(self, connection: Connection, answer: Any) -> None:
        try:
            async for part in answer:
                await self.gate.cross("caller.part")
                await connection.send_part(part)
        except ServiceError as error:
            await self._send_error(connection, error)

    async def _send_error(self, connection: Connection, error: ServiceError) -> None:
        await self.gate.cross("caller.error")
        await connection.send_error(encode_error(error))

    @staticmethod
    def _resolve(caller: Any, call: Call) -> InferenceRequest:
        body = CompletionBody(model="m", prompt=call.prompt, max_tokens=call.max_tokens)
        return resolve_request(
            caller, body, call.prompt, "prompt", call.request_class, call.idempotency_key
        )

    def _make_ports(self, link: Link, codec: PeerCodec) -> RouterPorts:
        """Return the ports of this process."""
        world = self._world
        return RouterPorts(
            engines=SimulatedEngines(
                world.engines, link, self._decide, self._note_dispatch, self._note_first_frame
            ),
            store=SimulatedStore(world.store, link),
            machine_list=SimulatedMachineList(world.machine_list, link, world.flapping),
            peer_transport=world.network.connect(self.settings.address, codec),
            peer_configuration=HttpPeerConfiguration(self._client, codec, self._peer_url),
            generator=random.Random(world.generator.getrandbits(64)),
            wall_clock=world.wall_clock,
            make_nonce=lambda: f"{self.name}.{self.record.number}.{next(self._nonces)}",
        )

    def _spawn(self, task: Callable[[], Awaitable[None]]) -> None:
        assert self._nursery is not None  # noqa: S101 - nothing is served before
        self._nursery.start_soon(task)

    def _peer_url(self, name: str) -> str | None:
        address = self.services.peer_address(name)
        return f"http://{address}" if address else None

    def _note_applied(self, accepted: AcceptedConfiguration) -> None:
        applied = Applied(trio.current_time(), self.name, self.record.number, accepted.revision)
        self._history.applied.append(applied)

    def _decide(self, address: str, request: GenerateRequest) -> Dispatch:
        """Return the record of an attempt at the time of its decision."""
        return Dispatch(
            at=trio.current_time(),
            router=self.name,
            incarnation_number=self.record.number,
            revision=self.services.holder.revision,
            address=address,
            request=request,
            sending=_sending.get(),
        )

    def _note_dispatch(self, dispatch: Dispatch) -> None:
        self._history.dispatches.append(dispatch)

    def _note_first_frame(self, frame: TokenFrame) -> None:
        for dispatch in reversed(self._history.dispatches):
            if dispatch.request.nonce == frame.nonce and not dispatch.answered_by:
                dispatch.answered_by = frame.incarnation
                usage = frame.usage or Usage(0)
                dispatch.cached_tokens = usage.cached_tokens
                dispatch.imported_tokens = usage.imported_tokens
                return

    def _end(self) -> None:
        """Record the end and break every open connection."""
        if not self.running:
            return
        self.record.ended_at = trio.current_time()
        self.ended.set()
        for connection in list(self._connections):
            connection.close(ConnectionEnd.LOST)
        self._connections.clear()


class PeerDirectory:
    """Running routers by address."""

    def __init__(self) -> None:
        """Start without routers."""
        self.by_address: dict[str, SimulatedRouter] = {}

    async def answer(self, address: str, name: str, body: bytes) -> bytes:
        """Handle a peer's call at the router at ``address``."""
        router = self.by_address.get(address)
        if router is None or not router.running:
            raise httpx.ConnectError("the connection was refused")
        await router.gate.cross("peer.handle")
        return await router.handler.handle(name, body)
