"""Scale run: membership of up to 390 hollow nodes in one process, in virtual time.

Each cluster size is measured with members that know one another, under churn: the time until
a configuration revision, a leaving back end, a restart and a failure are known on all nodes;
bytes, processor time and memory per node. One region is partitioned off for an hour.
"""

from __future__ import annotations

import random
import time
from collections.abc import Callable, Sequence

import msgspec

from emulator.hollow_cluster import HollowCluster, HollowNode
from emulator.link_faults import LinkFaults, LinkQuality
from emulator.memory import reachable_bytes
from emulator.scale_churn import Churn
from hopstep.adapters.peer_keys import PeerKeys
from hopstep.domain.membership import Action, MembershipConfig, RevisionReported
from hopstep.domain.peer_message import EntryKind, LeavingBackEnd

DEFAULT_NODES = (24, 48, 97, 195, 390)
DEFAULT_CUT_NODES = 30
DEFAULT_HERD_NODES = (97,)
REGIONS = 6
CUT_SECONDS = 3_600.0
WINDOW_SECONDS = 60.0
STEP_SECONDS = 0.1
SETTLE_SECONDS = 20.0
LIMIT_SECONDS = 300.0
FETCH_SECONDS = 0.02
SEED_COUNT = 3

Progress = Callable[[str], None]


class SizeMeasures(msgspec.Struct, frozen=True):
    """Measures of one cluster size; times in seconds of virtual time, -1 if not reached.

    Attributes:
        nodes: Number of nodes.
        revision_seconds: Until a configuration revision is in force on all nodes.
        leaving_seconds: Until a leaving back end is known to all nodes.
        restart_seconds: Until all nodes know the new incarnation of a killed and restarted node.
        failure_seconds: Until all nodes hold a killed node dead.
        planned_stop_seconds: Until all nodes know that a node has shut down as planned.
        churn_events: Restarts and failures during the window, at ten times the
            fleet's ordinary rate.
        bytes_per_second: Average sent by a node over the window, headers included.
        max_bytes_per_second: The same for the busiest node.
        cpu_percent: Percentage of one core per node, signatures and the event queue included.
        memory_bytes: Memory of one node's membership state.
        wall_seconds: Wall-clock time of the whole measurement.
    """

    nodes: int
    revision_seconds: float
    leaving_seconds: float
    restart_seconds: float
    failure_seconds: float
    planned_stop_seconds: float
    churn_events: int
    bytes_per_second: float
    max_bytes_per_second: float
    cpu_percent: float
    memory_bytes: int
    wall_seconds: float


class CutMeasures(msgspec.Struct, frozen=True):
    """Measures of a region's partition and its healing.

    Attributes:
        nodes: Number of nodes.
        cut_nodes: Nodes of the region.
        cut_seconds: Duration of the partition in virtual time.
        isolated_seconds: Until all nodes of the region find themselves isolated.
        wrongly_isolated: Nodes outside the region that found themselves isolated at the end.
        heal_seconds: From the healing until all nodes agree on the membership.
        bytes_per_second: Average sent by a node during the partition.
        heal_bytes_per_second: The same while the cluster reconverges.
    """

    nodes: int
    cut_nodes: int
    cut_seconds: float
    isolated_seconds: float
    wrongly_isolated: int
    heal_seconds: float
    bytes_per_second: float
    heal_bytes_per_second: float


class HerdMeasures(msgspec.Struct, frozen=True):
    """Measures of a simultaneous start of all nodes, without any known members.

    Attributes:
        nodes: Number of nodes.
        most_seconds: Until every node knows nine tenths of the nodes.
        all_seconds: Until all nodes agree on the membership.
        bytes_per_second: Average sent by a node until then.
    """

    nodes: int
    most_seconds: float
    all_seconds: float
    bytes_per_second: float


class ScaleReport(msgspec.Struct, frozen=True):
    """All measures of a run."""

    seed: int
    sizes: tuple[SizeMeasures, ...]
    herds: tuple[HerdMeasures, ...]
    cut: CutMeasures | None


