"""One soak: parts started, callers and faults side by side, everything healed, promises checked."""

from __future__ import annotations

import random
from pathlib import Path

import msgspec
import trio

from emulator.fleet.processes import ProcessGroup
from emulator.soak.callers import Callers
from emulator.soak.checks import Bounds, Violation, check_all, check_recovery
from emulator.soak.deployment import Deployment
from emulator.soak.faults import Faults
from emulator.soak.history import History
from emulator.soak.operators import Operator

START_SECONDS = 30.0
RECOVERY_SECONDS = 12.0
QUIET_SECONDS = 22.0
WATCH_SECONDS = 0.2
SETTLED_SECONDS = 5.0


class SoakPlan(msgspec.Struct, frozen=True):
    """What a soak does.

    Attributes:
        seed: Draws everything.
        seconds: Time with faults.
        nodes: Processes.
        rate: Requests a second.
        directory: Settings and logs of the nodes.
    """

    seed: int
    seconds: float
    nodes: int
    rate: float
    directory: Path


class SoakResult(msgspec.Struct):
    """What came of a soak.

    Attributes:
        violations: Broken promises.
        requests: Requests sent.
        statuses: How they ended, by status.
        faults: Faults by kind.
    """

    violations: list[Violation]
    requests: int
    statuses: dict[str, int]
    faults: dict[str, int]


async def run_soak(plan: SoakPlan) -> SoakResult:
    """Run a soak in real time.

    Args:
        plan: What to do.
    """
    generator = random.Random(plan.seed)
    deployment = Deployment(plan.directory, random.Random(plan.seed + 1))
    operator = Operator(deployment, random.Random(plan.seed + 2))
    callers = Callers(deployment, random.Random(plan.seed + 3), plan.rate)
    faults = Faults(deployment, operator, generator)
    with ProcessGroup(plan.directory) as processes:
        async with trio.open_nursery() as nursery:
            operator.publish()
            await deployment.start(nursery, processes, plan.nodes)
            for node in deployment.nodes:
                await processes.wait_listening(node.name, node.readiness)
            nursery.start_soon(_watch_ends, deployment)
            nursery.start_soon(callers.run)
            await trio.sleep(SETTLED_SECONDS)
            await faults.run(plan.seconds)
            healed_at = trio.current_time()
            await trio.sleep(QUIET_SECONDS)
            ended_at = trio.current_time()
            nursery.cancel_scope.cancel()
    violations = check_all(deployment.history, Bounds())
    violations += check_recovery(deployment.history, healed_at + RECOVERY_SECONDS, ended_at)
    return _result(deployment.history, violations, faults)


async def _watch_ends(deployment: Deployment) -> None:
    """Record processes that end by themselves."""
    seen: set[str] = set()
    while True:
        await trio.sleep(WATCH_SECONDS)
        for node in deployment.nodes:
            ended = node.running and deployment.node_exit_code(node) is not None
            if ended and node.name not in seen:
                seen.add(node.name)
                deployment.history.unexpected_ends.append(node.name)


def _result(history: History, violations: list[Violation], faults: Faults) -> SoakResult:
    """Return what a history and the faults come to."""
    statuses: dict[str, int] = {}
    for request in history.requests.values():
        name = "left" if request.left else str(request.status)
        statuses[name] = statuses.get(name, 0) + 1
    counts = dict(sorted(faults.counts.items()))
    return SoakResult(violations, len(history.requests), statuses, counts)
