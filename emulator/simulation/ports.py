"""Ports of one simulated router: each call crosses its gate and a link that may be cut."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncGenerator, AsyncIterator, Awaitable, Callable
from typing import Any, TypeVar

import httpx
import trio

from emulator.engine.in_process import InProcessEngines
from emulator.link_faults import LinkFaults
from emulator.platform.in_memory import InMemoryMachineList, InMemoryStore
from emulator.platform.machine_list import MachineListModel
from emulator.platform.shared_store import SharedStore
from emulator.simulation.gate import ProcessGate
from emulator.simulation.history import Dispatch
from hopstep.adapters import key_value_store_wire as wire
from hopstep.exceptions import EngineError, ErrorCode, Execution, StoreError
from hopstep.ports.engine import (
    AttemptStatus,
    CacheEventBatch,
    CancelOutcome,
    EngineFacts,
    EngineOrder,
    EnginePort,
    GenerateRequest,
    TokenFrame,
)
from hopstep.ports.machine_list import Machine

Result = TypeVar("Result")

PLATFORM_ADDRESS = "platform"
"""Address of the platform's services on links."""

CONNECT_TIMEOUT_SECONDS = 2.0
"""Time after which a call over a cut link fails."""

Decide = Callable[[str, GenerateRequest], Dispatch]
OnDispatch = Callable[[Dispatch], None]
OnFirstFrame = Callable[[TokenFrame], None]


class Link:
    """Links of one router to all other processes.

    Args:
        own: Address of the router.
        faults: Faults of all links.
        gate: Gate of the router's process.
    """

    def __init__(self, own: str, faults: LinkFaults, gate: ProcessGate) -> None:
        self._own = own
        self._faults = faults
        self.gate = gate

    def reaches(self, address: str) -> bool:
        """Return whether the link is intact in both directions."""
        there = self._faults.connected(self._own, address)
        return there and self._faults.connected(address, self._own)


class SimulatedEngines(EnginePort):
    """Connection of one router to the engines."""

    def __init__(
        self,
        engines: InProcessEngines,
        link: Link,
        decide: Decide,
        on_dispatch: OnDispatch,
        on_first_frame: OnFirstFrame,
    ) -> None:
        """Wrap the engines that all routers share.

        Args:
            engines: Shared engines.
            link: The router's links.
            decide: Returns the record of an attempt that is about to be sent.
            on_dispatch: Called with the record of every attempt that is sent.
            on_first_frame: Called with the first frame of every stream.
        """
        self._engines = engines
        self._link = link
        self._decide = decide
        self._on_dispatch = on_dispatch
        self._on_first_frame = on_first_frame

    @contextlib.asynccontextmanager
    async def generate(
        self, address: str, request: GenerateRequest
    ) -> AsyncIterator[AsyncIterator[TokenFrame]]:
        """See the port."""
        dispatch = self._decide(address, request)
        await self._link.gate.cross("engine.generate")
        await self._connect(address)
        self._on_dispatch(dispatch)
        stream = self._engines.generate(address, request)
        async with self._stream(address, "engine.generate", stream) as frames:
            yield frames

    @contextlib.asynccontextmanager
    async def resume(
        self, address: str, nonce: str, incarnation: str, next_sequence: int
    ) -> AsyncIterator[AsyncIterator[TokenFrame]]:
        """See the port."""
        await self._link.gate.cross("engine.resume")
        await self._connect(address)
        stream = self._engines.resume(address, nonce, incarnation, next_sequence)
        async with self._stream(address, "engine.resume", stream) as frames:
            yield frames

    async def cancel(self, address: str, nonce: str, incarnation: str) -> CancelOutcome:
        """See the port."""
        return await self._call(
            address, "engine.cancel", lambda: self._engines.cancel(address, nonce, incarnation)
        )

    async def fence_nonce(self, address: str, nonce: str, incarnation: str) -> AttemptStatus:
        """See the port."""
        return await self._call(
            address, "engine.fence", lambda: self._engines.fence_nonce(address, nonce, incarnation)
        )

    async def probe(self, address: str) -> EngineFacts:
        """See the port."""
        return await self._call(address, "engine.probe", lambda: self._engines.probe(address))

    async def cache_events(
        self, address: str, incarnation: str, after_sequence: int
    ) -> CacheEventBatch:
        """See the port."""
        return await self._call(
            address,
            "engine.cache_events",
            lambda: self._engines.cache_events(address, incarnation, after_sequence),
        )

    async def order(self, address: str, order: EngineOrder) -> EngineFacts:
        """See the port."""
        return await self._call(
            address, "engine.order", lambda: self._engines.order(address, order)
        )

    async def _call(
        self, address: str, point: str, call: Callable[[], Awaitable[Result]]
    ) -> Result:
        """Make a call without a stream."""
        await self._link.gate.cross(point)
        await self._connect(address)
        result = await call()
        await self._return(address, point)
        return result

    @contextlib.asynccontextmanager
    async def _stream(
        self,
        address: str,
        point: str,
        stream: contextlib.AbstractAsyncContextManager[AsyncIterator[TokenFrame]],
    ) -> AsyncIterator[AsyncIterator[TokenFrame]]:
        """Open a stream and pass its frames over the link."""
        async with stream as frames:
            await self._return(address, point)
            async with contextlib.aclosing(self._carry(address, frames)) as carried:
                yield carried

    async def _carry(
        self, address: str, frames: AsyncIterator[TokenFrame]
    ) -> AsyncGenerator[TokenFrame, None]:
        """Yield frames while the link is intact."""
        first = True
        async for frame in frames:
            await self._link.gate.cross("engine.frame")
            if not self._link.reaches(address):
                await trio.sleep(CONNECT_TIMEOUT_SECONDS)
                raise EngineError(
                    ErrorCode.STREAM_INTERRUPTED, "the link is cut", Execution.UNKNOWN
                )
            if first:
                self._on_first_frame(frame)
            first = False
            yield frame

    async def _connect(self, address: str) -> None:
        """Raise ``EngineError`` if the link is cut; nothing has been sent."""
        if not self._link.reaches(address):
            await trio.sleep(CONNECT_TIMEOUT_SECONDS)
            raise EngineError(ErrorCode.ENGINE_UNREACHABLE, "the link is cut", Execution.NOT_RUN)

    async def _return(self, address: str, point: str) -> None:
        """Pass an answer back; raise ``EngineError`` if the link is cut."""
        if not self._link.reaches(address):
            await trio.sleep(CONNECT_TIMEOUT_SECONDS)
            raise EngineError(ErrorCode.ENGINE_UNREACHABLE, "the link is cut", Execution.UNKNOWN)
        await self._link.gate.cross(f"{point}.answered")


