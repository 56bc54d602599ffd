"""Retry advice for refused clients, on nodes with emulated ports."""

import unittest

import structlog
import trio

from emulator.exchange_platform.emulated_instance import Behaviour
from hopstep.exceptions import ErrorCode
from tests.services.exchanges.exchange_world import ExchangeWorld


class RetryAdvisorTest(unittest.TestCase):
    def run_world(self, script, nodes=1, instances=("p0", "p1")):
        world = ExchangeWorld(nodes)
        for name in instances:
            world.add(name)
        world.run(script)

    async def refused(self, world, route="unsafe", node=0):
        """Return a refused request's error, and the logged reason of its retry advice."""
        with structlog.testing.capture_logs() as lines:
            answer = await world.request(route, node=node)
        self.assertTrue(answer.promised_not_run)
        logged = next(line for line in lines if line["number"] in ("HS3101", "HS3102"))
        self.assertAlmostEqual(
            logged["retry_after_ms"], 1_000 * answer.error.retry_after_seconds, delta=1
        )
        return answer.error, logged["retry_reason"]

    def test_a_node_that_stops_sends_clients_elsewhere_at_once(self):
        async def script(world):
            world.nodes[0].lifecycle.stop()
            await trio.sleep(6.0)
            error, reason = await self.refused(world)
            self.assertEqual((error.code, reason), (ErrorCode.STOPPING, "other_node"))
            self.assertLess(error.retry_after_seconds, 0.1)

        self.run_world(script)

    def test_an_instance_that_refuses_while_another_is_free(self):
        async def script(world):
            for server in world.instances.servers.values():
                server.behaviour = Behaviour.REJECT
            error, reason = await self.refused(world)
            self.assertEqual(reason, "other_instance")
            self.assertLess(error.retry_after_seconds, 0.1)

        self.run_world(script)

    def test_a_store_that_is_away_for_all_is_told_apart_from_a_node_that_is_cut_off(self):
        for alone, expected in ((False, "store_away"), (True, "other_node")):
            with self.subTest(alone=alone):

                async def script(world, alone=alone, expected=expected):
                    for directory in world.directories:
                        directory.down = True
                    if alone:
                        world.network.isolate(world.nodes[0].knowledge.name)
                    await trio.sleep(6.0)
                    error, reason = await self.refused(world)
                    self.assertEqual((error.code, reason), (ErrorCode.ISOLATED, expected))

                self.run_world(script, nodes=3)

    def test_a_service_without_instances(self):
        async def script(world):
            error, reason = await self.refused(world, "stream")
            self.assertEqual((error.code, reason), (ErrorCode.OVERLOADED, "unknown"))
            self.assertGreater(error.retry_after_seconds, 0.3)

        self.run_world(script)
