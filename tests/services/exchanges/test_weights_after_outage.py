"""Named weights become required at the right time after a store outage."""

import unittest
import unittest.mock

import trio

from hopstep.services.exchanges.weights.weights_rollout import WeightsRollout
from tests.services.exchanges.exchange_world import BOUNDS, ExchangeWorld

BOUND_SECONDS = BOUNDS.weights_ms / 1_000
OUTAGE_SECONDS = 5.0
NOTICED_SECONDS = 1.5
"""Time until all nodes notice the store's return; keys may be unconfirmed until then."""

USED_SECONDS = 4.5
"""Least time for which older weights serve after the store's return: the bound less its reserve
(6.5 s), and less the age of the last call that failed (2 s)."""

NODES = 3
SEEDS = range(1, 9)


class WeightsAfterOutageTest(unittest.TestCase):
    """No node loads engines in these tests."""

    def run_world(self, script, seed=1):
        world = ExchangeWorld(NODES, seed)
        for number in range(4):
            world.add(f"e{number}", "llm")
        with unittest.mock.patch.object(WeightsRollout, "_start_due"):
            world.run(script)

    async def send_requests(self, world, until, nodes=range(NODES)):
        """Send requests to nodes periodically; return statuses by time, None for refusals."""
        found = []
        while trio.current_time() < until:
            for node in nodes:
                found.append((await world.request("stream", node=node)).status)
            await trio.sleep(0.1)
        return found

    def check_no_old_run(self, world, since):
        """Check that no request has started on older weights after a time."""
        runs = [run for server in world.instances.servers.values() for run in server.runs]
        late = [run.at - since for run in runs if run.version < 2 and run.at > since]
        self.assertEqual(late, [])

    async def name_weights_in_outage(self, world, fault, nodes=range(NODES)):
        """Name weights in a store outage at some nodes; return the time of the store's return."""
        for node in nodes:
            setattr(world.directories[node], fault, True)
        await trio.sleep(0.5)
        world.name_weights(2)
        await trio.sleep(OUTAGE_SECONDS - 0.5)
        for node in nodes:
            setattr(world.directories[node], fault, False)
        return trio.current_time()

    def test_time_without_the_store_is_not_counted(self):
        for fault in ("down", "unresponsive"):
            with self.subTest(fault=fault):

                async def script(world, fault=fault):
                    returned_at = await self.name_weights_in_outage(world, fault)
                    await trio.sleep(NOTICED_SECONDS)
                    statuses = await self.send_requests(world, returned_at + USED_SECONDS)
                    self.assertEqual(set(statuses), {200})
                    statuses = await self.send_requests(world, returned_at + BOUND_SECONDS + 2.0)
                    self.assertIsNone(statuses[-1])
                    self.check_no_old_run(world, returned_at + BOUND_SECONDS)

                self.run_world(script)

    def test_a_node_that_started_without_the_store_does_not_count_that_time_either(self):
        async def script(world):
            for directory in world.directories:
                directory.down = True
            await trio.sleep(0.5)
            world.name_weights(2)
            await trio.sleep(1.0)
            world.start_node(world.nursery, "late")
            world.directories[-1].down = True
            await trio.sleep(OUTAGE_SECONDS - 1.5)
            for directory in world.directories:
                directory.down = False
            returned_at = trio.current_time()
            await trio.sleep(NOTICED_SECONDS)
            statuses = await self.send_requests(world, returned_at + USED_SECONDS, [NODES])
            self.assertEqual(set(statuses), {200})
            statuses = await self.send_requests(world, returned_at + BOUND_SECONDS + 2.0, [NODES])
            self.assertIsNone(statuses[-1])
            self.check_no_old_run(world, returned_at + BOUND_SECONDS)

        self.run_world(script)

    def test_a_node_that_started_while_the_store_answered_has_little_time_left(self):
        async def script(world):
            world.name_weights(2)
            named_at = trio.current_time()
            await trio.sleep(1.0)
            world.start_node(world.nursery, "late")
            await self.send_requests(world, named_at + BOUND_SECONDS + 2.0, [NODES])
            self.check_no_old_run(world, named_at + BOUND_SECONDS)

        self.run_world(script)

    def test_time_in_which_other_nodes_have_the_store_is_counted(self):
        async def script(world):
            named_at = trio.current_time() + 0.5
            await self.name_weights_in_outage(world, "down", nodes=[0])
            await self.send_requests(world, named_at + BOUND_SECONDS + 3.0)
            self.check_no_old_run(world, named_at + BOUND_SECONDS)

        self.run_world(script)

    def test_time_in_which_the_nodes_themselves_stood_still_is_counted(self):
        async def script(world):
            named_at = trio.current_time()
            world.name_weights(2)
            world.clock.jump(OUTAGE_SECONDS)
            await self.send_requests(world, named_at + BOUND_SECONDS + 3.0)
            self.check_no_old_run(world, named_at + BOUND_SECONDS)

        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.run_world(script, seed)
