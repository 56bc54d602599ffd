"""The prefill speed that one node observes is known to all, and to nodes that start later."""

import unittest

import structlog
import trio

from tests.services.exchanges.exchange_world import ExchangeWorld


class InstanceSpeedsTest(unittest.TestCase):
    def run_world(self, script, nodes=6):
        world = ExchangeWorld(nodes, zones=3)
        for number in range(3):
            world.add(f"e{number}", "llm", born_ms=5)
        world.run(script)

    def slowness(self, world, node=-1):
        return {
            view.instance.instance_id: view.slowness for view in world.nodes[node].knowledge.table
        }

    async def read_prompts(self, world):
        """Let one node observe long prompts at two of three engines: e0 takes six times as long."""
        views = [world.nodes[2].knowledge.table.get(name) for name in ("e0", "e1")]
        for view, tokens in zip(views, (60_000, 120_000), strict=True):
            view.begin("p", tokens, trio.current_time())
        for view, tokens, seconds in ((views[1], 120_000, 3.0), (views[0], 60_000, 6.0)):
            await trio.sleep(seconds)
            view.first_byte("p", tokens, trio.current_time(), shows_speed=True)
            view.end("p", tokens)
        await trio.sleep(1.7)

    def check_learned(self, slowness):
        """Check that the slow engine is known, and the median for the one without observations."""
        self.assertGreater(slowness["e0"], 1.5)
        self.assertLess(slowness["e1"], 1.0)
        self.assertEqual(slowness["e2"], 1.0)

    def test_all_nodes_learn_the_speed_that_one_observes(self):
        async def script(world):
            with structlog.testing.capture_logs() as lines:
                await self.read_prompts(world)
            for node in range(len(world.nodes)):
                self.check_learned(self.slowness(world, node))
                self.assertEqual(self.slowness(world, node), self.slowness(world, 2))
            logged = [line for line in lines if line["event"] == "instance_speed_changed"]
            self.assertIn("e0", {line["instance"] for line in logged})

        self.run_world(script)

    def test_a_node_that_starts_has_them_with_its_first_report(self):
        async def script(world):
            await self.read_prompts(world)
            world.start_node(world.nursery, "late")
            await trio.sleep(1.0)
            self.check_learned(self.slowness(world))

        self.run_world(script)

    def test_without_observations_all_are_as_fast(self):
        async def script(world):
            await self.read_prompts(world)
            await trio.sleep(12.0)
            self.assertEqual(set(self.slowness(world).values()), {1.0})

        self.run_world(script)

    def test_a_new_incarnation_starts_without_the_old_ones_speed(self):
        async def script(world):
            await self.read_prompts(world)
            world.restart("e0", 77)
            await trio.sleep(2.0)
            self.assertEqual(self.slowness(world), {"e0": 1.0, "e1": 1.0, "e2": 1.0})

        self.run_world(script)
