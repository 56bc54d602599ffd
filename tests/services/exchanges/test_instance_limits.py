"""A limit that an instance names binds all nodes together.

Two of nine instances of a service were in need and named in every answer how much they take from
all nodes together: 1.7 and 1.4 requests a second. Nodes passed these answers on and went on as
before. Within the four seconds from half a second after it had been told, one instance got 16
requests of those nodes, where one and a half times its limit and five more, 15, are allowed; the
other one got 14 where 13 are. Two nodes of its zone sent nearly all of them, 24 and 26 of 54. The
word was read nowhere: the logs of that time show requests to both instances like any other
(``exchange_ended``, ``attempts: 1``, ``outcome: 200``), as many after the word as before it.
"""

import unittest

import trio

from emulator.sliding_window import most_within
from tests.services.exchanges.exchange_world import ExchangeWorld

NODES = 6
INSTANCES = ("i1", "i2", "i3")
REQUEST_SECONDS = 0.05
"""Between two requests at each node: 20 a second."""

BUSY_SECONDS = 0.5
"""Time of a request at an instance that is busy: ten times that of an idle one."""

WINDOW_SECONDS = 4.0
TOLD_SECONDS = 0.5
"""From so long after an instance first named its limit, what it gets is counted."""


def allowed(limit):
    """Return how many requests an instance with a limit may get within the window."""
    return 1.5 * limit * WINDOW_SECONDS + 5


class LimitsCase(unittest.TestCase):
    def make_world(self, nodes=NODES, zones=3, seed=1):
        world = ExchangeWorld(nodes=nodes, zones=zones, seed=seed)
        for instance_id in INSTANCES:
            world.add(instance_id)
        for instance_id in INSTANCES[1:]:
            world.instances.servers[instance_id].work_seconds = BUSY_SECONDS
        return world

    async def load(self, world, seconds, nodes=None, name="unsafe"):
        """Send requests to nodes for a time, and return the answers."""
        answers = []

        async def send(node):
            answers.append(await world.request(name, node=node))

        async with trio.open_nursery() as nursery:
            for _round in range(round(seconds / REQUEST_SECONDS)):
                for node in nodes or range(len(world.nodes)):
                    nursery.start_soon(send, node)
                await trio.sleep(REQUEST_SECONDS)
        return answers


class InstanceLimitsTest(LimitsCase):
    def test_an_instance_that_names_a_limit_gets_no_more_from_all_nodes_together(self):
        for limit in (0.3, 1.5, 8.0):
            with self.subTest(limit=limit):
                world = self.make_world()

                async def script(world, limit=limit):
                    server = world.instances.servers["i1"]
                    await self.load(world, 1.0)
                    server.names_limit = limit
                    named_at = trio.current_time()
                    await self.load(world, TOLD_SECONDS + 3 * WINDOW_SECONDS)
                    arrived = [at for at in server.arrived_at if at >= named_at + TOLD_SECONDS]
                    self.assertLessEqual(most_within(arrived, WINDOW_SECONDS), allowed(limit))

                world.run(script)
