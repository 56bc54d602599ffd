"""Worlds of instances that announce rate limits."""

import unittest

import trio

from emulator.sliding_window import most_within
from tests.services.exchanges.exchange_world import ExchangeWorld

NODES = 6
INSTANCES = ("i1", "i2", "i3")
REQUEST_SECONDS = 0.05
"""Seconds between two requests at each node: 20 a second."""

SLOTS = 64
"""Slots of each instance: more than the load needs, so that only limits hold requests back."""

BUSY_SECONDS = 0.5
"""Seconds that a request takes at a busy instance: ten times as long as at an idle one."""

WINDOW_SECONDS = 4.0
REPORTED_SECONDS = 0.5
"""Seconds after an instance first announced its limit from which its requests are counted."""

USED_SECONDS = 20.0
"""Seconds over which the use of a limit is counted: some 30 requests at 1.5 a second."""


def allowed(limit):
    """Return the most requests that an instance with a limit may get within the window."""
    return 1.5 * limit * WINDOW_SECONDS + 5


class LimitsCase(unittest.TestCase):
    def make_world(self, nodes=NODES, zones=3, seed=1):
        world = ExchangeWorld(nodes=nodes, zones=zones, seed=seed)
        for instance_id in INSTANCES:
            world.add(instance_id, slots=SLOTS)
        for instance_id in INSTANCES[1:]:
            world.instances.servers[instance_id].work_seconds = BUSY_SECONDS
        return world

    async def load(self, world, seconds, nodes=None, name="unsafe", every=REQUEST_SECONDS):
        """Send requests to nodes for a time, and return the answers."""
        answers = []

        async def send(node):
            answers.append(await world.request(name, node=node))

        async with trio.open_nursery() as nursery:
            for _round in range(round(seconds / every)):
                for node in nodes or range(len(world.nodes)):
                    nursery.start_soon(send, node)
                await trio.sleep(every)
        return answers

    async def announce_limit(self, world, limit, instances=("i1",)):
        """Let instances announce a limit to nodes; return from when on requests are counted."""
        for instance_id in instances:
            world.instances.servers[instance_id].announced_limit = limit
        await self.load(world, 2 * REPORTED_SECONDS)
        return trio.current_time()

    def arrived(self, world, since, instance_id="i1"):
        """Return the arrival times of requests at an instance since a given time."""
        return [at for at in world.instances.servers[instance_id].arrived_at if at >= since]

    def check_bound(self, world, since, limit, instance_id="i1"):
        arrived = self.arrived(world, since, instance_id)
        self.assertLessEqual(most_within(arrived, WINDOW_SECONDS), allowed(limit))
