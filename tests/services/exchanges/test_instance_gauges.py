"""Operators see which instances are full, unresponsive, slow or short of memory."""

import unittest

import trio
from prometheus_client import generate_latest

from hopstep.domain.exchanges.load_ledger import InstanceLoad
from hopstep.services.exchanges.instance_gauges import MAX_LISTED_INSTANCES
from tests.services.exchanges.exchange_world import ExchangeWorld


class InstanceGaugesTest(unittest.TestCase):
    def scrape(self, world):
        text = generate_latest(world.nodes[0].registry).decode()
        lines = [line.rpartition(" ") for line in text.splitlines() if line[0] != "#"]
        return {name: float(value) for name, _space, value in lines}

    def test_the_state_of_instances_is_shown(self):
        async def script(world):
            now = trio.current_time()
            table = world.nodes[0].knowledge.table
            table.get("e0").rejected_as_full(now)
            table.get("e1").failed(now, unreachable=True)
            busy = table.get("e2")
            busy.set_load_of_others(InstanceLoad("e2", 7, 0, 1, used_tokens=9_000), now)
            busy.slowness = 2.5
            shown = self.scrape(world)
            self.assertEqual(shown["hopstep_full_instances"], 1)
            self.assertEqual(shown["hopstep_unresponsive_instances"], 1)
            self.assertEqual(shown["hopstep_avoided_instances"], 1)
            self.assertEqual(shown['hopstep_instance_free_places{instance="e2"}'], 1)
            self.assertEqual(shown['hopstep_instance_used_tokens{instance="e2"}'], 9_000)
            self.assertEqual(shown['hopstep_instance_slowness{instance="e2"}'], 2.5)

        world = ExchangeWorld()
        for number in range(3):
            world.add(f"e{number}", "llm")
        world.run(script)

    def test_a_scrape_is_bounded_and_has_the_instances_with_the_least_capacity(self):
        """Thousands of instances would make a scrape of megabytes."""

        async def script(world):
            world.nodes[0].knowledge.table.get("e99").active = 5
            names = [name for name in self.scrape(world) if "instance_free_places{" in name]
            self.assertEqual(len(names), MAX_LISTED_INSTANCES)
            self.assertIn('hopstep_instance_free_places{instance="e99"}', names)

        world = ExchangeWorld()
        for number in range(100):
            world.add(f"e{number}", "llm")
        world.run(script)