class SimulatedStore(InMemoryStore):
    """Connection of one router to the key-value service."""

    def __init__(self, shared: SharedStore, link: Link) -> None:
        """Connect to the shared store."""
        super().__init__(shared)
        self._link = link

    async def _call(self, operation: wire.StoreOperation, extra_seconds: float = 0.0) -> Any:
        """Execute an operation across the gate and the link."""
        point = f"store.{type(operation).__name__}"
        await self._link.gate.cross(point)
        self.cut_off = not self._link.reaches(PLATFORM_ADDRESS)
        try:
            return await super()._call(operation, extra_seconds)
        finally:
            await self._link.gate.cross(f"{point}.answered")


class SimulatedMachineList(InMemoryMachineList):
    """Connection of one router to the machine list."""

    def __init__(self, model: MachineListModel, link: Link, flapping: set[str]) -> None:
        """Connect to the shared list.

        Args:
            model: Shared list.
            link: The router's links.
            flapping: Addresses that are missing from every second answer to this router.
        """
        super().__init__(model)
        self._link = link
        self._flapping = flapping
        self._answers = 0

    async def machines(self) -> list[Machine]:
        """See the port."""
        await self._link.gate.cross("machine_list")
        self.cut_off = not self._link.reaches(PLATFORM_ADDRESS)
        machines = await super().machines()
        if not self._link.reaches(PLATFORM_ADDRESS):
            raise StoreError(ErrorCode.STORE_UNAVAILABLE, "the answer was lost")
        self._answers += 1
        hidden = self._flapping if self._answers % 2 else set()
        return [machine for machine in machines if machine.address not in hidden]


PeerAnswer = Callable[[str, str, bytes], Awaitable[bytes]]
"""Takes the address of a router, the name of a call and its body; returns the answer."""


class PeerHttpTransport(httpx.AsyncBaseTransport):
    """Carries the HTTP calls of one router to others."""

    def __init__(self, link: Link, answer: PeerAnswer) -> None:
        """Create the transport.

        Args:
            link: The router's links.
            answer: Handles a call at the other router.
        """
        self._link = link
        self._answer = answer

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        """Send one call and return its response."""
        await self._link.gate.cross("peer.request")
        address = f"{request.url.host}:{request.url.port}"
        if not self._link.reaches(address):
            await trio.sleep(CONNECT_TIMEOUT_SECONDS)
            raise httpx.ConnectTimeout("the link is cut")
        name = request.url.path.rsplit("/", 1)[-1]
        body = await self._answer(address, name, await request.aread())
        await self._link.gate.cross("peer.answered")
        return httpx.Response(httpx.codes.OK, content=body)
