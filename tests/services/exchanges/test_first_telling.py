"""A node that has just started sends few requests to limited instances, and refuses none.

Until other nodes have reported limits, it has to assume that each instance may have one. Without
any other node it must not: otherwise it refuses requests in its first 0.6 s while the only instance
is busy with the first one.
"""

import unittest

import trio

from tests.services.exchanges.exchange_world import SETTLING_SECONDS, ExchangeWorld

SLOW_SECONDS = 1.0


class FirstTellingTest(unittest.TestCase):
    def answers_of(self, world, count):
        """Return the answers to simultaneous requests at a node that has just started."""
        answers = []

        async def script(world):
            started = world.start_node(world.nursery, "n9")
            while started.knowledge.index is None:
                await started.knowledge.changed.wait()

            async def send():
                answers.append(await world.request("unsafe", node=len(world.nodes) - 1))

            async with trio.open_nursery() as nursery:
                for _request in range(count):
                    nursery.start_soon(send)

        world.run(script)
        return answers

    def test_requests_that_come_at_once_are_all_served(self):
        for nodes in (0, 3):
            with self.subTest(nodes=nodes):
                world = ExchangeWorld(nodes=nodes)
                world.add("i1", slots=64).work_seconds = SLOW_SECONDS
                answers = self.answers_of(world, 8)
                self.assertEqual([answer.status for answer in answers], [200] * 8)

    def test_a_limited_instance_is_sent_little_before_the_others_have_told_of_it(self):
        world = ExchangeWorld(nodes=3, zones=3)
        for number in range(4):
            world.add(f"i{number}", slots=64).work_seconds = 0.3
        server = world.instances.servers["i0"]
        server.announced_limit = 0.3

        async def script(world):
            for _round in range(10):
                for node in range(3):
                    world.nursery.start_soon(world.request, "unsafe", node)
                await trio.sleep(0.1)
            await trio.sleep(SETTLING_SECONDS)
            since = trio.current_time()
            started = world.start_node(world.nursery, "n9")
            while started.knowledge.index is None:
                await started.knowledge.changed.wait()
            async with trio.open_nursery() as nursery:
                for _request in range(16):
                    nursery.start_soon(world.request, "unsafe", 3)
            arrived = [at for at in server.arrived_at if at >= since]
            self.assertLessEqual(len(arrived), 2)

        world.run(script)
