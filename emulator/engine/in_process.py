"""In-process engines behind the engine port, on trio's clock.

Tests and simulations use them with a virtual clock instead of engines over HTTP.
"""

from __future__ import annotations

import contextlib
from collections.abc import AsyncGenerator, AsyncIterator, Awaitable, Callable
from typing import TypeVar

import trio
import trio.lowlevel

from emulator.engine.attempts import Attempt, prepare_prompt
from emulator.engine.faults import EngineFaults, Frames, StreamCutError
from emulator.engine.host import AnswerLostError, EngineHost
from emulator.engine.model import EngineModel
from emulator.engine.refusal import EngineRefusalError
from emulator.kv_cache_store.model import KvCacheStoreModel
from hopstep.adapters.engine_messages import Refusal
from hopstep.exceptions import EngineError, ErrorCode, Execution
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

Result = TypeVar("Result")

DEFAULT_IDLE_TIMEOUT_SECONDS = 10.0
DEFAULT_LATENCY_SECONDS = 0.001
FATAL_SECONDS = 0.005
"""Time from the start of a fatal prompt to the engine's crash, before the first token."""


class InProcessEngines(EnginePort):
    """Several emulated engines by address, with a latency and faults.

    Attributes:
        fatal_prompts: Prompts that crash each engine that starts them; it restarts at once.
        crash_times: Times of crashes under such prompts, in seconds.
    """

    def __init__(
        self,
        *,
        latency_seconds: float = DEFAULT_LATENCY_SECONDS,
        idle_timeout_seconds: float = DEFAULT_IDLE_TIMEOUT_SECONDS,
    ) -> None:
        """Start without engines.

        Args:
            latency_seconds: One-way latency between caller and engine.
            idle_timeout_seconds: Time without a byte after which an engine counts as frozen.
        """
        self._latency_seconds = latency_seconds
        self._idle_timeout_seconds = idle_timeout_seconds
        self._hosts: dict[str, EngineHost] = {}
        self._kv_cache_stores: dict[str, KvCacheStoreModel] = {}
        self._down: set[str] = set()
        self.fatal_prompts: set[str] = set()
        self.crash_times: list[float] = []

    def add_engine(self, address: str, model: EngineModel) -> None:
        """Serve an engine at ``address``."""
        self._hosts[address] = EngineHost(model)

    def add_kv_cache_store(self, address: str, model: KvCacheStoreModel) -> None:
        """Serve a KV cache store at ``address``."""
        self._kv_cache_stores[address] = model

    def model(self, address: str) -> EngineModel:
        """Return the model of the engine at ``address``."""
        return self._hosts[address].model

    def set_faults(self, address: str, faults: EngineFaults) -> None:
        """Induce faults at one engine, in place of all its earlier ones."""
        self._hosts[address].set_faults(faults)

    def set_down(self, address: str, down: bool) -> None:
        """Refuse connections to an engine, or accept them again."""
        if down:
            self._down.add(address)
        else:
            self._down.discard(address)

    @contextlib.asynccontextmanager
    async def generate(
        self, address: str, request: GenerateRequest
    ) -> AsyncIterator[AsyncIterator[TokenFrame]]:
        """See the port."""
        host = self._connect(address)
        importable = self._importable_blocks(request)
        attempt = await self._exchange(lambda: host.generate(request, importable))
        if request.prompt in self.fatal_prompts:
            trio.lowlevel.spawn_system_task(self._crash_later, host)
        frames = self._read(host, attempt, attempt.first_sequence)
        async with contextlib.aclosing(frames):
            yield frames

    @contextlib.asynccontextmanager
    async def resume(
        self, address: str, nonce: str, incarnation: str, next_sequence: int
    ) -> AsyncIterator[AsyncIterator[TokenFrame]]:
        """See the port."""
        host = self._connect(address)
        attempt = await self._call(
            host, lambda now: host.model.resume(nonce, incarnation, next_sequence, now)
        )
        frames = self._read(host, attempt, next_sequence)
        async with contextlib.aclosing(frames):
            yield frames

    async def cancel(self, address: str, nonce: str, incarnation: str) -> CancelOutcome:
        """See the port."""
        host = self._connect(address)
        return await self._call(host, lambda now: host.model.cancel(nonce, incarnation, now))

    async def fence_nonce(self, address: str, nonce: str, incarnation: str) -> AttemptStatus:
        """See the port."""
        host = self._connect(address)
        return await self._call(host, lambda now: host.model.fence_nonce(nonce, incarnation, now))

    async def probe(self, address: str) -> EngineFacts:
        """See the port."""
        host = self._connect(address)
        return await self._call(host, host.model.facts)

    async def cache_events(
        self, address: str, incarnation: str, after_sequence: int
    ) -> CacheEventBatch:
        """See the port."""
        host = self._connect(address)
        return await self._call(
            host, lambda now: host.model.cache_events(incarnation, after_sequence, now)
        )

    async def order(self, address: str, order: EngineOrder) -> EngineFacts:
        """See the port."""
        host = self._connect(address)
        return await self._call(host, lambda now: host.model.order(order, now))

    async def _crash_later(self, host: EngineHost) -> None:
        """Crash an engine some time after it started a fatal prompt."""
        await trio.sleep(FATAL_SECONDS)
        self.crash_times.append(trio.current_time())
        host.set_faults(EngineFaults(crash=True))

    def _connect(self, address: str) -> EngineHost:
        """Return the engine at an address; raise ``EngineError`` if connections are refused."""
        host = self._hosts.get(address)
        if host is None or address in self._down:
            raise EngineError(
                ErrorCode.ENGINE_UNREACHABLE, "the connection was refused", Execution.NOT_RUN
            )
        return host

    async def _call(self, host: EngineHost, action: Callable[[float], Result]) -> Result:
        """Run a call on a model over the simulated network."""
        return await self._exchange(lambda: host.call(action))

    async def _exchange(self, send: Callable[[], Awaitable[Result]]) -> Result:
        """Send a request and return its answer; errors are translated to those of the port."""
        await trio.sleep(self._latency_seconds)
        try:
            with trio.fail_after(self._idle_timeout_seconds):
                result = await send()
        except EngineRefusalError as error:
            raise _refusal_error(error.refusal) from error
        except (AnswerLostError, trio.TooSlowError) as error:
            raise EngineError(
                ErrorCode.ENGINE_UNREACHABLE, "no answer came", Execution.UNKNOWN
            ) from error
        await trio.sleep(self._latency_seconds)
        return result

    async def _read(
        self, host: EngineHost, attempt: Attempt, next_sequence: int
    ) -> AsyncGenerator[TokenFrame, None]:
        """Yield the frames of an attempt; errors are translated to those of the port."""
        finished = False
        async with contextlib.aclosing(host.frames(attempt, next_sequence)) as frames:
            while True:
                try:
                    frame = await self._next_frame(frames)
                except StopAsyncIteration:
                    break
                self._write_exports(host)
                if frame is None:
                    continue
                yield frame
                finished |= frame.finish_reason is not None and frame.nonce == attempt.nonce
        if not finished:
            raise _cut_off_error()

    async def _next_frame(self, frames: Frames) -> TokenFrame | None:
        """Return the next frame or keep-alive."""
        try:
            with trio.fail_after(self._idle_timeout_seconds):
                return await anext(frames)
        except EngineRefusalError as error:
            raise _refusal_error(error.refusal) from error
        except (StreamCutError, trio.TooSlowError) as error:
            raise _cut_off_error() from error

    def _importable_blocks(self, request: GenerateRequest) -> int:
        """Return how many leading blocks the request's KV cache store holds."""
        store = self._kv_cache_stores.get(request.kv_cache_store)
        if store is None:
            return 0
        return store.held_prefix(prepare_prompt(request).block_keys)

    def _write_exports(self, host: EngineHost) -> None:
        """Write computed blocks to their KV cache stores."""
        for export in host.model.executions.take_exports():
            store = self._kv_cache_stores.get(export.store)
            if store is not None:
                store.write(export.block_keys)


def _refusal_error(refusal: Refusal) -> EngineError:
    """Return the port's error for a refusal."""
    return EngineError(
        refusal.code, refusal.message, refusal.execution, refusal.retry_after_seconds
    )


def _cut_off_error() -> EngineError:
    """Return the port's error for a stream that ends without its last frame."""
    return EngineError(ErrorCode.STREAM_INTERRUPTED, "the stream was cut off", Execution.UNKNOWN)
