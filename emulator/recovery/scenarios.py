"""Recovery scenarios; each runs the real services in virtual time and measures one event."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence

import msgspec
import trio

from emulator.platform.faults import FaultOrder
from emulator.recovery import deployment as sizes
from emulator.recovery.measures import (
    SpanMeasures,
    measure_refusals,
    measure_span,
    recovery_seconds,
    windows,
)
from emulator.recovery.results import (
    EventResult,
    OverloadResult,
    RecoveryTimes,
    StoreOutageResult,
    TenantImpact,
)
from emulator.recovery.traffic import (
    Arrival,
    Phase,
    make_trace,
    overload_rates,
    play,
    saturate,
    steady_rates,
)
from emulator.simulation.cluster import NO_FAULTS, SimulatedCluster, run_simulation
from emulator.simulation.history import Answer, Outcome

Event = Callable[[SimulatedCluster], Awaitable[None]]


class Plan(msgspec.Struct, frozen=True):
    """Durations and loads of the scenarios.

    Attributes:
        warm_seconds: Warm-up time before the measurements.
        steady_seconds: Time of steady load before an event.
        overload_seconds: Time at twice the capacity.
        outage_seconds: Time from a restart to the store's return.
        after_seconds: Time after an event.
        window_seconds: Length of the windows that recovery is measured in.
        step_seconds: Time between the starts of two windows.
        steady_share: Steady load as a fraction of the capacity.
        overload_share: Overload as a fraction of the capacity.
        smaller_share: Load in the loss of engines, as a fraction of the remaining capacity.
    """

    warm_seconds: float = 30.0
    steady_seconds: float = 120.0
    overload_seconds: float = 300.0
    outage_seconds: float = 30.0
    after_seconds: float = 120.0
    window_seconds: float = 20.0
    step_seconds: float = 1.0
    steady_share: float = 0.6
    overload_share: float = 2.0
    smaller_share: float = 0.6


class Run(msgspec.Struct, frozen=True):
    """A completed run of a trace.

    Attributes:
        cluster: The cluster after the run.
        steady_at: Virtual time at which the steady load began.
        event_at: Virtual time at which the event began.
    """

    cluster: SimulatedCluster
    steady_at: float
    event_at: float

    @property
    def answers(self) -> list[Answer]:
        """All responses of the run."""
        return self.cluster.history.answers

    def span(self, began_at: float, ended_at: float) -> SpanMeasures:
        """Measure a span of virtual time."""
        return measure_span(self.answers, began_at, ended_at)


def measure_capacity(plan: Plan, seed: int) -> float:
    """Return the goodput with as many concurrent requests as the engines accept."""
    seconds = plan.warm_seconds + plan.steady_seconds
    callers = sizes.ENGINES * sizes.MAX_CONCURRENT_REQUESTS
    began_at: list[float] = []

    async def body(cluster: SimulatedCluster) -> None:
        began_at.append(trio.current_time() + plan.warm_seconds)
        await saturate(cluster, callers, seconds, seed)

    cluster = _simulate(body, seed)
    answers = cluster.history.answers
    return measure_span(answers, began_at[0], began_at[0] + plan.steady_seconds).goodput


def run_overload(plan: Plan, capacity: float, seed: int) -> OverloadResult:
    """Run steady load, then overload caused by one tenant, then steady load again."""
    steady = steady_rates(plan.steady_share * capacity)
    rates = overload_rates(plan.steady_share * capacity, plan.overload_share * capacity)
    phases = [
        Phase(plan.warm_seconds + plan.steady_seconds, steady),
        Phase(plan.overload_seconds, rates),
        Phase(plan.after_seconds, steady),
    ]
    run = _run(plan, make_trace(phases, sizes.ROUTERS, seed), seed)
    overload_end = run.event_at + plan.overload_seconds
    ended_at = overload_end + plan.after_seconds
    overload = run.span(run.event_at, overload_end)
    return OverloadResult(
        capacity=capacity,
        steady=run.span(run.steady_at, run.event_at),
        overload=overload,
        goodput_over_best=overload.goodput / capacity,
        refusals=measure_refusals(run.answers),
        attempts_over_first=_attempts_over_first(run.cluster),
        tenants=tuple(_impact(run, tenant, overload_end) for tenant in sizes.MODEST_TENANTS),
        recovery=_recovery(plan, run, overload_end, ended_at, _steady_windows(plan, run)),
    )


def run_calm(plan: Plan, capacity: float, seed: int) -> EventResult:
    """Run steady load without any event."""
    return _run_event(plan, plan.steady_share * capacity, seed, _no_event)


def run_herd_restart(plan: Plan, capacity: float, seed: int) -> EventResult:
    """Kill all routers under steady load and restart them at the same time."""
    return _run_event(plan, plan.steady_share * capacity, seed, _restart_routers)


def run_engine_loss(plan: Plan, capacity: float, seed: int) -> EventResult:
    """Crash a third of the engines; compare with a run in which they are down from the start."""
    remaining_capacity = capacity * (sizes.ENGINES - sizes.LOST_ENGINES) / sizes.ENGINES
    load = plan.smaller_share * remaining_capacity
    without_engines = _run(plan, _event_trace(plan, load, seed), seed, before=_lose_engines)
    run = _run(plan, _event_trace(plan, load, seed), seed, _lose_engines)
    ended_at = run.event_at + plan.after_seconds
    steady = _steady_windows(plan, without_engines, without_engines.event_at + plan.after_seconds)
    return EventResult(
        steady=without_engines.span(without_engines.steady_at, without_engines.event_at),
        after=run.span(run.event_at, ended_at),
        attempts_over_first=_attempts_over_first(run.cluster),
        recovery=_recovery(plan, run, run.event_at, ended_at, steady),
    )


def run_store_outage(plan: Plan, capacity: float, seed: int) -> StoreOutageResult:
    """Restart all routers while the store is down, and then bring the store back."""

    async def restart_during_outage(cluster: SimulatedCluster) -> None:
        cluster.order_platform_faults(FaultOrder(outage=True))
        await cluster.restart()
        await trio.sleep(plan.outage_seconds)
        cluster.order_platform_faults(NO_FAULTS)

    steady = steady_rates(plan.steady_share * capacity)
    seconds = plan.warm_seconds + plan.steady_seconds + plan.outage_seconds + plan.after_seconds
    trace = make_trace([Phase(seconds, steady)], sizes.ROUTERS, seed)
    run = _run(plan, trace, seed, restart_during_outage)
    returned_at = run.event_at + plan.outage_seconds
    ended_at = returned_at + plan.after_seconds
    later = [item for item in run.answers if item.started_at >= run.event_at]
    served = [item.first_token_at for item in later if item.outcome is Outcome.COMPLETE]
    return StoreOutageResult(
        refusals=measure_refusals(later),
        first_served_seconds=min(served) - returned_at if served else None,
        recovery=_recovery(plan, run, returned_at, ended_at, _steady_windows(plan, run)),
    )


async def _no_event(_cluster: SimulatedCluster) -> None:
    """Do nothing; used in place of an event."""


async def _restart_routers(cluster: SimulatedCluster) -> None:
    """Kill and restart all routers."""
    await cluster.restart()


async def _lose_engines(cluster: SimulatedCluster) -> None:
    """Crash a third of the engines and keep them down."""
    for number in range(sizes.LOST_ENGINES):
        cluster.crash(f"e{number}")
        cluster.world.engines.set_down(cluster.back_end(f"e{number}").address, True)


def _event_trace(plan: Plan, load: float, seed: int) -> list[Arrival]:
    """Return steady arrivals for the whole run."""
    seconds = plan.warm_seconds + plan.steady_seconds + plan.after_seconds
    return make_trace([Phase(seconds, steady_rates(load))], sizes.ROUTERS, seed)


def _run_event(plan: Plan, load: float, seed: int, event: Event) -> EventResult:
    """Measure an event under steady load, compared with the time before it."""
    run = _run(plan, _event_trace(plan, load, seed), seed, event)
    ended_at = run.event_at + plan.after_seconds
    return EventResult(
        steady=run.span(run.steady_at, run.event_at),
        after=run.span(run.event_at, ended_at),
        attempts_over_first=_attempts_over_first(run.cluster),
        recovery=_recovery(plan, run, run.event_at, ended_at, _steady_windows(plan, run)),
    )


def _run(
    plan: Plan,
    trace: Sequence[Arrival],
    seed: int,
    event: Event = _no_event,
    before: Event = _no_event,
) -> Run:
    """Run a trace, with ``event`` after the steady time and ``before`` at the start."""
    times: list[float] = []

    async def body(cluster: SimulatedCluster) -> None:
        await before(cluster)
        times.append(trio.current_time())
        async with trio.open_nursery() as nursery:
            nursery.start_soon(play, cluster, trace)
            await trio.sleep(plan.warm_seconds + plan.steady_seconds)
            await event(cluster)

    cluster = _simulate(body, seed)
    steady_at = times[0] + plan.warm_seconds
    return Run(cluster, steady_at, steady_at + plan.steady_seconds)


def _simulate(body: Event, seed: int) -> SimulatedCluster:
    """Simulate the recovery deployment while ``body`` runs."""
    return run_simulation(
        body, seed=seed, deployment=sizes.recovery_deployment(), engine_config=sizes.ENGINE
    )


def _impact(run: Run, tenant: str, overload_end: float) -> TenantImpact:
    """Return a tenant's measures before and during the overload."""
    own = [item for item in run.answers if item.call.tenant == tenant]
    return TenantImpact(
        tenant,
        measure_span(own, run.steady_at, run.event_at),
        measure_span(own, run.event_at, overload_end),
    )


def _steady_windows(plan: Plan, run: Run, until: float | None = None) -> list[SpanMeasures]:
    """Return the windows of a run's steady time."""
    end = run.event_at if until is None else until
    found = windows(run.answers, run.steady_at, end, plan.window_seconds, plan.step_seconds)
    return [measures for _, measures in found]


def _recovery(
    plan: Plan, run: Run, event_at: float, ended_at: float, steady: Sequence[SpanMeasures]
) -> RecoveryTimes:
    """Return the recovery time of each measure."""
    after = windows(run.answers, event_at, ended_at, plan.window_seconds, plan.step_seconds)
    return RecoveryTimes(
        *(
            recovery_seconds(after, steady, event_at, measure)
            for measure in RecoveryTimes.__struct_fields__
        )
    )


def _attempts_over_first(cluster: SimulatedCluster) -> float:
    """Return the number of attempts divided by the number of attempted requests."""
    sendings = [dispatch.sending for dispatch in cluster.history.dispatches]
    return len(sendings) / max(1, len(set(sendings)))
