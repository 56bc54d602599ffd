"""Keys that were revoked before a restore and are still valid in the backup."""

import unittest

import trio

from hopstep.exceptions import ErrorCode
from hopstep.ports.serving_directory import ConfigurationPublished, InstanceListed
from tests.services.exchanges.exchange_world import BOUNDS, TENANTS, configuration
from tests.services.exchanges.restored_world import RestoredWorld

REVOCATION_SECONDS = BOUNDS.revocation_ms / 1_000
REWRITTEN_SECONDS = 1.9
"""Time from the store's return until operators rewrite what the backup lacks."""

SERVED_AGAIN_SECONDS = 4.0
"""Time from the store's return until keys are served again if operators rewrite nothing: two
seconds that operators may take, and two for the nodes to notice the return and to read again."""

CONFIRMED_SECONDS = 2.0
"""Time until keys are served again after operators have rewritten the configuration."""

NODES = 6
SEEDS = (1, 2, 3)
WITHOUT_KEY = configuration(2, tenants=TENANTS[1:])


class RestoredKeysTest(unittest.TestCase):
    def run_world(self, script, seed):
        world = RestoredWorld(NODES, seed, zones=3)
        for number in range(3):
            world.add(f"i{number}")
        world.run(script)

    async def send_requests(self, world, ran, seconds, nodes=None):
        """Send requests with the key periodically; record the sending times of those that ran."""
        until = trio.current_time() + seconds
        while trio.current_time() < until:
            for node in list(nodes or world.nodes):
                number = world.nodes.index(node)
                sent_at = trio.current_time()
                answer = await world.request("unsafe", node=number)
                if answer.status == 200:
                    ran.append(sent_at)
            await trio.sleep(0.1)

    async def rewrite_configuration(self, world):
        """Rewrite the configuration, as operators do."""
        await trio.sleep(REWRITTEN_SECONDS)
        world.publish(ConfigurationPublished(WITHOUT_KEY))

    def test_a_copy_confirms_a_key_whose_end_no_node_has_heard_of(self):
        # Fault: requests with the key run up to 0.8 s beyond the bound.
        for seed in SEEDS:
            with self.subTest(seed=seed):

                async def script(world):
                    await trio.sleep(2.0)
                    backup = world.shared.model.backup()
                    world.stop_store()
                    world.publish(ConfigurationPublished(WITHOUT_KEY))
                    revoked_at, ran = trio.current_time(), []
                    async with trio.open_nursery() as nursery:
                        nursery.start_soon(self.send_requests, world, ran, 3 * REVOCATION_SECONDS)
                        await trio.sleep(REVOCATION_SECONDS - REWRITTEN_SECONDS + 0.4)
                        world.start_store(backup)
                        await self.rewrite_configuration(world)
                    late = [at - revoked_at for at in ran if at > revoked_at + REVOCATION_SECONDS]
                    self.assertEqual(late, [])

                self.run_world(script, seed)

    async def revoke_and_back_up(self, world):
        """Revoke a key, and let all nodes receive that; return a backup from before."""
        await trio.sleep(1.0)
        backup = world.shared.model.backup()
        world.publish(ConfigurationPublished(WITHOUT_KEY))
        await trio.sleep(3.0)
        return backup

    def test_a_node_that_starts_with_the_copy_serves_a_key_that_others_know_is_gone(self):
        # Fault: it accepts the key until operators have rewritten the configuration.
        for seed in SEEDS:
            with self.subTest(seed=seed):

                async def script(world):
                    await world.restore_after_outage(await self.revoke_and_back_up(world), 0.5)
                    ran = []
                    async with trio.open_nursery() as nursery:
                        nursery.start_soon(self.rewrite_configuration, world)
                        started = world.start_node(world.nursery, "n9", "z1")
                        await self.send_requests(world, ran, 2 * REWRITTEN_SECONDS, [started])
                    self.assertEqual(ran, [])

                self.run_world(script, seed)

    def test_a_node_that_starts_with_the_copy_learns_the_newer_configuration_from_others(self):
        # Fault: until the rewrite it refuses requests with keys, or serves by the older version.
        for seed in SEEDS:
            with self.subTest(seed=seed):

                async def script(world):
                    await world.restore_after_outage(await self.revoke_and_back_up(world), 0.5)
                    started = world.start_node(world.nursery, "n9", "z1")
                    await trio.sleep(0.5)
                    self.assertEqual(started.knowledge.current.version, 2)
                    answer = await world.request("unsafe", node=world.nodes.index(started))
                    self.assertEqual(answer.error.code, ErrorCode.INVALID_KEY)

                self.run_world(script, seed)

    def test_nodes_that_all_start_with_the_copy_serve_a_key_that_was_taken_away(self):
        # Fault: no other node can report it, and they accept the key until it is revoked again.
        for seed in SEEDS:
            with self.subTest(seed=seed):

                async def script(world):
                    backup = await self.revoke_and_back_up(world)
                    world.stop_store()
                    world.kill_nodes()
                    world.start_store(backup)
                    ran = []
                    for number in range(NODES):
                        world.start_node(world.nursery, f"n{number}", f"z{1 + number % 3}")
                    async with trio.open_nursery() as nursery:
                        nursery.start_soon(self.rewrite_configuration, world)
                        await self.send_requests(world, ran, 2 * REWRITTEN_SECONDS)
                    self.assertEqual(ran, [])

                self.run_world(script, seed)

    def test_keys_are_served_again_where_nothing_is_written_again(self):
        # Nothing shows that operators are done, so nodes wait for the time that operators may take.
        for seed in SEEDS:
            for restarts in (False, True):
                with self.subTest(seed=seed, restarts=restarts):

                    async def script(world, restarts=restarts):
                        await trio.sleep(1.0)
                        await world.restore_after_outage(world.shared.model.backup())
                        if restarts:
                            world.kill_nodes()
                            for number in range(NODES):
                                world.start_node(world.nursery, f"n{number}")
                        await trio.sleep(SERVED_AGAIN_SECONDS)
                        ran = []
                        await self.send_requests(world, ran, 0.05)
                        self.assertEqual(len(ran), NODES)

                    self.run_world(script, seed)

    def test_keys_are_served_at_once_when_the_configuration_is_written_again(self):
        # Fault: requests are refused for up to two seconds although operators have rewritten all.
        for seed in SEEDS:
            with self.subTest(seed=seed):

                async def script(world):
                    await trio.sleep(1.0)
                    backup = world.shared.model.backup()
                    world.change_configuration()
                    await trio.sleep(2.0)
                    await world.restore_after_outage(backup, 3.5)
                    world.publish(InstanceListed(world.listed["i0"]))
                    world.publish(ConfigurationPublished(configuration(world.version)))
                    await trio.sleep(CONFIRMED_SECONDS)
                    ran = []
                    await self.send_requests(world, ran, 0.05)
                    self.assertEqual(len(ran), NODES)

                self.run_world(script, seed)