class ScaleCluster:
    """A hollow cluster whose nodes adopt every newer configuration revision announced to them."""

    def __init__(self, nodes: int, seed: int, *, warm: bool = True) -> None:
        """Start the nodes.

        Args:
            nodes: Number of nodes.
            seed: Seed of all random draws.
            warm: Whether the nodes know one another from the start.
        """
        faults = LinkFaults(random.Random(seed), LinkQuality(loss=0.001))
        config = MembershipConfig()
        keys = PeerKeys({"scale": bytes(32)})
        self.cluster = HollowCluster(seed, faults, config, self._observe, keys)
        self.names = [f"router-{number:03d}" for number in range(nodes)]
        self.seeds = tuple(self.names[:SEED_COUNT])
        self._fetches: list[tuple[float, str, int]] = []
        for number, name in enumerate(self.names):
            self.cluster.add(name, self.seeds, f"zone-{number * REGIONS // nodes}")
        if warm:
            self.cluster.introduce_everyone()

    def advance(self, seconds: float) -> None:
        """Advance virtual time; nodes fetch the revisions announced to them."""
        end = self.cluster.now + seconds
        while self.cluster.now < end - 1e-9:
            step_end = min(end, self.cluster.now + FETCH_SECONDS)
            self.cluster.run_until(step_end)
            due, self._fetches = self._fetches, []
            for _, name, revision in due:
                self.set_revision(name, revision)

    def set_revision(self, name: str, revision: int) -> None:
        """Put a revision in force at a node."""
        node = self.cluster.nodes[name]
        if node.running:
            self.cluster.act(node, node.membership.set_revision(revision, self.cluster.now))

    def seconds_until(self, reached: Callable[[], bool], limit: float = LIMIT_SECONDS) -> float:
        """Advance until ``reached``; return the virtual seconds it took, or -1 after ``limit``."""
        began = self.cluster.now
        while not reached():
            if self.cluster.now - began >= limit:
                return -1.0
            self.advance(STEP_SECONDS)
        return round(self.cluster.now - began, 2)

    def all_running(self, holds: Callable[[HollowNode], bool]) -> bool:
        """Return whether a condition holds at every running node."""
        return all(holds(node) for node in self.cluster.running())

    def sent_bytes(self) -> dict[str, int]:
        """Return the bytes sent so far, by node name."""
        return {name: node.sent_bytes for name, node in self.cluster.nodes.items()}

    def _observe(self, node: HollowNode, action: Action, now: float) -> None:
        if not isinstance(action, RevisionReported):
            return
        if action.revision > node.membership.own.configuration_revision:
            self._fetches.append((now, node.name, action.revision))


def run_scale(
    nodes: Sequence[int] = DEFAULT_NODES,
    seed: int = 1,
    cut_nodes: int = DEFAULT_CUT_NODES,
    herd_nodes: Sequence[int] = DEFAULT_HERD_NODES,
    cut_seconds: float = CUT_SECONDS,
    progress: Progress = lambda line: None,
) -> ScaleReport:
    """Run all measurements.

    Args:
        nodes: Cluster sizes.
        seed: Seed of all random draws; equal seeds give equal virtual times.
        cut_nodes: Size of the cluster whose region is partitioned off; 0 to skip this part.
        herd_nodes: Sizes of the clusters whose nodes all start at once.
        cut_seconds: Duration of the partition in virtual time.
        progress: Called with a line before each part.
    """
    sizes = []
    for count in nodes:
        progress(f"scale: {count} nodes under churn")
        sizes.append(measure_size(count, seed))
    herds = []
    for count in herd_nodes:
        progress(f"scale: {count} nodes start at once")
        herds.append(measure_herd(count, seed))
    cut = None
    if cut_nodes:
        progress(f"scale: a region of {cut_nodes} nodes cut for {cut_seconds:.0f} s")
        cut = measure_cut(cut_nodes, seed, cut_seconds)
    return ScaleReport(seed, tuple(sizes), tuple(herds), cut)


def measure_size(count: int, seed: int) -> SizeMeasures:
    """Measure one cluster size."""
    began = time.perf_counter()
    scale = ScaleCluster(count, seed)
    scale.advance(SETTLE_SECONDS)
    sent_before = scale.sent_bytes()
    cpu_before = time.process_time()
    window_began = scale.cluster.now
    churn = Churn(scale.cluster, scale.seeds, random.Random(seed))
    while scale.cluster.now < window_began + WINDOW_SECONDS:
        churn.step()
        scale.advance(1.0)
    elapsed = scale.cluster.now - window_began
    cpu = time.process_time() - cpu_before
    rates = _rates(scale, sent_before, elapsed)
    memory = reachable_bytes(scale.cluster.nodes[scale.names[-1]].membership)
    scale.seconds_until(scale.cluster.agrees)
    return SizeMeasures(
        nodes=count,
        revision_seconds=_measure_revision(scale),
        leaving_seconds=_measure_leaving(scale),
        restart_seconds=_measure_restart(scale),
        failure_seconds=_measure_failure(scale),
        planned_stop_seconds=_measure_planned_stop(scale),
        churn_events=churn.events,
        bytes_per_second=round(sum(rates) / len(rates), 1),
        max_bytes_per_second=round(max(rates), 1),
        cpu_percent=round(100 * cpu / count / elapsed, 3),
        memory_bytes=memory,
        wall_seconds=round(time.perf_counter() - began, 1),
    )


