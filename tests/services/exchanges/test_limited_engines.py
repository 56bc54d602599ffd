"""Engines under rate limits load named weights, and only the lease holder orders it."""

import trio

from tests.services.exchanges.exchange_world import ExchangeWorld
from tests.services.exchanges.limits_case import WINDOW_SECONDS, LimitsCase


class LimitedEnginesTest(LimitsCase):
    """Engines under limits still load named weights."""

    async def limit_to_nothing(self, world):
        """Let the first engine announce that it takes nothing; return it once all nodes know."""
        server = world.instances.servers["e0"]
        await trio.sleep(3.0)
        server.announced_limit = 0.0
        await self.load(world, 2.0, name="stream")
        return server

    def test_an_engine_that_takes_nothing_loads_named_weights(self):
        world = ExchangeWorld(nodes=3, zones=3)
        for number in range(3):
            world.add(f"e{number}", "llm")

        async def script(world):
            server = await self.limit_to_nothing(world)
            since = trio.current_time()
            world.name_weights(2)
            await self.load(world, 2 * WINDOW_SECONDS, name="stream")
            self.assertEqual(server.versions, {"m": 2})
            self.check_bound(world, since, 0.0, "e0")

        world.run(script)

    def test_a_holder_that_loses_its_lease_while_it_waits_orders_nothing(self):
        """A holder may lose its lease while it waits for a permit to call a limited engine."""
        world = ExchangeWorld(nodes=1)
        world.add("e0", "llm")
        world.add("e1", "llm")

        async def script(world):
            await self.limit_to_nothing(world)
            world.name_weights(2)
            [services] = world.nodes
            for _check in range(300):
                if services.limits.waits_for("e0"):
                    break
                await trio.sleep(0.01)
            self.assertTrue(services.limits.waits_for("e0"))
            services.lease.give_up("taken away")
            await trio.sleep(2 * WINDOW_SECONDS)
            await self.load(world, 1.0, name="stream")
            for engine in world.instances.servers.values():
                tokens = [order.fencing_token for _at, order in engine.received_orders]
                self.assertNotIn(0, tokens)

        world.run(script)

    def test_a_limit_that_was_lifted_while_an_engine_was_behind_is_found_out(self):
        world = ExchangeWorld(nodes=3, zones=3)
        world.add("e0", "llm")
        world.add("e1", "llm")

        async def script(world):
            server = await self.limit_to_nothing(world)
            world.name_weights(2)
            await trio.sleep(2 * WINDOW_SECONDS)
            server.announced_limit = None
            world.name_weights(3)
            await self.load(world, 3 * WINDOW_SECONDS, name="stream")
            self.assertEqual(server.versions, {"m": 3})
            for services in world.nodes:
                self.assertFalse(services.knowledge.table.get("e0").announced_state.limit.is_set)

        world.run(script)
