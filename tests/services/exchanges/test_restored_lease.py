"""One node at a time orders engines, and they accept its orders, also after a store restore."""

import unittest

import trio

from tests.services.exchanges.exchange_world import BOUNDS, MODEL
from tests.services.exchanges.restored_world import RestoredWorld

LEASE_SECONDS = BOUNDS.lease_ms / 1_000
WEIGHTS_SECONDS = BOUNDS.weights_ms / 1_000
SAMPLE_SECONDS = 0.02
LOST_CHANGES = 30
ENGINES = 4
NODES = 3
SEEDS = (1, 2, 3)


class RestoredLeaseTest(unittest.TestCase):
    def run_world(self, script, seed):
        world = RestoredWorld(0, seed, zones=1)
        for number in range(ENGINES):
            world.add(f"e{number}", "llm")
        world.run(script)

    async def start_nodes(self, world):
        """Start the nodes, and return the first one that may order."""
        for number in range(NODES):
            world.start_node(world.nursery, f"n{number}")
        return await self.wait_holder(world)

    async def wait_holder(self, world, other_than=None):
        """Wait for a node that may order, and return it."""
        while True:
            for node in world.nodes:
                if node is not other_than and node.lease.may_order:
                    return node
            await trio.sleep(SAMPLE_SECONDS)

    def set_reachable(self, world, node, *, reachable):
        """Set whether a node can reach the store."""
        world.directories[world.nodes.index(node)].down = not reachable
        node.lease._store.cut_off = not reachable

    async def check_single_holder(self, world, seconds):
        """Check that no two nodes may order within one lease duration of each other."""
        ordered_at = {}
        until = trio.current_time() + seconds
        while (now := trio.current_time()) < until:
            for node in world.nodes:
                if not node.lease.may_order:
                    continue
                ordered_at[node.knowledge.name] = now
                others = [at for name, at in ordered_at.items() if name != node.knowledge.name]
                self.assertLess(max(others, default=-LEASE_SECONDS), now - LEASE_SECONDS + 0.1)
            await trio.sleep(SAMPLE_SECONDS)

    def test_an_earlier_holder_goes_on_by_its_restored_key_beside_the_later_one(self):
        # Fault: two nodes order engines at the same time.
        for seed in SEEDS:
            with self.subTest(seed=seed):

                async def script(world):
                    earlier = await self.start_nodes(world)
                    backup = world.shared.model.backup()
                    self.set_reachable(world, earlier, reachable=False)
                    later = await self.wait_holder(world, earlier)
                    await trio.sleep(LEASE_SECONDS)
                    world.start_store(backup)
                    self.set_reachable(world, later, reachable=False)
                    earlier.lease._store.cut_off = False
                    await self.check_single_holder(world, 4 * LEASE_SECONDS)

                self.run_world(script, seed)

    def test_a_holder_renews_a_lease_whose_number_is_given_to_another_node(self):
        # Fault: it still orders although its key is gone and another node holds the lease.
        for seed in SEEDS:
            with self.subTest(seed=seed):

                async def script(world):
                    backup = world.shared.model.backup()
                    holder = await self.start_nodes(world)
                    world.start_store(backup)
                    for _ in range(ENGINES * NODES):
                        await holder.lease._store.grant_lease(600.0)
                    await self.check_single_holder(world, 4 * LEASE_SECONDS)

                self.run_world(script, seed)

    def test_orders_after_a_restore_have_lower_tokens_than_engines_have_seen(self):
        # Fault: engines refuse them, and keep running old weights.
        for seed in SEEDS:
            with self.subTest(seed=seed):

                async def script(world):
                    backup = world.shared.model.backup()
                    world.change_configuration(LOST_CHANGES)
                    await self.start_nodes(world)
                    world.name_weights(2)
                    await trio.sleep(WEIGHTS_SECONDS)
                    await world.restore_after_outage(backup)
                    world.change_configuration()
                    await trio.sleep(1.0)
                    world.name_weights(3)
                    await trio.sleep(WEIGHTS_SECONDS)
                    for server in world.instances.servers.values():
                        tokens = [order.fencing_token for _, order in server.orders]
                        self.assertEqual(tokens, sorted(tokens))
                        self.assertEqual(server.versions, {MODEL: 3})

                self.run_world(script, seed)
