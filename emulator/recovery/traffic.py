"""Seeded arrivals in phases of a constant rate for each tenant."""

from __future__ import annotations

import random
from collections.abc import Mapping, Sequence

import msgspec
import trio

from emulator.recovery.deployment import GREEDY_TENANT, REQUEST_CLASS, TENANTS
from emulator.simulation.cluster import SimulatedCluster
from emulator.simulation.history import Call

TOPICS = 3
"""Prefixes of each tenant."""

PREFIX_TEXT = "a rule that each request of this topic begins with, "
PREFIX_REPEATS = 25
ANSWER_TOKENS = 10


class Phase(msgspec.Struct, frozen=True):
    """A span of constant rates.

    Attributes:
        seconds: Its length.
        rates: Requests a second by tenant.
    """

    seconds: float
    rates: Mapping[str, float]


class Arrival(msgspec.Struct, frozen=True):
    """One request of the trace.

    Attributes:
        at: Seconds from the begin of the trace.
        call: What is asked.
        router: Index of the router that is asked.
    """

    at: float
    call: Call
    router: int


def steady_rates(requests_per_second: float) -> dict[str, float]:
    """Return rates at which every tenant sends the same."""
    return {tenant: requests_per_second / len(TENANTS) for tenant in TENANTS}


def overload_rates(steady: float, overload: float) -> dict[str, float]:
    """Return rates at which one tenant sends everything above the steady load."""
    rates = steady_rates(steady)
    rates[GREEDY_TENANT] += overload - steady
    return rates


def make_trace(phases: Sequence[Phase], routers: int, seed: int) -> list[Arrival]:
    """Return the arrivals of all phases in order of time.

    Each tenant sends at even distances with jitter, and has a generator of its own: the
    arrivals of one don't depend on the rates of another.
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
    """Send a trace; return when every caller has its answer. Nobody sends again."""
    names = [item.name for item in cluster.router_back_ends()]
    began_at = trio.current_time()
    async with trio.open_nursery() as nursery:
        for arrival in trace:
            await trio.sleep_until(began_at + arrival.at)
            nursery.start_soon(cluster.ask, names[arrival.router], arrival.call)


async def saturate(cluster: SimulatedCluster, callers: int, seconds: float, seed: int) -> None:
    """Let callers send one request after another for a time, and wait as refusals say."""
    names = [item.name for item in cluster.router_back_ends()]
    end = trio.current_time() + seconds

    async def call_again(number: int) -> None:
        generator = random.Random(f"{seed} {number}")
        tenant = TENANTS[number % len(TENANTS)]
        while trio.current_time() < end:
            call = make_call(tenant, generator.randrange(TOPICS), generator.getrandbits(32))
            answer = await cluster.ask(names[number % len(names)], call)
            await trio.sleep(answer.retry_after_seconds)

    async with trio.open_nursery() as nursery:
        for number in range(callers):
            nursery.start_soon(call_again, number)


def make_call(tenant: str, topic: int, number: int) -> Call:
    """Return a request below one of a tenant's prefixes."""
    prefix = f"{tenant} {topic}: " + PREFIX_TEXT * PREFIX_REPEATS
    return Call(tenant, REQUEST_CLASS.name, f"{prefix}question {number}", ANSWER_TOKENS)


def _tenant_arrivals(
    phase: Phase, tenant: str, began_at: float, routers: int, generator: random.Random
) -> list[Arrival]:
    """Return one tenant's arrivals in a phase."""
    count = round(phase.seconds * phase.rates[tenant])
    distance = phase.seconds / max(1, count)
    arrivals: list[Arrival] = []
    for index in range(count):
        at = began_at + (index + generator.random()) * distance
        call = make_call(tenant, generator.randrange(TOPICS), generator.getrandbits(32))
        arrivals.append(Arrival(at, call, generator.randrange(routers)))
    return arrivals
