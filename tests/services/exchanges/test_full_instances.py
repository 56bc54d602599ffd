"""What makes an instance count as full, and what becomes of requests while all are."""

import unittest

import structlog
import trio

from emulator.exchange_platform.emulated_instance import Behaviour
from hopstep.domain.exchanges.instance_capacity import FIRST_FULL_SECONDS
from tests.services.exchanges.exchange_world import ExchangeWorld


class FullInstancesTest(unittest.TestCase):
    def run_world(self, script, nodes=1, count=2):
        world = ExchangeWorld(nodes)
        for number in range(count):
            world.add(f"p{number}")
        world.run(script)

    def views(self, world, node=0):
        return list(world.nodes[node].knowledge.table)

    def full(self, world):
        now = trio.current_time()
        return [view for view in self.views(world) if view.is_full(now)]

    def test_a_rejection_makes_an_instance_full_at_all_nodes(self):
        async def script(world):
            world.instances.servers["p0"].behaviour = Behaviour.REJECT
            with structlog.testing.capture_logs() as lines:
                await world.request("unsafe")
            self.assertEqual(len(self.full(world)), 1)
            avoided = set()
            for _ in range(60):
                await trio.sleep(0.01)
                now = trio.current_time()
                avoided |= {n for n in (1, 2) if self.views(world, n)[0].avoided_by(now)}
            self.assertEqual(avoided, {1, 2})
            self.assertEqual([line["event"] for line in lines].count("instance_full"), 1)
            self.assertEqual(self.full(world), [])

        self.run_world(script, nodes=3, count=1)

    def test_a_rejection_for_another_reason_does_not(self):
        """Otherwise an instance would get nothing after its backoff or its load of weights."""

        async def script(world):
            server = world.instances.servers["p0"]
            server.requested_backoff_seconds = 0.1
            await world.request("unsafe")
            self.assertEqual(self.full(world), [])
            server.requested_backoff_seconds = 0.0
            await trio.sleep(2.0)
            server.behaviour = Behaviour.REPLACED
            await world.request("unsafe")
            self.assertEqual(self.full(world), [])

        self.run_world(script, count=1)

    def test_an_engine_that_loads_weights_is_not_full(self):
        async def script(world):
            server = world.instances.servers["e0"]
            server.behaviour = Behaviour.REJECT
            view = world.nodes[0].knowledge.table.get("e0")
            view.loading_until = trio.current_time() + 1.0
            await world.request("stream")
            self.assertGreater(server.arrivals, 0)
            self.assertFalse(view.is_full(trio.current_time()))

        world = ExchangeWorld()
        world.add("e0", "llm")
        world.run(script)

    def test_requests_wait_while_all_instances_are_full(self):
        """Otherwise they would be sent to one of them, and rejected."""

        async def script(world):
            for server in world.instances.servers.values():
                server.work_seconds = 1.0
            async with trio.open_nursery() as nursery:
                for _ in self.views(world):
                    nursery.start_soon(world.request, "unsafe")
                await trio.sleep(0.1)
                for view in self.views(world):
                    view.rejected_as_full(trio.current_time())
                sent = len(world.instances.calls)
                nursery.start_soon(world.request, "unsafe")
                await trio.sleep(FIRST_FULL_SECONDS - 0.01)
                self.assertEqual(len(world.instances.calls), sent)
                await trio.sleep(0.2)
                self.assertEqual(len(world.instances.calls), sent + 1)

        self.run_world(script)
