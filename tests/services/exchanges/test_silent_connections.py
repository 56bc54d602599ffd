"""Connections that stop delivering data while new ones work are abandoned within a bound."""

import unittest

import trio

from hopstep.ports.serving_directory import ConfigurationPublished
from tests.services.exchanges.exchange_world import ExchangeWorld, configuration

CONTACT_SECONDS = 3.0
"""Seconds after a reset of connections from which bounds hold again on deployments."""

BOUND_SECONDS = 2.0


class SilentConnectionsTest(unittest.TestCase):
    def run_world(self, script, nodes=1):
        world = ExchangeWorld(nodes)
        for number in range(2):
            world.add(f"p{number}")
        world.run(script)

    def test_a_call_that_hangs_keeps_no_node_from_the_store(self):
        for silent_at in (0.0, 0.3, 0.6):
            with self.subTest(silent_at=silent_at):

                async def script(world, silent_at=silent_at):
                    await trio.sleep(silent_at)
                    world.directories[0].silence_connections()
                    world.publish(ConfigurationPublished(configuration(2)))
                    await trio.sleep(BOUND_SECONDS)
                    self.assertEqual(world.nodes[0].knowledge.current.version, 2)

                self.run_world(script)

    def test_a_store_that_is_slower_than_usual_is_still_heard(self):
        async def script(world):
            world.directories[0].answer_seconds = 1.5
            await trio.sleep(4.0)
            world.publish(ConfigurationPublished(configuration(2)))
            await trio.sleep(4.0)
            self.assertEqual(world.nodes[0].knowledge.current.version, 2)

        self.run_world(script)

    def test_requests_that_may_run_once_are_served_again_on_new_connections(self):
        async def script(world):
            for instance in world.listed.values():
                world.instances.block_connections(instance.address)
            answers = []

            async def ask(number):
                await trio.sleep(0.1 * number)
                answers.append((trio.current_time(), await world.request("unsafe", patience=2.0)))

            silent_at = trio.current_time()
            async with trio.open_nursery() as nursery:
                for number in range(40):
                    nursery.start_soon(ask, number)
            late = [a for at, a in answers if at > silent_at + BOUND_SECONDS]
            self.assertEqual({answer.status for answer in late}, {200})
            for name in world.instances.servers:
                runs = [run.request_id for run in world.instances.servers[name].runs]
                self.assertEqual(len(runs), len(set(runs)))

        self.run_world(script)

    def test_nothing_is_dropped_while_instances_answer(self):
        async def script(world):
            for _ in range(20):
                await world.request("unsafe")
                await trio.sleep(0.1)
            self.assertEqual(world.instances.dropped, [])

        self.run_world(script)
