"""One run: routers with their own strategies before simulated engines, in virtual time."""

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
from emulator.experiments.simulated_router import Journey, SimulatedRouter
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
"""Virtual time that running answers get after the last request."""

MakeStrategy = Callable[[World, random.Random], Strategy]


class Simulation:
    """One run of a trace under one strategy."""

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
        """Prepare a run.

        Args:
            deployment: The deployment.
            trace: Its traffic.
            make_strategy: Makes the strategy of one router.
            seed: Seed of routers and lost events.
            event_loss_ratio: Share of cache events that are lost.
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
        self.world.on_notice = self._take_notice
        self.outcomes: list[Outcome] = []
        self._trace = trace
        self._nonces = 0
        self._journeys: dict[str, tuple[SimulatedRouter, Journey]] = {}
        self._placements: dict[tuple[str, str, str], tuple[BackEnd, ...]] = {}
        routers = deployment.back_ends(BackEndKind.ROUTER)
        self.routers = [SimulatedRouter(i, item, self) for i, item in enumerate(routers)]

    def run(self) -> list[Outcome]:
        """Run the whole trace and return what became of each request."""
        for item in self._trace:
            self._schedule(item)
        end = self._trace[-1].sent_at if self._trace else 0.0
        self.queue.run(end + DRAIN_SECONDS)
        return self.outcomes

    def new_nonce(self) -> str:
        """Return the name of a new attempt."""
        self._nonces += 1
        return str(self._nonces)

    def submit(self, router: SimulatedRouter, journey: Journey, choice: Choice) -> None:
        """Let an attempt arrive at its engine."""
        request = journey.item.request
        engine = self.world.engines[choice.back_end.address]
        message = GenerateRequest(
            nonce=journey.nonce,
            model=request.model.name,
            prompt="",
            max_tokens=request.max_tokens,
            priority=request.request_class.priority,
            cache_salt=cache_salt(request.tenant.name, request.model.weights_version),
            weights_version=request.model.weights_version,
            incarnation=choice.incarnation if choice.relies_on_cache else "",
            kv_cache_store=choice.kv_cache_store,
        )
        self._journeys[journey.nonce] = (router, journey)
        try:
            engine.submit(message, journey.item.prepared)
        except EngineRefusalError as error:
            code = error.refusal.code
            self._fail(journey.nonce, engine, code)

    def lose_attempts(self, engine: SimulatedEngine) -> None:
        """Break the connections of every attempt at an engine that has just crashed."""
        address = engine.back_end.address
        lost = [
            nonce
            for nonce, (_, journey) in self._journeys.items()
            if journey.choice is not None
            and journey.choice.back_end.address == address
            and journey.nonce == nonce
        ]
        for nonce in lost:
            self._fail(nonce, engine, None)

    def change_configuration(self, accepted: AcceptedConfiguration, seconds: float) -> None:
        """Put a configuration in force at each router, within some seconds."""
        self.accepted = accepted
        for index, router in enumerate(self.routers):
            delay = seconds * index / len(self.routers)
            self.queue.after(delay, partial(router.update_configuration, accepted))

    def _schedule(self, item: TraceRequest) -> None:
        """Let a request arrive at its router."""
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
        journey = Journey(item, outcome, self._admissible(item), give_up_at)
        self.queue.at(arrival, lambda: self.routers[item.router].receive(journey))

    def _admissible(self, item: TraceRequest) -> tuple[BackEnd, ...]:
        """Return the engines that placement allows."""
        request = item.request
        key = (request.tenant.name, request.request_class.name, request.model.name)
        if key not in self._placements:
            self._placements[key] = place_engines(
                self.deployment.configuration, request.tenant, request.request_class, request.model
            ).admissible
        return self._placements[key]

    def _fail(self, nonce: str, engine: SimulatedEngine, code: ErrorCode | None) -> None:
        """Tell a router that its attempt failed."""
        router, journey = self._journeys.pop(nonce)
        self.queue.after(
            router.latency(engine.back_end),
            lambda: router.failed(journey, engine.back_end, code),
        )

    def _take_notice(self, engine: SimulatedEngine, notice: Notice) -> None:
        """Follow what an engine says of an attempt."""
        entry = self._journeys.get(notice.attempt.nonce)
        if entry is None:
            return
        router, journey = entry
        latency = router.latency(engine.back_end)
        if notice.kind is NoticeKind.STARTED:
            self._measure_start(engine, notice, journey)
        elif notice.kind is NoticeKind.PREFILLED:
            incarnation = engine.model.incarnation
            cached = notice.attempt.cached_tokens
            self.queue.at(
                notice.time + latency, lambda: router.first_token(journey, incarnation, cached)
            )
        elif notice.kind is NoticeKind.FINISHED:
            del self._journeys[notice.attempt.nonce]
            self.queue.at(notice.time + latency, lambda: router.finished(journey))

    def _measure_start(self, engine: SimulatedEngine, notice: Notice, journey: Journey) -> None:
        """Count what an attempt takes from caches, and what it computes in vain."""
        attempt = notice.attempt
        outcome = journey.outcome
        outcome.cached_tokens = attempt.cached_tokens
        outcome.imported_tokens = attempt.imported_tokens
        taken = attempt.cached_tokens + attempt.imported_tokens
        outcome.prefilled_tokens += attempt.prompt.token_count - taken
        # The last token is always computed, so a copy of it is no copy to take.
        limit = (attempt.prompt.token_count - 1) // BLOCK_TOKENS * BLOCK_TOKENS
        # The engine's own copy counts as taken; by now it holds this attempt's blocks too.
        others = [item for item in journey.admissible if item != engine.back_end]
        best = self.world.best_copy_tokens(attempt.prompt, others)
        best = max(best, attempt.importable_blocks * BLOCK_TOKENS)
        outcome.wasted_tokens += max(0, min(best, limit) - taken)
