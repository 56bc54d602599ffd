"""Generates seeded arrivals, in phases with a constant rate per tenant."""

from __future__ import annotations

import random
from collections.abc import Mapping, Sequence

import msgspec
import trio

from emulator.recovery.deployment import GREEDY_TENANT, REQUEST_CLASS, TENANTS
from emulator.simulation.cluster import SimulatedCluster
from emulator.simulation.history import Call

TOPICS = 3
"""Number of prompt prefixes per tenant."""

PREFIX_TEXT = "a rule that each request of this topic begins with, "
PREFIX_REPEATS = 25
ANSWER_TOKENS = 10


class Phase(msgspec.Struct, frozen=True):
    """A phase with constant arrival rates.

    Attributes:
        seconds: Duration of the phase.
        rates: Requests per second by tenant.
    """

    seconds: float
    rates: Mapping[str, float]


class Arrival(msgspec.Struct, frozen=True):
    """One request of the trace.

    Attributes:
        at: Seconds from the start of the trace.
        call: The request.
        router: Index of the router that receives the request.
    """

    at: float
    call: Call
    router: int


def steady_rates(requests_per_second: float) -> dict[str, float]:
    """Return equal rates for all tenants."""
    return {tenant: requests_per_second / len(TENANTS) for tenant in TENANTS}


def overload_rates(steady: float, overload: float) -> dict[str, float]:
    """Return rates at which one tenant sends all load above the steady one."""
    rates = steady_rates(steady)
    rates[GREEDY_TENANT] += overload - steady
    return rates


def make_trace(phases: Sequence[Phase], routers: int, seed: int) -> list[Arrival]:
    """Return the arrivals of all phases in order of time.

    Each tenant sends at even intervals with jitter. Each has its own generator, so that one
    tenant's arrivals don't depend on the rates of another.
    """
    arrivals: list[Arrival] = []
    for tenant in TENANTS:
        generator = random.Random(f"{seed} {tenant}")
        began_at = 0.0
        for phase in phases:
            arrivals += _tenant_arrivals(phase, tenant, began_at, routers, generator)
            began_at += phase.seconds
    return sorted(arrivals, key=lambda arrival: (arrival.at, arrival.call.tenant))


async def play(cluster: SimulatedCluster, trace: Sequence[Arrival]) -> None:
    """Send a trace without retries; return when every request has ended."""
    names = [item.name for item in cluster.router_back_ends()]
    began_at = trio.current_time()
    async with trio.open_nursery() as nursery:
        for arrival in trace:
            await trio.sleep_until(began_at + arrival.at)
            nursery.start_soon(cluster.ask, names[arrival.router], arrival.call)


async def saturate(cluster: SimulatedCluster, callers: int, seconds: float, seed: int) -> None:
    """Send requests from concurrent callers for ``seconds``; refused callers wait as asked."""
    names = [item.name for item in cluster.router_back_ends()]
    end = trio.current_time() + seconds

    async def send_repeatedly(number: int) -> None:
        generator = random.Random(f"{seed} {number}")
        tenant = TENANTS[number % len(TENANTS)]
        while trio.current_time() < end:
            call = make_call(tenant, generator.randrange(TOPICS), generator.getrandbits(32))
            answer = await cluster.ask(names[number % len(names)], call)
            await trio.sleep(answer.retry_after_seconds)

    async with trio.open_nursery() as nursery:
        for number in range(callers):
            nursery.start_soon(send_repeatedly, number)


def make_call(tenant: str, topic: int, number: int) -> Call:
    """Return a request that starts with one of a tenant's prefixes."""
    prefix = f"{tenant} {topic}: " + PREFIX_TEXT * PREFIX_REPEATS
    return Call(tenant, REQUEST_CLASS.name, f"{prefix}question {number}", ANSWER_TOKENS)


def _tenant_arrivals(
    phase: Phase, tenant: str, began_at: float, routers: int, generator: random.Random
) -> list[Arrival]:
    """Return one tenant's arrivals in a phase."""
    count = round(phase.seconds * phase.rates[tenant])
    interval = phase.seconds / max(1, count)
    arrivals: list[Arrival] = []
    for index in range(count):
        at = began_at + (index + generator.random()) * interval
        call = make_call(tenant, generator.randrange(TOPICS), generator.getrandbits(32))
        arrivals.append(Arrival(at, call, generator.randrange(routers)))
    return arrivals
