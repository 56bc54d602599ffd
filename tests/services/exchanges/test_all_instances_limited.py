"""Where all instances of a service have rate limits, requests use them and wait by rank."""

import random

import msgspec
import trio
import trio.testing

from hopstep.ports.node_exchange import LIMIT_LIFTED, LimitedInstance
from hopstep.ports.serving_directory import ConfigurationPublished
from tests.services.exchanges import exchange_world
from tests.services.exchanges.exchange_world import ExchangeWorld
from tests.services.exchanges.limits_case import INSTANCES, NODES, USED_SECONDS, LimitsCase

LIMITED_SHARE = 12.0 / 125.0
"""Share of all requests that is served: three instances accept 4 a second each, and requests of two
ranks arrive at 120 and 5 a second."""


class AllLimitedTest(LimitsCase):
    """All instances of a service have limits."""

    def make_limited(self):
        world = self.make_world()
        for server in world.instances.servers.values():
            server.work_seconds = 0.05
        return world

    def test_requests_are_served_up_to_the_limits_or_refused_as_not_run(self):
        world = self.make_limited()

        async def script(world):
            since = await self.announce_limit(world, 8.0, INSTANCES)
            answers = await self.load(world, USED_SECONDS)
            for instance_id in INSTANCES:
                self.check_bound(world, since, 8.0, instance_id)
                used = len(self.arrived(world, since, instance_id)) / (8.0 * USED_SECONDS)
                self.assertGreaterEqual(used, 0.9)
            refused = [answer for answer in answers if answer.error is not None]
            self.assertTrue(refused)
            self.assertTrue(all(answer.promised_not_run for answer in refused))
            self.assertTrue(all(answer.error.retry_after_seconds > 0 for answer in refused))

        world.run(script)

    def test_requests_wait_where_permits_come_most_often(self):
        """Without waiting requests, only their limits tell the instances apart."""
        world = self.make_limited()
        limits = {"i1": 0.3, "i2": 0.3, "i3": 12.0}

        async def script(world):
            for instance_id, limit in limits.items():
                await self.announce_limit(world, limit, (instance_id,))
            since = trio.current_time()
            await self.load(world, USED_SECONDS, every=0.4)
            used = len(self.arrived(world, since, "i3")) / (12.0 * USED_SECONDS)
            self.assertGreaterEqual(used, 0.9)

        world.run(script)

    def test_all_limits_are_used_where_few_requests_wait_at_each_node(self):
        """Few requests wait at each node; they must not all wait for the same instance."""
        limits = (4.0, 1.5, 1.5, 1.5, 0.3, 0.3)
        for seed in (1, 2, 3):
            with self.subTest(seed=seed):
                world = ExchangeWorld(nodes=NODES, zones=3, seed=seed)
                for number, limit in enumerate(limits):
                    world.add(f"i{number}").announced_limit = limit
                generator = random.Random(seed)

                async def script(world, generator=generator):
                    await self.load(world, 3.0)
                    since = trio.current_time()
                    async with trio.open_nursery() as nursery:
                        while trio.current_time() < since + USED_SECONDS:
                            node = generator.randrange(NODES)
                            nursery.start_soon(world.request, "unsafe", node)
                            await trio.sleep(generator.expovariate(20.0))
                    for number, limit in enumerate(limits[:4]):
                        used = len(self.arrived(world, since, f"i{number}"))
                        self.assertGreaterEqual(used / (limit * USED_SECONDS), 0.9)

                world.run(script)

    def test_requests_go_on_waiting_for_permits_after_the_limit_is_lifted(self):
        world = self.make_limited()

        async def script(world):
            await self.announce_limit(world, 0.0, INSTANCES)
            services = world.nodes[0]
            view = services.knowledge.table.get("i1")
            lifted = LimitedInstance(
                view.incarnation, LIMIT_LIFTED, request_age_ms=-1_000, response_age_ms=-1_000
            )
            with trio.fail_after(1.0):
                async with trio.open_nursery() as nursery:
                    for _waiter in range(20):
                        nursery.start_soon(services.limits.wait, [view], 0, float("inf"))
                    await trio.testing.wait_all_tasks_blocked()
                    services.notices.take_limit_report(lifted, "n1")
            self.assertFalse(view.announced_state.limit.is_set)
            self.assertEqual(view.announced_state.sends.claimed, 0)

        world.run(script)

    def test_what_waits_is_served_by_its_rank_and_now_and_then_by_its_age(self):
        world = self.make_limited()

        async def script(world):
            await self.announce_limit(world, 0.0, INSTANCES)
            await trio.sleep(5.0)
            limits = world.nodes[0].limits
            view = world.nodes[0].knowledge.table.get("i1")
            waiting = [7, 6, 5, 4, 3, 2, 1, 0]
            served = []

            async def wait(rank):
                await limits.wait([view], rank, trio.current_time() + 30.0)
                view.announced_state.sends.permits.take_one(trio.current_time())
                served.append(rank)

            async with trio.open_nursery() as nursery:
                for rank in waiting:
                    nursery.start_soon(wait, rank)
                    await trio.sleep(0.001)
                for _permit in range(len(waiting)):
                    limits.receive(view.incarnation, 1, trio.current_time() + 1.0)
                    await trio.sleep(0.001)
            by_age = 0
            for rank in served:
                self.assertIn(rank, (min(waiting), waiting[0]))
                by_age += rank != min(waiting)
                waiting.remove(rank)
            self.assertIn(by_age, (1, 2))

        world.run(script)

    def test_the_lowest_rank_is_served_too_while_a_higher_one_wants_all(self):
        routes = tuple(
            msgspec.structs.replace(route, priority=9 if route.name == "unsafe2" else 0)
            for route in exchange_world.ROUTES
        )
        world = self.make_limited()
        world.publish(ConfigurationPublished(exchange_world.configuration(2, routes)))

        async def script(world):
            await self.announce_limit(world, 4.0, INSTANCES)
            low = []

            async def send_low():
                low.append(await world.request("unsafe2", node=len(low) % NODES))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.load, world, USED_SECONDS)
                for _request in range(round(USED_SECONDS / 0.2)):
                    nursery.start_soon(send_low)
                    await trio.sleep(0.2)
            served = sum(answer.status == 200 for answer in low) / len(low)
            self.assertGreaterEqual(served, LIMITED_SHARE / 4)

        world.run(script)
