"""One run in virtual time: routers, each with its own strategy, and simulated engines."""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import partial

import msgspec

from emulator.engine.refusal import EngineRefusalError
from emulator.engine.scheduler import Notice, NoticeKind
from emulator.experiments.deployments import Deployment
from emulator.experiments.events import EventQueue
from emulator.experiments.measures import Outcome
from emulator.experiments.simulated_router import PendingRequest, SimulatedRouter
from emulator.experiments.strategies import Strategy
from emulator.experiments.traffic import TraceRequest
from emulator.experiments.world import SimulatedEngine, World
from hopstep.domain.blocks import BLOCK_TOKENS, cache_salt
from hopstep.domain.configuration.document import AcceptedConfiguration, BackEnd, BackEndKind
from hopstep.domain.placement import place_engines
from hopstep.domain.routing.selection import Choice
from hopstep.exceptions import ErrorCode
from hopstep.ports.engine import GenerateRequest

DRAIN_SECONDS = 60.0
"""Virtual time after the last request for running attempts to finish."""

MakeStrategy = Callable[[World, random.Random], Strategy]


class Simulation:
    """One run of a trace with one strategy."""

    def __init__(
        self,
        deployment: Deployment,
        trace: list[TraceRequest],
        make_strategy: MakeStrategy,
        seed: int,
        *,
        event_loss_ratio: float = 0.0,
        event_delay_seconds: float = 0.2,
    ) -> None:
        """Create the engines and the routers of a run.

        Args:
            deployment: The deployment.
            trace: Requests to send, in order of time.
            make_strategy: Returns a new strategy for one router.
            seed: Seed of the routers' choices and of lost events.
            event_loss_ratio: Fraction of cache events that are lost.
            event_delay_seconds: Time from a cache event to its publication.
        """
        self.deployment = deployment
        self.make_strategy = make_strategy
        self.seed = seed
        self.queue = EventQueue()
        self.accepted = AcceptedConfiguration(1, deployment.configuration)
        config = msgspec.structs.replace(
            deployment.engine,
            event_loss_ratio=event_loss_ratio,
            event_delay_seconds=event_delay_seconds,
        )
        self.world = World(deployment, config, self.queue, seed)
        self.world.on_notice = self._handle_notice
        self.outcomes: list[Outcome] = []
        self._trace = trace
        self._nonces = 0
        self._pending: dict[str, tuple[SimulatedRouter, PendingRequest]] = {}
        self._placements: dict[tuple[str, str, str], tuple[BackEnd, ...]] = {}
        routers = deployment.back_ends(BackEndKind.ROUTER)
        self.routers = [SimulatedRouter(i, item, self) for i, item in enumerate(routers)]

    def run(self) -> list[Outcome]:
        """Run the whole trace and return the outcome of each request."""
        for item in self._trace:
            self._schedule(item)
        end = self._trace[-1].sent_at if self._trace else 0.0
        self.queue.run(end + DRAIN_SECONDS)
        return self.outcomes

    def new_nonce(self) -> str:
        """Return the nonce of a new attempt."""
        self._nonces += 1
        return str(self._nonces)

    def submit(self, router: SimulatedRouter, pending: PendingRequest, choice: Choice) -> None:
        """Submit an attempt to its engine."""
        request = pending.item.request
        engine = self.world.engines[choice.back_end.address]
        message = GenerateRequest(
            nonce=pending.nonce,
            model=request.model.name,
            prompt="",
            max_tokens=request.max_tokens,
            priority=request.request_class.priority,
            cache_salt=cache_salt(request.tenant.name, request.model.weights_version),
            weights_version=request.model.weights_version,
            incarnation=choice.incarnation if choice.relies_on_cache else "",
            kv_cache_store=choice.kv_cache_store,
        )
        self._pending[pending.nonce] = (router, pending)
        try:
            engine.submit(message, pending.item.prepared)
        except EngineRefusalError as error:
            code = error.refusal.code
            self._fail(pending.nonce, engine, code)

    def fail_attempts(self, engine: SimulatedEngine) -> None:
        """Fail every attempt at an engine that has just crashed, with a lost connection."""
        address = engine.back_end.address
        nonces = [
            nonce
            for nonce, (_, pending) in self._pending.items()
            if pending.choice is not None
            and pending.choice.back_end.address == address
            and pending.nonce == nonce
        ]
        for nonce in nonces:
            self._fail(nonce, engine, None)

    def change_configuration(self, accepted: AcceptedConfiguration, seconds: float) -> None:
        """Put a configuration in force at the routers one by one, within ``seconds``."""
        self.accepted = accepted
        for index, router in enumerate(self.routers):
            delay = seconds * index / len(self.routers)
            self.queue.after(delay, partial(router.update_configuration, accepted))

    def _schedule(self, item: TraceRequest) -> None:
        """Schedule a request's arrival at its router."""
        request = item.request
        outcome = Outcome(
            request_class=request.request_class.name,
            tenant=request.tenant.name,
            sent_at=item.sent_at,
            target_seconds=item.target_seconds,
            prompt_tokens=item.prepared.token_count,
        )
        self.outcomes.append(outcome)
        arrival = item.sent_at + self.deployment.client_latency_seconds
        give_up_at = arrival + request.request_class.max_queue_seconds
        pending = PendingRequest(item, outcome, self._admissible(item), give_up_at)
        self.queue.at(arrival, lambda: self.routers[item.router].receive(pending))

    def _admissible(self, item: TraceRequest) -> tuple[BackEnd, ...]:
        """Return the engines where a request may be placed."""
        request = item.request
        key = (request.tenant.name, request.request_class.name, request.model.name)
        if key not in self._placements:
            self._placements[key] = place_engines(
                self.deployment.configuration, request.tenant, request.request_class, request.model
            ).admissible
        return self._placements[key]

    def _fail(self, nonce: str, engine: SimulatedEngine, code: ErrorCode | None) -> None:
        """Report a failed attempt to its router."""
        router, pending = self._pending.pop(nonce)
        self.queue.after(
            router.latency(engine.back_end),
            lambda: router.failed(pending, engine.back_end, code),
        )

    def _handle_notice(self, engine: SimulatedEngine, notice: Notice) -> None:
        """Handle an engine's notice about an attempt."""
        entry = self._pending.get(notice.attempt.nonce)
        if entry is None:
            return
        router, pending = entry
        latency = router.latency(engine.back_end)
        if notice.kind is NoticeKind.STARTED:
            self._measure_start(engine, notice, pending)
        elif notice.kind is NoticeKind.PREFILLED:
            incarnation = engine.model.incarnation
            cached = notice.attempt.cached_tokens
            self.queue.at(
                notice.time + latency, lambda: router.first_token(pending, incarnation, cached)
            )
        elif notice.kind is NoticeKind.FINISHED:
            del self._pending[notice.attempt.nonce]
            self.queue.at(notice.time + latency, lambda: router.finished(pending))

    def _measure_start(
        self, engine: SimulatedEngine, notice: Notice, pending: PendingRequest
    ) -> None:
        """Count the tokens that an attempt takes from caches, prefills and wastes."""
        attempt = notice.attempt
        outcome = pending.outcome
        outcome.cached_tokens = attempt.cached_tokens
        outcome.imported_tokens = attempt.imported_tokens
        reused_tokens = attempt.cached_tokens + attempt.imported_tokens
        outcome.prefilled_tokens += attempt.prompt.token_count - reused_tokens
        # The last token is always computed, so its block never counts as wasted.
        limit = (attempt.prompt.token_count - 1) // BLOCK_TOKENS * BLOCK_TOKENS
        # The engine's own copy is already counted, and now includes this attempt's blocks.
        others = [item for item in pending.admissible if item != engine.back_end]
        copy_tokens = self.world.best_copy_tokens(attempt.prompt, others)
        copy_tokens = max(copy_tokens, attempt.importable_blocks * BLOCK_TOKENS)
        outcome.wasted_tokens += max(0, min(copy_tokens, limit) - reused_tokens)
