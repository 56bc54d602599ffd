"""A rate limit that an instance announces holds for all nodes together until it is lifted."""

import itertools

import trio

from hopstep.ports.serving_directory import InstanceRemoved
from tests.services.exchanges.exchange_world import ExchangeWorld
from tests.services.exchanges.limits_case import (
    REPORTED_SECONDS,
    USED_SECONDS,
    WINDOW_SECONDS,
    LimitsCase,
    allowed,
)


class InstanceLimitsTest(LimitsCase):
    def test_an_instance_that_names_a_limit_gets_no_more_from_all_nodes_together(self):
        for limit in (0.3, 1.5, 8.0):
            with self.subTest(limit=limit):
                world = self.make_world()

                async def script(world, limit=limit):
                    server = world.instances.servers["i1"]
                    await self.load(world, 1.0)
                    server.announced_limit = limit
                    announced_at = trio.current_time()
                    await self.load(world, REPORTED_SECONDS + 3 * WINDOW_SECONDS)
                    self.check_bound(world, announced_at + REPORTED_SECONDS, limit)

                world.run(script)

    def test_nine_tenths_of_a_limit_are_used_while_the_instance_would_serve_best(self):
        for nodes, limit in itertools.product((3, 6, 24), (0.3, 1.5, 8.0)):
            with self.subTest(nodes=nodes, limit=limit):
                world = self.make_world(nodes)

                async def script(world, limit=limit, nodes=nodes):
                    since = await self.announce_limit(world, limit)
                    answers = await self.load(world, USED_SECONDS, every=0.02 * nodes)
                    used = len(self.arrived(world, since)) / (limit * USED_SECONDS)
                    self.assertGreaterEqual(used, 0.9)
                    self.check_bound(world, since, limit)
                    self.assertTrue(all(answer.status == 200 for answer in answers))

                world.run(script)

    def test_a_lifted_limit_binds_no_node_any_more(self):
        world = self.make_world()

        async def script(world):
            await self.announce_limit(world, 1.5)
            world.instances.servers["i1"].announced_limit = None
            await self.load(world, 3.0)
            for services in world.nodes:
                view = services.knowledge.table.get("i1")
                self.assertFalse(view.announced_state.limit.is_set, services.knowledge.name)
            since = trio.current_time()
            await self.load(world, 2.0)
            self.assertGreater(len(self.arrived(world, since)), 2 * allowed(1.5))

        world.run(script)

    def test_a_changed_limit_holds_at_once(self):
        for first, second in ((8.0, 1.5), (1.5, 8.0)):
            with self.subTest(first=first, second=second):
                world = self.make_world()

                async def script(world, first=first, second=second):
                    await self.announce_limit(world, first)
                    await self.load(world, WINDOW_SECONDS)
                    since = await self.announce_limit(world, second)
                    await self.load(world, USED_SECONDS)
                    self.check_bound(world, since, second)
                    used = len(self.arrived(world, since)) / (second * USED_SECONDS)
                    self.assertGreaterEqual(used, 0.8)

                world.run(script)

    def test_a_later_life_has_no_limit(self):
        world = self.make_world()

        async def script(world):
            await self.announce_limit(world, 0.3)
            server = world.restart("i1", born_ms=2)
            await trio.sleep(1.0)
            await self.load(world, 1.0)
            self.assertGreater(len(server.arrived_at), allowed(0.3))

        world.run(script)

    def test_the_limit_of_an_instance_that_has_ended_is_told_no_more(self):
        world = self.make_world(nodes=3)

        async def script(world):
            await self.announce_limit(world, 1.5)
            self.assertEqual(len(world.nodes[0].sharing.own_hints().limits), 1)
            world.instances.servers["i1"].end()
            world.publish(InstanceRemoved("i1"))
            await trio.sleep(90.0)
            for services in world.nodes:
                self.assertEqual(services.sharing.own_hints().limits, ())

        world.run(script)

    def test_a_limit_of_nothing_is_kept_and_its_end_is_found_out(self):
        world = self.make_world()

        async def script(world):
            since = await self.announce_limit(world, 0.0)
            await self.load(world, 4 * WINDOW_SECONDS)
            self.check_bound(world, since, 0.0)
            world.instances.servers["i1"].announced_limit = None
            await self.load(world, 3 * WINDOW_SECONDS)
            self.assertFalse(world.nodes[0].knowledge.table.get("i1").announced_state.limit.is_set)

        world.run(script)

    def test_a_node_that_has_just_started_keeps_to_it(self):
        world = self.make_world()

        async def script(world):
            since = await self.announce_limit(world, 1.5)
            started = world.start_node(world.nursery, "n9")
            await trio.sleep(1.0)
            self.assertEqual(
                started.knowledge.table.get("i1").announced_state.limit.per_second, 1.5
            )
            await self.load(world, 2 * WINDOW_SECONDS)
            self.check_bound(world, since, 1.5)

        world.run(script)

    def test_reports_and_orders_count_and_events_are_not_read(self):
        world = ExchangeWorld(nodes=3, zones=3)
        world.add("e0", "llm")

        async def script(world):
            server = world.instances.servers["e0"]
            await trio.sleep(3.0)
            server.announced_limit = 1.5
            await self.load(world, 1.0, name="stream")
            since = trio.current_time()
            reads = world.cache_events.reads[server.instance.address]
            world.name_weights(2)
            await self.load(world, 3 * WINDOW_SECONDS, name="stream")
            self.check_bound(world, since, 1.5, "e0")
            self.assertEqual(server.versions, {"m": 2})
            self.assertLessEqual(world.cache_events.reads[server.instance.address], reads + 1)

        world.run(script)
