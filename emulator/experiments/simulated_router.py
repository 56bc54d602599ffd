"""A simulated router: probes, choices, attempts and retries."""

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
"""Time until another choice for a request that no engine can take now."""

MAX_ATTEMPTS = 4
"""Largest number of attempts per request."""


class PendingRequest(msgspec.Struct):
    """State of one request in flight.

    Attributes:
        item: Request from the trace.
        outcome: Outcome of the request, filled in during the run.
        admissible: Engines where the request may be placed.
        excluded: Names of engines already tried.
        give_up_at: Time at which waiting for a usable engine ends.
        nonce: Nonce of the current attempt.
        choice: Engine chosen for the current attempt.
    """

    item: TraceRequest
    outcome: Outcome
    admissible: tuple[BackEnd, ...]
    give_up_at: float
    excluded: frozenset[str] = frozenset()
    nonce: str = ""
    choice: Choice | None = None


class SimulatedRouter:
    """A router that probes engines, chooses one for each attempt and retries failures."""

    def __init__(self, index: int, back_end: BackEnd, simulation: Simulation) -> None:
        """Create a router with a new strategy.

        Args:
            index: Index of the router.
            back_end: The router's entry in the configuration.
            simulation: The run that the router belongs to.
        """
        self._simulation = simulation
        self._back_end = back_end
        self._index = index
        self._restarts = 0
        self.restart()

    def restart(self) -> None:
        """Replace the strategy by a new one, and schedule the first probe of every engine."""
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

    def receive(self, pending: PendingRequest) -> None:
        """Choose an engine for a new or retried request, and dispatch, delay or refuse it."""
        simulation = self._simulation
        now = simulation.queue.now
        item = pending.item
        choice = self.strategy.choose(item, pending.admissible, pending.excluded, now)
        if choice is None:
            if now < pending.give_up_at:
                pending.excluded = frozenset()
                simulation.queue.after(WAIT_FOR_ENGINE_SECONDS, lambda: self.receive(pending))
            else:
                self._refuse(pending)
            return
        if choice.expected_wait_seconds > item.request.request_class.max_queue_seconds:
            self._refuse(pending)
            return
        self._dispatch(pending, choice)

    def first_token(self, pending: PendingRequest, incarnation: str, cached_tokens: int) -> None:
        """Record the first token of an attempt, and forward it to the client."""
        now = self._simulation.queue.now
        self.strategy.record_first_token(pending.nonce, incarnation, cached_tokens, now)
        if pending.outcome.first_token_at == float("inf"):
            pending.outcome.first_token_at = now + self._client_latency

    def finished(self, pending: PendingRequest) -> None:
        """Record the end of an attempt, and forward the last token to the client."""
        now = self._simulation.queue.now
        self.strategy.record_end(pending.nonce, now)
        pending.outcome.finished_at = now + self._client_latency

    def failed(self, pending: PendingRequest, engine: BackEnd, code: ErrorCode | None) -> None:
        """Retry on another engine after a refusal (``code``) or a lost connection (None)."""
        now = self._simulation.queue.now
        self.strategy.record_end(pending.nonce, now)
        if code is not ErrorCode.OVERLOADED:
            self.strategy.record_failure(engine.address, now)
        pending.excluded |= {engine.name}
        may_repeat = code is not None or pending.item.request.request_class.repeatable
        if may_repeat and pending.outcome.attempts < MAX_ATTEMPTS:
            self.receive(pending)
        else:
            self._refuse(pending)

    def latency(self, engine: BackEnd) -> float:
        """Return the one-way latency to an engine."""
        if engine.labels["zone"] == self._back_end.labels["zone"]:
            return LOCAL_LATENCY_SECONDS
        return self._simulation.deployment.zone_latency_seconds

    @property
    def _client_latency(self) -> float:
        """One-way latency to clients."""
        return self._simulation.deployment.client_latency_seconds

    def _refuse(self, pending: PendingRequest) -> None:
        """Refuse a request."""
        pending.outcome.refused_at = self._simulation.queue.now + self._client_latency

    def _dispatch(self, pending: PendingRequest, choice: Choice) -> None:
        """Send an attempt to the chosen engine."""
        simulation = self._simulation
        pending.nonce = simulation.new_nonce()
        pending.choice = choice
        pending.outcome.attempts += 1
        self.strategy.record_dispatch(pending.nonce, choice, simulation.queue.now)
        simulation.queue.after(
            self.latency(choice.back_end),
            lambda: simulation.submit(self, pending, choice),
        )

    def _schedule_probe(self, address: str, restart: int, delay: float) -> None:
        """Probe an engine after a delay, and then periodically until the next restart."""

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
        engine.synchronize()
        strategy = self.strategy

        def arrive() -> None:
            strategy.update_facts(address, facts, simulation.queue.now)
            strategy.record_events(address, batch)

        simulation.queue.after(self.latency(engine.back_end), arrive)
