"""Measures the cost of a store restore to a fleet, with two strategies of the nodes.

Strategy ``eras``: store positions contain the era, and nodes keep their view and report changes to
each other. Strategy ``anew``: at a new era each node drops its view of the directory and reads the
store, like a node that has just started.

    python -m tests.services.exchanges.restore_scale NODES SEED STRATEGY

prints one line of measures; docs/design/0031 has them. It isn't run as a test, as it takes minutes
at full size.
"""

import statistics
import sys
import time
from collections import Counter
from unittest import mock

import msgspec
import structlog
import trio

from hopstep.domain.store_position import NO_POSITION
from hopstep.ports.serving_directory import InstanceListed
from hopstep.services.exchanges.directory.knowledge import ServingKnowledge
from hopstep.services.exchanges.directory.records import NODES_PREFIX
from tests.services.exchanges.restored_world import RestoredWorld

INSTANCES = 12
SETTLED_SECONDS = 12.0
STEADY_SECONDS = 5.0
BACKUP_AGE_SECONDS = 4.0
REWRITTEN_SECONDS = 0.5
CHANGED_SECONDS = 3.0
WATCHED_SECONDS = 8.0
REQUEST_SPACING_SECONDS = 0.5
LATE_SECONDS = 0.5
SAMPLE_SECONDS = 0.05
PAGE_ENTRIES = 500


def start_with_empty_view(
    knowledge, position, source, losses, enter_era=ServingKnowledge._enter_era
):
    """Enter a later era with an empty view, like a node that has just started."""
    enter_era(knowledge, position, source, losses)
    knowledge.feed.__init__()
    knowledge.configuration.index = None
    knowledge.table.retain(set())
    knowledge.history.store_position = NO_POSITION


class Measured(msgspec.Struct):
    """Measures of one run."""

    learned: list[float] = []
    changed: list[float] = []
    calls: int = 0
    steady_calls: float = 0.0
    peak_writes: int = 0
    bytes_per_node: float = 0.0
    steady_bytes: float = 0.0
    answers: Counter = msgspec.field(default_factory=Counter)


async def watch_nodes(world, times, condition):
    """Record the seconds until a condition first holds at each node."""
    since = trio.current_time()
    missing = set(range(len(world.nodes)))
    while missing:
        for number in sorted(missing):
            if condition(world.nodes[number].knowledge):
                times.append(trio.current_time() - since)
                missing.discard(number)
        await trio.sleep(SAMPLE_SECONDS)


async def send_requests(world, number, found):
    """Send requests to a node at a fixed interval, and count their outcomes."""
    await trio.sleep(REQUEST_SPACING_SECONDS * number / len(world.nodes))
    while True:
        sent_at = trio.current_time()
        answer = await world.request("safe", node=number)
        late = trio.current_time() - sent_at > LATE_SECONDS
        refused = answer.error.code.value if answer.error is not None else ""
        found.answers[refused or ("late" if late else "served")] += 1
        await trio.sleep(REQUEST_SPACING_SECONDS)


async def count_writes(world, found):
    """Record the highest number of node entries written within one second."""
    model = world.shared.model
    while True:
        before = model.revision
        await trio.sleep(1.0)
        written = model.changes(NODES_PREFIX, before).values
        found.peak_writes = max(found.peak_writes, len(written))


async def measure(world, found):
    """Restore the store once, while all nodes receive requests."""
    await trio.sleep(SETTLED_SECONDS)
    async with trio.open_nursery() as nursery:
        for number in range(len(world.nodes)):
            nursery.start_soon(send_requests, world, number, found)
        await restore(world, found)
        nursery.cancel_scope.cancel()


async def restore(world, found):
    """Measure the fleet in steady state, then after a restore of the store from a backup."""
    await trio.sleep(REQUEST_SPACING_SECONDS)
    calls, sent = world.calls, world.network.bytes
    await trio.sleep(STEADY_SECONDS)
    found.steady_calls = (world.calls - calls) / STEADY_SECONDS
    steady = (world.network.bytes - sent) / STEADY_SECONDS / len(world.nodes)
    found.steady_bytes = steady
    found.answers.clear()
    backup = world.shared.model.backup()
    for _ in range(4):
        world.change_configuration()
        await trio.sleep(BACKUP_AGE_SECONDS / 4)
    await world.restore_after_outage(backup)
    calls, sent = world.calls, world.network.bytes
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            watch_nodes, world, found.learned, lambda k: k.store_position.era == 1 and k.index
        )
        nursery.start_soon(count_writes, world, found)
        await trio.sleep(REWRITTEN_SECONDS)
        world.publish(InstanceListed(world.listed["i0"]))
        world.change_configuration()
        await trio.sleep(CHANGED_SECONDS - REWRITTEN_SECONDS)
        world.change_configuration()
        version = world.version
        nursery.start_soon(
            watch_nodes,
            world,
            found.changed,
            lambda k: k.index is not None and k.current.version >= version,
        )
        await trio.sleep(WATCHED_SECONDS - CHANGED_SECONDS)
        nursery.cancel_scope.cancel()
    found.calls = world.calls - calls
    spent = world.network.bytes - sent
    found.bytes_per_node = spent / WATCHED_SECONDS / len(world.nodes)


def run(nodes, seed, strategy):
    """Run one fleet and print its measures."""
    found = Measured()
    world = RestoredWorld(nodes, seed, zones=3)
    for number in range(INSTANCES):
        world.add(f"i{number}", zone=f"z{1 + number % 3}")
    began = time.process_time()
    patched = mock.patch.object(ServingKnowledge, "_enter_era", start_with_empty_view)
    if strategy == "anew":
        patched.start()
    world.run(lambda world: measure(world, found))
    print(
        f"{nodes} nodes, seed {seed}, {strategy}: learned {_spread(found.learned, nodes)}; "
        f"change in force {_spread(found.changed, nodes)}; "
        f"{found.calls} calls in {WATCHED_SECONDS:.0f} s (steady {found.steady_calls:.1f}/s); "
        f"own entries {found.peak_writes}/s at most; {found.bytes_per_node:.0f} B/s a node "
        f"(steady {found.steady_bytes:.0f}); requests {dict(found.answers)}; "
        f"{time.process_time() - began:.0f} s of processor time",
        flush=True,
    )


def _spread(times, nodes):
    """Return the median and the longest of some times, and the number of missing nodes."""
    missing = nodes - len(times)
    text = f"{statistics.median(times):.2f}, {max(times):.2f} s" if times else "never"
    return text + (f", {missing} missing" if missing else "")


if __name__ == "__main__":
    structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
    run(int(sys.argv[1]), int(sys.argv[2]), sys.argv[3])
