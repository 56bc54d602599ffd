"""Simulated engines and KV cache store of one deployment."""

from __future__ import annotations

from collections.abc import Callable

from emulator.engine.attempts import Attempt, PreparedPrompt
from emulator.engine.config import EngineConfig
from emulator.engine.model import EngineModel
from emulator.engine.scheduler import Notice
from emulator.experiments.deployments import Deployment
from emulator.experiments.events import EventQueue
from emulator.kv_cache_store.model import KvCacheStoreModel
from hopstep.domain.blocks import BLOCK_TOKENS
from hopstep.domain.configuration.document import BackEnd, BackEndKind
from hopstep.domain.engines import EngineFacts
from hopstep.ports.engine import EngineOrder, GenerateRequest

OnNotice = Callable[["SimulatedEngine", Notice], None]


class SimulatedEngine:
    """One engine model in virtual time; it schedules its own wake-ups for the model's events."""

    def __init__(
        self, back_end: BackEnd, model: EngineModel, queue: EventQueue, world: World
    ) -> None:
        """Wrap an engine model.

        Args:
            back_end: The engine's entry in the configuration.
            model: The engine model.
            queue: Event queue of the run.
            world: Receives the engine's notices and exported blocks.
        """
        self.back_end = back_end
        self.model = model
        self._queue = queue
        self._world = world
        self._wake_at = float("inf")

    def submit(self, request: GenerateRequest, prompt: PreparedPrompt) -> Attempt:
        """Submit an attempt; raises ``EngineRefusalError`` when the engine refuses it."""
        importable = self._world.importable_blocks(request.kv_cache_store, prompt)
        try:
            return self.model.submit(
                request, self._queue.now, prompt=prompt, importable_blocks=importable
            )
        finally:
            self.synchronize()

    def order(self, order: EngineOrder) -> EngineFacts:
        """Apply a fenced order and return the engine's facts."""
        facts = self.model.order(order, self._queue.now)
        self.synchronize()
        return facts

    def synchronize(self) -> None:
        """Advance the model to now, forward notices and exports, and schedule the next wake-up."""
        for notice in self.model.advance(self._queue.now):
            self._world.on_notice(self, notice)
        for export in self.model.executions.take_exports():
            self._world.write_blocks(export.block_keys)
        next_time = self.model.next_event_time()
        if next_time < self._wake_at:
            self._wake_at = next_time
            self._queue.at(next_time, lambda: self._wake(next_time))

    def _wake(self, scheduled_for: float) -> None:
        """Advance the model; a wake-up that has been replaced is ignored."""
        if scheduled_for != self._wake_at:
            return
        self._wake_at = float("inf")
        self.synchronize()


class World:
    """All engines and the KV cache store behind the routers."""

    def __init__(
        self, deployment: Deployment, config: EngineConfig, queue: EventQueue, seed: int
    ) -> None:
        """Create engines with empty caches, and an empty store.

        Args:
            deployment: Deployment whose engines are simulated.
            config: Sizes and speeds of each engine.
            queue: Event queue of the run.
            seed: Seed of lost cache events.
        """
        self._deployment = deployment
        self._queue = queue
        self.on_notice: OnNotice = lambda _engine, _notice: None
        self.store_available = True
        self._store = KvCacheStoreModel(deployment.kv_cache_store_blocks)
        self.engines: dict[str, SimulatedEngine] = {}
        for index, back_end in enumerate(deployment.back_ends(BackEndKind.ENGINE)):
            weights = {name: deployment.weights()[name] for name in back_end.models}
            model = EngineModel(
                config,
                weights,
                name=back_end.name,
                seed=seed * 1_000 + index,
                load_time=self._load_seconds,
            )
            self.engines[back_end.address] = SimulatedEngine(back_end, model, queue, self)

    def importable_blocks(self, store: str, prompt: PreparedPrompt) -> int:
        """Return how many leading blocks of a prompt the store holds; 0 without a store."""
        if not store or not self.store_available:
            return 0
        return self._store.held_prefix(prompt.block_keys)

    def write_blocks(self, keys: tuple[int, ...]) -> None:
        """Write exported blocks to the store; an unavailable store drops them."""
        if self.store_available:
            self._store.write(keys)

    def best_copy_tokens(self, prompt: PreparedPrompt, engines: list[BackEnd]) -> int:
        """Return the tokens of the longest prefix of a prompt cached at one of ``engines``."""
        blocks = (self.engines[item.address].model.cached_blocks(prompt) for item in engines)
        return max(blocks, default=0) * BLOCK_TOKENS

    def _load_seconds(self, now: float) -> float:
        """Return the duration of a weight load begun now; concurrent loads slow each other down."""
        loading = sum(1 for engine in self.engines.values() if engine.model.weights.busy)
        slowdown = max(1.0, loading / self._deployment.concurrent_fast_loads)
        return self._deployment.engine.weight_load_seconds * slowdown
