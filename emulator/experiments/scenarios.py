"""Scenarios: changes of the traffic, and faults injected into a run."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

import msgspec

from emulator.experiments.deployments import NEXT_WEIGHTS, Deployment
from emulator.experiments.simulation import Simulation
from emulator.experiments.traffic import TrafficPlan
from emulator.experiments.world import SimulatedEngine
from hopstep.domain.configuration.document import AcceptedConfiguration
from hopstep.domain.engines import EngineFacts
from hopstep.domain.rollout import plan as plan_rollout
from hopstep.ports.engine import EngineOrder

DURATION_SECONDS = 50.0
"""Length of a trace in seconds of virtual time."""

OVERLOAD_DURATION_SECONDS = 30.0
"""Length of an overload trace in seconds; it has as many requests as a longer steady one."""

WARM_UP_SECONDS = 10.0
"""Time at the start of a trace that isn't measured, while caches fill."""

FAULT_AT = 25.0
"""Virtual time of a scenario's change or first fault."""

CRASH_INTERVAL_SECONDS = 4.0
ROLLOUT_SECONDS = 0.25
CONFIGURATION_SPREAD_SECONDS = 1.0
STORE_OUTAGE_SECONDS = 15.0
OVERLOAD_FACTOR = 2.0

Induce = Callable[[Simulation], None]


class Scenario(msgspec.Struct, frozen=True):
    """One scenario.

    Attributes:
        name: Name of the scenario.
        description: One line for the report.
        hot_shift: Whether other prefixes become popular at ``FAULT_AT``.
        new_weights: Whether new weights are rolled out at ``FAULT_AT``.
        overload: Whether the arrival rate is twice the capacity.
        event_loss_ratio: Fraction of cache events that are lost.
        event_delay_seconds: Time from a cache event to its publication.
        induce: Schedules the faults of a run; None for no faults.
    """

    name: str
    description: str
    hot_shift: bool = False
    new_weights: bool = False
    overload: bool = False
    event_loss_ratio: float = 0.02
    event_delay_seconds: float = 0.2
    induce: Induce | None = None

    def traffic_plan(self, deployment: Deployment) -> TrafficPlan:
        """Return the scenario's changes of the traffic."""
        factor = 1.0
        if self.overload:
            capacity = deployment.capacity_per_second
            factor = OVERLOAD_FACTOR * capacity / deployment.requests_per_second
        never = float("inf")
        return TrafficPlan(
            duration_seconds=OVERLOAD_DURATION_SECONDS if self.overload else DURATION_SECONDS,
            rate_factor=factor,
            hot_shift_at=FAULT_AT if self.hot_shift else never,
            new_weights_at=FAULT_AT if self.new_weights else never,
        )


def _crash_engines(simulation: Simulation) -> None:
    """Crash a third of the engines one after the other; each restarts with an empty cache."""
    engines = list(simulation.world.engines.values())
    for turn, engine in enumerate(engines[::3]):
        crash = partial(_crash, simulation, engine)
        simulation.queue.at(FAULT_AT + CRASH_INTERVAL_SECONDS * turn, crash)


def _crash(simulation: Simulation, engine: SimulatedEngine) -> None:
    """Crash one engine now."""
    engine.model.crash(simulation.queue.now)
    simulation.fail_attempts(engine)


def _restart_routers(simulation: Simulation) -> None:
    """Restart every router at once."""
    for router in simulation.routers:
        simulation.queue.at(FAULT_AT, router.restart)


def _stop_store(simulation: Simulation) -> None:
    """Make the KV cache store unavailable for ``STORE_OUTAGE_SECONDS``."""
    world = simulation.world

    def set_available(available: bool) -> None:
        world.store_available = available

    simulation.queue.at(FAULT_AT, lambda: set_available(False))
    simulation.queue.at(FAULT_AT + STORE_OUTAGE_SECONDS, lambda: set_available(True))


def _roll_weights(simulation: Simulation) -> None:
    """Change the first model's weights version, and order engines to load the new weights."""
    configuration = simulation.deployment.configuration
    first, *others = configuration.models
    model = msgspec.structs.replace(first, weights_version=NEXT_WEIGHTS)
    changed = msgspec.structs.replace(configuration, models=(model, *others))
    accepted = AcceptedConfiguration(2, changed)

    def begin() -> None:
        simulation.change_configuration(accepted, CONFIGURATION_SPREAD_SECONDS)
        _order_weights(simulation, accepted)

    simulation.queue.at(FAULT_AT, begin)


def _order_weights(simulation: Simulation, accepted: AcceptedConfiguration) -> None:
    """Send the rollout's orders that are due, and repeat every ``ROLLOUT_SECONDS``."""
    now = simulation.queue.now
    facts: dict[str, EngineFacts] = {
        address: engine.model.facts(now) for address, engine in simulation.world.engines.items()
    }
    for order in plan_rollout(accepted, facts):
        engine = simulation.world.engines[order.address]
        engine.order(EngineOrder(fence=order.fence, weights=order.weights))
    if now < DURATION_SECONDS:
        simulation.queue.after(ROLLOUT_SECONDS, lambda: _order_weights(simulation, accepted))


SCENARIOS = {
    scenario.name: scenario
    for scenario in (
        Scenario("steady", "Steady day"),
        Scenario("hot_shift", "Hot prefixes shift, new ones come up", hot_shift=True),
        Scenario(
            "event_gaps",
            "Half of the cache events lost, the others two seconds late",
            event_loss_ratio=0.5,
            event_delay_seconds=2.0,
        ),
        Scenario(
            "no_events",
            "All cache events lost: routers learn from answers alone",
            event_loss_ratio=1.0,
        ),
        Scenario("engine_crashes", "A third of the engines crash, in turn", induce=_crash_engines),
        Scenario(
            "rolling_weights", "New weights are rolled out", new_weights=True, induce=_roll_weights
        ),
        Scenario("router_restart", "All routers restart at once", induce=_restart_routers),
        Scenario("store_outage", "The KV cache store is away", induce=_stop_store),
        Scenario("overload", "Twice the capacity", overload=True),
    )
}
"""Scenarios by name."""
