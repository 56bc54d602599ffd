"""One simulated router: probes, choices, attempts, retries."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import msgspec

from emulator.experiments.measures import Outcome
from emulator.experiments.traffic import TraceRequest
from hopstep.domain.configuration.document import AcceptedConfiguration, BackEnd
from hopstep.domain.routing.selection import Choice
from hopstep.exceptions import ErrorCode

if TYPE_CHECKING:
    from emulator.experiments.simulation import Simulation

LOCAL_LATENCY_SECONDS = 0.000_1
"""One-way latency within a zone."""

PROBE_SECONDS = 0.5
"""Time between two probes of an engine by one router."""

WAIT_FOR_ENGINE_SECONDS = 0.1
"""Time after which a request that no engine can take looks again."""

MAX_ATTEMPTS = 4
"""Attempts for one request."""


class Journey(msgspec.Struct):
    """One request on its way.

    Attributes:
        item: The request of the trace.
        outcome: What becomes of it.
        admissible: Engines that placement allows.
        excluded: Names of engines already tried.
        give_up_at: When waiting for a usable engine ends.
        nonce: Present attempt.
        choice: Its engine.
    """

    item: TraceRequest
    outcome: Outcome
    admissible: tuple[BackEnd, ...]
    give_up_at: float
    excluded: frozenset[str] = frozenset()
    nonce: str = ""
    choice: Choice | None = None


class SimulatedRouter:
    """One router: probes, choices, attempts, retries."""

    def __init__(self, index: int, back_end: BackEnd, simulation: Simulation) -> None:
        """Start with a fresh strategy.

        Args:
            index: Number of the router.
            back_end: Its place in the configuration.
            simulation: The run.
        """
        self._simulation = simulation
        self._back_end = back_end
        self._index = index
        self._restarts = 0
        self.restart()

    def restart(self) -> None:
        """Lose everything learned, and probe every engine at once."""
        self._restarts += 1
        simulation = self._simulation
        source = random.Random(f"{simulation.seed}/{self._index}/{self._restarts}")
        self.strategy = simulation.make_strategy(simulation.world, source)
        self.strategy.update_configuration(simulation.accepted)
        self._cursors: dict[str, tuple[str, int]] = {}
        for address in simulation.world.engines:
            self._schedule_probe(address, self._restarts, source.uniform(0.0, PROBE_SECONDS))

    def update_configuration(self, accepted: AcceptedConfiguration) -> None:
        """Put a configuration in force."""
        self.strategy.update_configuration(accepted)

    def receive(self, journey: Journey) -> None:
        """Take a request from a client, or try again for one."""
        simulation = self._simulation
        now = simulation.queue.now
        item = journey.item
        choice = self.strategy.choose(item, journey.admissible, journey.excluded, now)
        if choice is None:
            if now < journey.give_up_at:
                journey.excluded = frozenset()
                simulation.queue.after(WAIT_FOR_ENGINE_SECONDS, lambda: self.receive(journey))
            else:
                self._refuse(journey)
            return
        if choice.expected_wait_seconds > item.request.request_class.max_queue_seconds:
            self._refuse(journey)
            return
        self._dispatch(journey, choice)

    def first_token(self, journey: Journey, incarnation: str, cached_tokens: int) -> None:
        """Pass the first token of an attempt on."""
        now = self._simulation.queue.now
        self.strategy.record_first_token(journey.nonce, incarnation, cached_tokens, now)
        if journey.outcome.first_token_at == float("inf"):
            journey.outcome.first_token_at = now + self._client_latency

    def finished(self, journey: Journey) -> None:
        """Pass the last token of an answer on."""
        now = self._simulation.queue.now
        self.strategy.record_end(journey.nonce, now)
        journey.outcome.finished_at = now + self._client_latency

    def failed(self, journey: Journey, engine: BackEnd, code: ErrorCode | None) -> None:
        """Try again elsewhere after a refusal (``code``) or a broken connection (None)."""
        now = self._simulation.queue.now
        self.strategy.record_end(journey.nonce, now)
        if code is not ErrorCode.OVERLOADED:
            self.strategy.record_failure(engine.address, now)
        journey.excluded |= {engine.name}
        may_repeat = code is not None or journey.item.request.request_class.repeatable
        if may_repeat and journey.outcome.attempts < MAX_ATTEMPTS:
            self.receive(journey)
        else:
            self._refuse(journey)

    def latency(self, engine: BackEnd) -> float:
        """Return the one-way latency to an engine."""
        if engine.labels["zone"] == self._back_end.labels["zone"]:
            return LOCAL_LATENCY_SECONDS
        return self._simulation.deployment.zone_latency_seconds

    @property
    def _client_latency(self) -> float:
        """One-way latency to clients."""
        return self._simulation.deployment.client_latency_seconds

    def _refuse(self, journey: Journey) -> None:
        """Refuse a request."""
        journey.outcome.refused_at = self._simulation.queue.now + self._client_latency

    def _dispatch(self, journey: Journey, choice: Choice) -> None:
        """Send an attempt."""
        simulation = self._simulation
        journey.nonce = simulation.new_nonce()
        journey.choice = choice
        journey.outcome.attempts += 1
        self.strategy.record_dispatch(journey.nonce, choice, simulation.queue.now)
        simulation.queue.after(
            self.latency(choice.back_end),
            lambda: simulation.submit(self, journey, choice),
        )

    def _schedule_probe(self, address: str, restart: int, delay: float) -> None:
        """Probe an engine after a delay, and again and again until the next restart."""

        def probe() -> None:
            if restart == self._restarts:
                self._probe(address)
                self._schedule_probe(address, restart, PROBE_SECONDS)

        self._simulation.queue.after(delay, probe)

    def _probe(self, address: str) -> None:
        """Read an engine's facts and new cache events; they arrive after the latency."""
        simulation = self._simulation
        engine = simulation.world.engines[address]
        now = simulation.queue.now
        facts = engine.model.facts(now)
        known, sequence = self._cursors.get(address, ("", 0))
        if known != facts.incarnation:
            sequence = facts.event_sequence
        batch = engine.model.cache_events(facts.incarnation, sequence, now)
        self._cursors[address] = (facts.incarnation, facts.event_sequence)
        engine.settle()
        strategy = self.strategy

        def arrive() -> None:
            strategy.update_facts(address, facts, simulation.queue.now)
            strategy.record_events(address, batch)

        simulation.queue.after(self.latency(engine.back_end), arrive)
