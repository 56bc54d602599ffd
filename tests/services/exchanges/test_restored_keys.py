"""Keys that were taken away before a restore, while the copy still shows them."""

import unittest

import trio

from hopstep.exceptions import ErrorCode
from hopstep.ports.serving_directory import ConfigurationPublished, InstanceListed
from tests.services.exchanges.exchange_world import BOUNDS, TENANTS, configuration
from tests.services.exchanges.restored_world import RestoredWorld

REVOCATION_SECONDS = BOUNDS.revocation_ms / 1_000
RESTATED_SECONDS = 1.9
"""Operators write what the copy lacks again so long after the store's return."""

SERVED_AGAIN_SECONDS = 4.0
"""Keys are served so long after the store's return where operators have nothing to write again: two
seconds that they may take, and two for the nodes to notice the return and to ask again."""

CONFIRMED_SECONDS = 2.0
"""The same where operators have written the configuration again."""

NODES = 6
SEEDS = (1, 2, 3)
WITHOUT_KEY = configuration(2, tenants=TENANTS[1:])


class RestoredKeysTest(unittest.TestCase):
    def run_world(self, script, seed):
        world = RestoredWorld(NODES, seed, zones=3)
        for number in range(3):
            world.add(f"i{number}")
        world.run(script)

    async def ask(self, world, ran, seconds, nodes=None):
        """Ask nodes with the key every so often; note when requests that ran had been sent."""
        until = trio.current_time() + seconds
        while trio.current_time() < until:
            for node in list(nodes or world.nodes):
                number = world.nodes.index(node)
                sent_at = trio.current_time()
                answer = await world.request("unsafe", node=number)
                if answer.status == 200:
                    ran.append(sent_at)
            await trio.sleep(0.1)

    async def restate(self, world):
        """Write the configuration again, as operators do."""
        await trio.sleep(RESTATED_SECONDS)
        world.publish(ConfigurationPublished(WITHOUT_KEY))

    def test_a_copy_confirms_a_key_whose_end_no_node_has_heard_of(self):
        # It ran up to 0.8 s beyond the bound.
        for seed in SEEDS:
            with self.subTest(seed=seed):

                async def script(world):
                    await trio.sleep(2.0)
                    copy = world.shared.model.backup()
                    world.go_away()
                    world.publish(ConfigurationPublished(WITHOUT_KEY))
                    revoked_at, ran = trio.current_time(), []
                    async with trio.open_nursery() as nursery:
                        nursery.start_soon(self.ask, world, ran, 3 * REVOCATION_SECONDS)
                        await trio.sleep(REVOCATION_SECONDS - RESTATED_SECONDS + 0.4)
                        world.come_back(copy)
                        await self.restate(world)
                    late = [at - revoked_at for at in ran if at > revoked_at + REVOCATION_SECONDS]
                    self.assertEqual(late, [])

                self.run_world(script, seed)

    async def lose_known_end(self, world):
        """Take a key away, let all nodes hear of it, and come back from a copy of before."""
        await trio.sleep(1.0)
        copy = world.shared.model.backup()
        world.publish(ConfigurationPublished(WITHOUT_KEY))
        await trio.sleep(3.0)
        return copy

    def test_a_node_that_starts_with_the_copy_serves_a_key_that_others_know_is_gone(self):
        # It served the key until operators had written the configuration again.
        for seed in SEEDS:
            with self.subTest(seed=seed):

                async def script(world):
                    await world.lose(await self.lose_known_end(world), 0.5)
                    ran = []
                    async with trio.open_nursery() as nursery:
                        nursery.start_soon(self.restate, world)
                        started = world.start_node(world.nursery, "n9", "z1")
                        await self.ask(world, ran, 2 * RESTATED_SECONDS, [started])
                    self.assertEqual(ran, [])

                self.run_world(script, seed)

    def test_a_node_that_starts_with_the_copy_learns_the_newer_configuration_from_others(self):
        # It refused requests with keys, or served by the older one, until it was written again.
        for seed in SEEDS:
            with self.subTest(seed=seed):

                async def script(world):
                    await world.lose(await self.lose_known_end(world), 0.5)
                    started = world.start_node(world.nursery, "n9", "z1")
                    await trio.sleep(0.5)
                    self.assertEqual(started.knowledge.current.version, 2)
                    answer = await world.request("unsafe", node=world.nodes.index(started))
                    self.assertEqual(answer.error.code, ErrorCode.INVALID_KEY)

                self.run_world(script, seed)

    def test_nodes_that_all_start_with_the_copy_serve_a_key_that_was_taken_away(self):
        # Nobody was left to tell them; they served it until it was taken away again.
        for seed in SEEDS:
            with self.subTest(seed=seed):

                async def script(world):
                    copy = await self.lose_known_end(world)
                    world.go_away()
                    world.kill_nodes()
                    world.come_back(copy)
                    ran = []
                    for number in range(NODES):
                        world.start_node(world.nursery, f"n{number}", f"z{1 + number % 3}")
                    async with trio.open_nursery() as nursery:
                        nursery.start_soon(self.restate, world)
                        await self.ask(world, ran, 2 * RESTATED_SECONDS)
                    self.assertEqual(ran, [])

                self.run_world(script, seed)

    def test_keys_are_served_again_where_nothing_is_written_again(self):
        # Nothing tells then that operators are done: the time that they may take must do.
        for seed in SEEDS:
            for restarts in (False, True):
                with self.subTest(seed=seed, restarts=restarts):

                    async def script(world, restarts=restarts):
                        await trio.sleep(1.0)
                        await world.lose(world.shared.model.backup())
                        if restarts:
                            world.kill_nodes()
                            for number in range(NODES):
                                world.start_node(world.nursery, f"n{number}")
                        await trio.sleep(SERVED_AGAIN_SECONDS)
                        ran = []
                        await self.ask(world, ran, 0.05)
                        self.assertEqual(len(ran), NODES)

                    self.run_world(script, seed)

    def test_keys_are_served_at_once_when_the_configuration_is_written_again(self):
        # Requests were refused for up to two seconds although operators had shown all they had.
        for seed in SEEDS:
            with self.subTest(seed=seed):

                async def script(world):
                    await trio.sleep(1.0)
                    copy = world.shared.model.backup()
                    world.change_configuration()
                    await trio.sleep(2.0)
                    await world.lose(copy, 3.5)
                    world.publish(InstanceListed(world.listed["i0"]))
                    world.publish(ConfigurationPublished(configuration(world.version)))
                    await trio.sleep(CONFIRMED_SECONDS)
                    ran = []
                    await self.ask(world, ran, 0.05)
                    self.assertEqual(len(ran), NODES)

                self.run_world(script, seed)
