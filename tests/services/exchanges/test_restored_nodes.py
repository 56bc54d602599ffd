"""Entries of nodes that a backup lacks or has in an older state: they are kept and rewritten."""

import unittest

import trio

from hopstep.adapters import key_value_store_wire as wire
from hopstep.services.exchanges.directory.records import NODES_PREFIX, decode_node
from tests.services.exchanges.restored_world import RestoredWorld

NODES = 6
SEEDS = (1, 2, 3)
WRITTEN_AGAIN_SECONDS = 3.0
"""Time from the store's return until it has the entries of all nodes again."""


class RestoredNodesTest(unittest.TestCase):
    def run_world(self, script, seed):
        """Run a script with six nodes and a backup of the store from before they registered."""

        async def start(world):
            empty = world.shared.model.backup()
            for number in range(NODES):
                world.start_node(world.nursery, f"n{number}", f"z{1 + number % 3}")
            await trio.sleep(2.0)
            await script(world, empty)

        world = RestoredWorld(0, seed, zones=3)
        world.add("i0")
        world.run(start)

    def stored(self, world):
        """Return the nodes' records in the store, by name."""
        page = world.shared.model.apply(wire.List(NODES_PREFIX), trio.current_time())
        return {item.key.removeprefix(NODES_PREFIX): decode_node(item.value) for item in page}

    def test_too_few_nodes_are_counted_after_a_restore(self):
        # Fault: each node takes more than its part of the shared budgets, quotas and limits.
        for seed in SEEDS:
            with self.subTest(seed=seed):

                async def script(world, empty):
                    counts = set()
                    world.start_store(empty)
                    until = trio.current_time() + WRITTEN_AGAIN_SECONDS
                    while trio.current_time() < until:
                        counts |= {node.knowledge.count_nodes() for node in world.nodes}
                        await trio.sleep(0.05)
                    self.assertEqual(counts, {NODES})
                    self.assertEqual(len(self.stored(world)), NODES)
                    await trio.sleep(10.0)
                    self.assertEqual(
                        {node.knowledge.count_nodes() for node in world.nodes}, {NODES}
                    )

                self.run_world(script, seed)

    def test_messages_of_a_node_are_rejected_by_the_key_that_it_had_before(self):
        # Fault: its queries and answers are dropped until it registers again, minutes later.
        for seed in SEEDS:
            with self.subTest(seed=seed):

                async def script(world, _empty):
                    backup = world.shared.model.backup()
                    before = self.stored(world)
                    world.kill_nodes()
                    for number in range(NODES):
                        node = world.start_node(
                            world.nursery, f"n{number}", f"z{1 + number % 3}", key_suffix=" anew"
                        )
                        self.assertNotEqual(node.knowledge.record.key, before[f"n{number}"].key)
                    await trio.sleep(2.0)
                    own = {node.knowledge.name: node.knowledge.record.key for node in world.nodes}
                    world.start_store(backup)
                    until = trio.current_time() + WRITTEN_AGAIN_SECONDS
                    while trio.current_time() < until:
                        for node in world.nodes:
                            known = {name: r.key for name, r in node.knowledge.nodes.items()}
                            self.assertEqual(known, own)
                        await trio.sleep(0.05)
                    stored = {name: record.key for name, record in self.stored(world).items()}
                    self.assertEqual(stored, own)

                self.run_world(script, seed)
