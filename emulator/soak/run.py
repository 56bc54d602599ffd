"""Runs one soak: starts the parts, sends requests under faults, and checks after recovery."""

from __future__ import annotations

import random
import time
from pathlib import Path

import msgspec
import trio

from emulator.fleet.processes import ProcessGroup
from emulator.soak.answer_checks import count_answer_faults, write_answer_events
from emulator.soak.callers import Callers
from emulator.soak.checks import check_all, check_recovery
from emulator.soak.deployment import Deployment
from emulator.soak.fatal_impact import FatalImpact, measure_fatal_impact
from emulator.soak.fault_kinds import ANSWERS_REPEATED, RESTORE, SOFTWARE
from emulator.soak.faults import Faults
from emulator.soak.history import History
from emulator.soak.hostile_callers import HostileCallers
from emulator.soak.machine import (
    MachineLoad,
    MachineStalls,
    MachineWatch,
    machine_load,
    read_processor_times,
)
from emulator.soak.operators import Operator
from emulator.soak.persistent_callers import PersistentCallers
from emulator.soak.pipelining_callers import PipeliningCallers
from emulator.soak.probes import Probes
from emulator.soak.profiles import CHANGES, CONNECTIONS, REPEATED_IDS
from emulator.soak.promises import Bounds, Violation
from emulator.soak.repeating_callers import RepeatingCallers
from emulator.soak.resuming_callers import ResumingCallers
from emulator.soak.seed_profiles import profile_of
from emulator.soak.slow_callers import SlowCallers
from emulator.soak.stream_checks import StreamFigures, stream_figures

START_SECONDS = 30.0
RECOVERY_SECONDS = 12.0
QUIET_SECONDS = 22.0
"""Time after the faults; includes the time for recovery."""

PERSISTENT_CALLERS_PER_NODE = 2
PIPELINING_CALLERS_PER_NODE = 3
RESUMING_CALLERS_PER_NODE = 2
SLOW_CALLERS_PER_NODE = 6
REPEATING_CALLERS_PER_NODE = 3
SOFTWARE_USED = ("v1", "v1.1")
"""Software versions of engines where a profile replaces software."""

WATCH_SECONDS = 0.2
"""Time between two checks for exited processes."""

SETTLED_SECONDS = 5.0
"""Time with requests before the first fault."""


class SoakPlan(msgspec.Struct, frozen=True):
    """Parameters of a soak.

    Attributes:
        seed: Seed of all random generators.
        seconds: Time with faults.
        nodes: Number of nodes, each a process.
        rate: Requests per second.
        directory: Directory for settings and logs of the nodes.
        quiet_seconds: Time after the faults; includes the time for recovery.
        profile: Name of the profile of faults; the seed's if empty.
        other_build: Root of a checkout of another version on which all nodes start; None for none.
    """

    seed: int
    seconds: float
    nodes: int
    rate: float
    directory: Path
    quiet_seconds: float = QUIET_SECONDS
    profile: str = ""
    other_build: Path | None = None


class SoakResult(msgspec.Struct):
    """Result of a soak.

    Attributes:
        violations: Broken promises.
        requests: Number of requests sent.
        statuses: Number of requests by status; ``left`` for those whose caller disconnected.
        faults: Number of faults by kind.
        profile: Name of the profile of faults.
        route_changes: Number of routes added or removed.
        streams: What became of the streams that callers resume.
        impact: Outcomes of ordinary requests during fatal ones and otherwise.
        stalls: Stalls of the machine.
        load: Load of the machine.
        answer_faults: Copies and other faults of instances' answers by kind.
    """

    violations: list[Violation]
    requests: int
    statuses: dict[str, int]
    faults: dict[str, int]
    profile: str
    route_changes: int
    streams: StreamFigures
    impact: FatalImpact
    stalls: MachineStalls
    load: MachineLoad
    answer_faults: dict[str, int] = {}