def measure_herd(count: int, seed: int) -> HerdMeasures:
    """Measure a simultaneous start of all nodes."""
    scale = ScaleCluster(count, seed, warm=False)

    def knows_most(node: HollowNode) -> bool:
        return len(node.membership.alive()) >= 0.9 * count

    most = scale.seconds_until(lambda: scale.all_running(knows_most))
    remaining = scale.seconds_until(scale.cluster.agrees)
    elapsed = scale.cluster.now
    rates = _rates(scale, dict.fromkeys(scale.names, 0), elapsed)
    everyone = -1.0 if min(most, remaining) < 0 else round(most + remaining, 2)
    return HerdMeasures(count, most, everyone, round(sum(rates) / count, 1))


def measure_cut(count: int, seed: int, cut_seconds: float) -> CutMeasures:
    """Measure the partition of one region and its healing."""
    scale = ScaleCluster(count, seed)
    scale.advance(SETTLE_SECONDS)
    region = scale.names[: count // REGIONS]
    others = scale.names[count // REGIONS :]
    scale.cluster.faults.partition(region)
    cut_began, sent_before = scale.cluster.now, scale.sent_bytes()
    isolated = scale.seconds_until(lambda: all(_isolated(scale, name) for name in region))
    scale.advance(cut_began + cut_seconds - scale.cluster.now)
    rates = _rates(scale, sent_before, cut_seconds)
    wrongly = sum(_isolated(scale, name) for name in others)
    scale.cluster.faults.heal()
    heal_began, sent_before = scale.cluster.now, scale.sent_bytes()
    heal = scale.seconds_until(scale.cluster.agrees)
    heal_rates = _rates(scale, sent_before, max(STEP_SECONDS, scale.cluster.now - heal_began))
    return CutMeasures(
        count,
        len(region),
        cut_seconds,
        isolated,
        wrongly,
        heal,
        round(sum(rates) / count, 1),
        round(sum(heal_rates) / count, 1),
    )


def _isolated(scale: ScaleCluster, name: str) -> bool:
    return scale.cluster.nodes[name].membership.is_partitioned(scale.cluster.now)


def _rates(scale: ScaleCluster, before: dict[str, int], elapsed: float) -> list[float]:
    return [(sent - before[name]) / elapsed for name, sent in scale.sent_bytes().items()]


def _measure_revision(scale: ScaleCluster) -> float:
    revision = 1 + max(
        node.membership.own.configuration_revision for node in scale.cluster.running()
    )
    scale.set_revision(scale.names[-1], revision)
    return scale.seconds_until(
        lambda: scale.all_running(
            lambda node: node.membership.own.configuration_revision >= revision
        )
    )


def _measure_leaving(scale: ScaleCluster) -> float:
    kind = EntryKind.LEAVING_BACK_END
    node = scale.cluster.nodes[scale.names[-1]]
    value = LeavingBackEnd("engine-1")
    actions = node.membership.publish(kind, value.back_end, value, scale.cluster.now)
    scale.cluster.act(node, actions)
    return scale.seconds_until(
        lambda: scale.all_running(lambda other: bool(other.membership.entries(kind)))
    )


def _measure_restart(scale: ScaleCluster) -> float:
    name = scale.names[-2]
    scale.cluster.kill(name)
    scale.advance(1.0)
    scale.cluster.restart(name, scale.seeds)
    return scale.seconds_until(scale.cluster.agrees)


def _measure_failure(scale: ScaleCluster) -> float:
    scale.cluster.kill(scale.names[-2])
    return scale.seconds_until(scale.cluster.agrees)


def _measure_planned_stop(scale: ScaleCluster) -> float:
    scale.cluster.leave(scale.names[-3])
    return scale.seconds_until(scale.cluster.agrees)
