"""Engines and the KV cache store of one simulated deployment."""

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
    """One engine model in virtual time; it wakes itself when something happens next."""

    def __init__(
        self, back_end: BackEnd, model: EngineModel, queue: EventQueue, world: World
    ) -> None:
        """Wrap a model.

        Args:
            back_end: Its place in the configuration.
            model: The pure engine model.
            queue: Virtual time.
            world: Takes its notices and blocks.
        """
        self.back_end = back_end
        self.model = model
        self._queue = queue
        self._world = world
        self._wake_at = float("inf")

    def submit(self, request: GenerateRequest, prompt: PreparedPrompt) -> Attempt:
        """Accept an attempt; raises ``EngineRefusalError``."""
        importable = self._world.importable_blocks(request.kv_cache_store, prompt)
        try:
            return self.model.submit(
                request, self._queue.now, prompt=prompt, importable_blocks=importable
            )
        finally:
            self.settle()

    def order(self, order: EngineOrder) -> EngineFacts:
        """Take a fenced order."""
        facts = self.model.order(order, self._queue.now)
        self.settle()
        return facts

    def settle(self) -> None:
        """Pass on what happened, and schedule the next wake-up."""
        for notice in self.model.advance(self._queue.now):
            self._world.on_notice(self, notice)
        for export in self.model.executions.take_exports():
            self._world.write_blocks(export.block_keys)
        next_time = self.model.next_event_time()
        if next_time < self._wake_at:
            self._wake_at = next_time
            self._queue.at(next_time, lambda: self._wake(next_time))

    def _wake(self, scheduled_for: float) -> None:
        """Carry the model forward; a wake-up that was replaced does nothing."""
        if scheduled_for != self._wake_at:
            return
        self._wake_at = float("inf")
        self.settle()


class World:
    """Everything behind the routers."""

    def __init__(
        self, deployment: Deployment, config: EngineConfig, queue: EventQueue, seed: int
    ) -> None:
        """Start empty engines.

        Args:
            deployment: Whose engines.
            config: Sizes and speeds of each engine.
            queue: Virtual time.
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
        """Return the leading blocks of a prompt that the store holds; 0 without a store."""
        if not store or not self.store_available:
            return 0
        return self._store.held_prefix(prompt.block_keys)

    def write_blocks(self, keys: tuple[int, ...]) -> None:
        """Keep exported blocks in the store."""
        if self.store_available:
            self._store.write(keys)

    def best_copy_tokens(self, prompt: PreparedPrompt, engines: list[BackEnd]) -> int:
        """Return the longest prefix of a prompt that is cached at one of some engines."""
        blocks = (self.engines[item.address].model.cached_blocks(prompt) for item in engines)
        return max(blocks, default=0) * BLOCK_TOKENS

    def _load_seconds(self, now: float) -> float:
        """Return the time of a weight load begun now: longer when many load at once."""
        loading = sum(1 for engine in self.engines.values() if engine.model.weights.busy)
        slowdown = max(1.0, loading / self._deployment.concurrent_fast_loads)
        return self._deployment.engine.weight_load_seconds * slowdown