async def run_soak(plan: SoakPlan) -> SoakResult:
    """Run a soak in real time.

    Args:
        plan: Parameters of the soak.
    """
    processor_times = read_processor_times()
    generator = random.Random(plan.seed)
    profile = profile_of(plan.seed, plan.profile)
    deployment = Deployment(plan.directory, random.Random(plan.seed + 1), plan.other_build)
    operator = Operator(deployment, random.Random(plan.seed + 2))
    callers = Callers(deployment, random.Random(plan.seed + 3), plan.rate)
    probes = Probes(deployment, random.Random(plan.seed + 4))
    persistent = PersistentCallers(
        deployment,
        random.Random(plan.seed + 5),
        callers.readiness,
        PERSISTENT_CALLERS_PER_NODE * plan.nodes,
    )
    resuming = ResumingCallers(
        deployment, callers, random.Random(plan.seed + 7), RESUMING_CALLERS_PER_NODE * plan.nodes
    )
    slow = SlowCallers(
        deployment,
        random.Random(plan.seed + 8),
        callers.readiness,
        SLOW_CALLERS_PER_NODE * plan.nodes,
    )
    repeating = RepeatingCallers(
        deployment,
        random.Random(plan.seed + 9),
        callers.readiness,
        REPEATING_CALLERS_PER_NODE * plan.nodes,
        repeats_ids=profile is REPEATED_IDS,
    )
    pipelining = PipeliningCallers(
        deployment,
        random.Random(plan.seed + 10),
        callers.readiness,
        PIPELINING_CALLERS_PER_NODE * plan.nodes,
    )
    hostile = HostileCallers(deployment, callers, random.Random(plan.seed + 6))
    faults = Faults(deployment, operator, hostile, generator, profile)
    machine = MachineWatch(deployment.history)
    if SOFTWARE in profile.kinds:
        deployment.software_versions = SOFTWARE_USED
    deployment.redirects_routes = profile is CHANGES
    deployment.has_answer_faults = ANSWERS_REPEATED in profile.kinds
    with ProcessGroup(plan.directory) as processes:
        async with trio.open_nursery() as nursery:
            operator.publish()
            await deployment.start(nursery, processes, plan.nodes)
            for node in deployment.nodes:
                await processes.wait_listening(node.name, node.readiness)
            nursery.start_soon(_watch_exits, deployment)
            nursery.start_soon(machine.run)
            if RESTORE in profile.kinds:
                nursery.start_soon(deployment.restores.take_backups)
            nursery.start_soon(callers.run)
            nursery.start_soon(persistent.run)
            if SOFTWARE in profile.kinds:
                nursery.start_soon(resuming.run)
            if profile is CHANGES:
                nursery.start_soon(slow.run)
            if profile is CONNECTIONS:
                nursery.start_soon(pipelining.run)
            if deployment.has_answer_faults:
                nursery.start_soon(repeating.run)
            nursery.start_soon(operator.change_routes, profile.change_seconds)
            nursery.start_soon(probes.run)
            await trio.sleep(SETTLED_SECONDS)
            await faults.run(plan.seconds)
            repaired_at = trio.current_time()
            if profile is CHANGES:
                operator.restore_settings()
            operator.set_weights_version()
            await trio.sleep(plan.quiet_seconds)
            ended_at = trio.current_time()
            deployment.record_listed()
            deployment.read_logged_orders()
            nursery.cancel_scope.cancel()
    if deployment.has_answer_faults:
        offset = time.time() - trio.current_time()
        write_answer_events(deployment.history, plan.directory / "answers.jsonl", offset)
    violations = check_all(deployment.history, Bounds())
    violations += check_recovery(deployment.history, repaired_at + RECOVERY_SECONDS, ended_at)
    load = machine_load(processor_times)
    return _result(deployment.history, violations, faults, profile.name, machine.stalls, load)


async def _watch_exits(deployment: Deployment) -> None:
    """Record nodes whose process exits by itself."""
    seen: set[str] = set()
    while True:
        await trio.sleep(WATCH_SECONDS)
        for node in deployment.nodes:
            ended = node.running and deployment.node_exit_code(node) is not None
            if ended and node.name not in seen:
                seen.add(node.name)
                code = deployment.node_exit_code(node)
                deployment.history.unexpected_exits.append(f"{node.name}, code {code}")


def _result(
    history: History,
    violations: list[Violation],
    faults: Faults,
    profile: str,
    stalls: MachineStalls,
    load: MachineLoad,
) -> SoakResult:
    """Return the result of a soak from its history and faults."""
    statuses: dict[str, int] = {}
    for request in history.requests.values():
        name = "left" if request.left else str(request.status)
        statuses[name] = statuses.get(name, 0) + 1
    return SoakResult(
        violations,
        len(history.requests),
        dict(sorted(statuses.items())),
        dict(sorted(faults.counts.items())),
        profile,
        len(history.route_changes),
        stream_figures(history),
        measure_fatal_impact(history),
        stalls,
        load,
        count_answer_faults(history),
    )
