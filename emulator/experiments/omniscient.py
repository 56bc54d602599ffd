"""The omniscient strategy, an upper bound that sees the engines' actual state.

It knows all caches, loads and the KV cache store. It is greedy: it minimizes the expected time
to first token of the current request, without planning for later ones.
"""

from __future__ import annotations

import random

from emulator.experiments.strategies import Strategy, plain_choice
from emulator.experiments.traffic import TraceRequest
from emulator.experiments.world import World
from hopstep.domain.blocks import BLOCK_TOKENS
from hopstep.domain.configuration.document import BackEnd, Configuration
from hopstep.domain.configuration.index import ConfigurationIndex
from hopstep.domain.requests_in_force import choose_kv_cache_store
from hopstep.domain.routing.selection import Choice


class OmniscientStrategy(Strategy):
    """Greedy choice by the engines' actual state."""

    def __init__(
        self, world: World, configuration: Configuration, random_source: random.Random
    ) -> None:
        """Create the strategy of one router.

        Args:
            world: Simulated engines and KV cache store.
            configuration: Configuration with the routing policy's costs and speeds.
            random_source: Generator that breaks ties.
        """
        self._world = world
        self._index = ConfigurationIndex(configuration)
        self._random = random_source
        self._importable: dict[str, int] = {}

    def choose(
        self,
        item: TraceRequest,
        admissible: tuple[BackEnd, ...],
        excluded: frozenset[str],
        now: float,
    ) -> Choice | None:
        """Return the engine with the least expected time to first token."""
        usable = [
            back_end
            for back_end in admissible
            if back_end.name not in excluded and self._serves(back_end, item, now)
        ]
        if not usable:
            return None
        self._importable.clear()
        best = min(usable, key=lambda back_end: self._cost(back_end, item, now))
        store = choose_kv_cache_store(self._index, item.request, best)
        cached = self._world.engines[best.address].model.cached_blocks(item.prepared)
        return plain_choice(best, item, cached_tokens=cached * BLOCK_TOKENS, kv_cache_store=store)

    def _serves(self, back_end: BackEnd, item: TraceRequest, now: float) -> bool:
        """Return whether an engine has loaded the request's weights."""
        model = item.request.model
        facts = self._world.engines[back_end.address].model.facts(now)
        return facts.weights.get(model.name) == model.weights_version

    def _cost(self, back_end: BackEnd, item: TraceRequest, now: float) -> tuple[float, float]:
        """Return the weighted seconds until the first token, then a random tie-break."""
        policy = self._index.configuration.routing
        model = self._world.engines[back_end.address].model
        cached = model.cached_blocks(item.prepared) * BLOCK_TOKENS
        store = choose_kv_cache_store(self._index, item.request, back_end)
        if store not in self._importable:
            self._importable[store] = self._world.importable_blocks(store, item.prepared)
        imported = max(0, self._importable[store] * BLOCK_TOKENS - cached)
        computed = item.prepared.token_count - cached - imported
        load = model.load(now)
        wait = load.waiting_prefill_tokens / policy.prefill_tokens_per_second
        prefill_seconds = computed / policy.prefill_tokens_per_second
        if imported:
            prefill_seconds += imported / policy.import_tokens_per_second
        return (
            policy.recompute_weight * prefill_seconds + policy.wait_weight * wait,
            self._random.random(),
        )
