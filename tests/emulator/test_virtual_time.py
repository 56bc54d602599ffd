"""A world on the virtual clock takes the same course with the same seed."""

import random
import unittest

import trio
from structlog.testing import capture_logs

from emulator.virtual_time import run_in_virtual_time
from tests.services.exchanges.exchange_world import ExchangeWorld

REQUESTS = 200


def order_of_tasks(seed):
    """Return the order in which tasks run that become ready at the same time."""
    order = []

    async def record(number):
        await trio.sleep(1.0)
        order.append(number)

    async def main():
        async with trio.open_nursery() as nursery:
            for number in range(20):
                nursery.start_soon(record, number)

    run_in_virtual_time(main, seed=seed)
    return order


def history(seed):
    """Return the events of a world under load in which an instance is killed halfway."""
    world = ExchangeWorld(nodes=3, seed=seed)
    for number in range(3):
        world.add(f"i{number}")
    generator = random.Random(seed)
    happened = []

    async def call(number):
        answer = await world.request("safe", node=generator.randrange(3))
        ended = (number, trio.current_time(), answer.status, answer.body, str(answer.error))
        happened.append(ended)

    async def script(world):
        async with trio.open_nursery() as nursery:
            for number in range(REQUESTS):
                nursery.start_soon(call, number)
                if number == REQUESTS // 2:
                    world.instances.servers["i0"].end()
                await trio.sleep(generator.expovariate(40.0))

    with capture_logs() as logs:
        world.run(script)
    arrivals = {name: server.arrived_at for name, server in world.instances.servers.items()}
    return happened, arrivals, logs


class VirtualTimeTest(unittest.TestCase):
    def test_the_order_of_tasks_follows_from_the_seed(self):
        self.assertEqual(order_of_tasks(1), order_of_tasks(1))
        self.assertNotEqual(order_of_tasks(1), order_of_tasks(2))

    def test_a_world_played_twice_has_the_same_history(self):
        for seed in (1, 2, 3):
            with self.subTest(seed=seed):
                self.assertEqual(history(seed), history(seed))
