"""A rate limit that an instance announces holds for all nodes together until it is lifted."""

import itertools
import random
import unittest

import msgspec
import trio
import trio.testing

from emulator.sliding_window import most_within
from hopstep.ports.node_exchange import LIMIT_LIFTED, LimitedInstance
from hopstep.ports.serving_directory import ConfigurationPublished, InstanceRemoved
from tests.services.exchanges import exchange_world
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

LIMITED_SHARE = 12.0 / 125.0
"""Share of all requests that is served: three instances accept 4 a second each, and requests of two
ranks arrive at 120 and 5 a second."""

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


class LimitedEnginesTest(LimitsCase):
    """Engines under limits still load named weights."""

    def test_an_engine_that_takes_nothing_loads_named_weights(self):
        world = ExchangeWorld(nodes=3, zones=3)
        for number in range(3):
            world.add(f"e{number}", "llm")

        async def script(world):
            server = world.instances.servers["e0"]
            await trio.sleep(3.0)
            server.announced_limit = 0.0
            await self.load(world, 2.0, name="stream")
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
            server = world.instances.servers["e0"]
            await trio.sleep(3.0)
            server.announced_limit = 0.0
            await self.load(world, 2.0, name="stream")
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
            server = world.instances.servers["e0"]
            await trio.sleep(3.0)
            server.announced_limit = 0.0
            await self.load(world, 2.0, name="stream")
            world.name_weights(2)
            await trio.sleep(2 * WINDOW_SECONDS)
            server.announced_limit = None
            world.name_weights(3)
            await self.load(world, 3 * WINDOW_SECONDS, name="stream")
            self.assertEqual(server.versions, {"m": 3})
            for services in world.nodes:
                self.assertFalse(services.knowledge.table.get("e0").announced_state.limit.is_set)

        world.run(script)


class UnneededInstanceTest(LimitsCase):
    """A limited instance that is never the best choice, since the others answer sooner."""

    OUTDATED_SECONDS = 2.0
    PERMIT_SECONDS = 1.0
    NODES_PER_SECOND = 50.0

    def run_limited(self, limit, nodes, script, asking_nodes=None):
        world = ExchangeWorld(nodes=nodes, zones=3)
        for instance_id in INSTANCES:
            world.add(instance_id, slots=SLOTS)

        async def limited(world):
            server = world.instances.servers["i1"]
            await self.load(world, 1.0, every=0.1)
            server.work_seconds = BUSY_SECONDS
            server.announced_limit = limit
            announced_at = trio.current_time()
            await self.load(world, 2 * WINDOW_SECONDS, asking_nodes, every=0.1)
            self.check_bound(world, announced_at + REPORTED_SECONDS, limit)
            await script(world)

        world.run(limited)

    def detected_within(self, limit, nodes):
        """Return the time within which a lifted limit is detected while requests arrive."""
        outdated = self.OUTDATED_SECONDS + nodes / self.NODES_PER_SECOND
        return outdated + self.PERMIT_SECONDS + 1 / max(limit, 0.25)

    def test_an_instance_stays_unused_after_its_limit_is_lifted(self):
        for limit, nodes in itertools.product((0.0, 2.3, 60.0), (1, 6, 24)):
            for asking_nodes in (None, [nodes - 1]):
                with self.subTest(limit=limit, nodes=nodes, asking_nodes=asking_nodes):

                    async def script(world, limit=limit, nodes=nodes, asking_nodes=asking_nodes):
                        world.instances.servers["i1"].announced_limit = None
                        seconds = self.detected_within(limit, nodes)
                        await self.load(world, seconds, asking_nodes, every=0.1)
                        await trio.sleep(REPORTED_SECONDS)
                        for services in world.nodes:
                            view = services.knowledge.table.get("i1")
                            self.assertFalse(
                                view.announced_state.limit.is_set, services.knowledge.name
                            )

                    self.run_limited(limit, nodes, script, asking_nodes)


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


class DoubtTest(LimitsCase):
    """A disturbed fleet never exceeds a limit."""

    LIMIT = 1.5

    def check_while(self, disturb, nodes=NODES, zones=3):
        """Check the bound while a world that keeps a limit is disturbed."""
        world = self.make_world(nodes, zones)

        async def script(world):
            since = await self.announce_limit(world, self.LIMIT)
            await self.load(world, WINDOW_SECONDS)
            await disturb(world)
            await self.load(world, 3 * WINDOW_SECONDS)
            self.check_bound(world, since, self.LIMIT)

        world.run(script)

    def test_nodes_that_do_not_hear_each_other(self):
        async def disturb(world):
            for number in range(NODES):
                world.network.isolate(f"n{number}")

        self.check_while(disturb)

    def test_a_fleet_in_two_halves(self):
        async def disturb(world):
            halves = ({0, 1, 2}, {3, 4, 5})
            for first, second in itertools.permutations(halves):
                world.network.cut |= {(f"n{a}", f"n{b}") for a in first for b in second}

        self.check_while(disturb)

    def test_a_relay_that_is_lost(self):
        async def disturb(world):
            world.network.isolate("n0")

        self.check_while(disturb, nodes=9)

    def test_messages_that_are_lost_repeated_and_late(self):
        async def disturb(world):
            world.network.loss = 0.3
            world.network.repeats = 0.3
            world.network.extra_delay_seconds = 0.3

        self.check_while(disturb)

    def test_a_store_that_is_away(self):
        async def disturb(world):
            for directory in world.directories:
                directory.down = True

        self.check_while(disturb)

    def test_nodes_that_start_anew(self):
        async def disturb(world):
            for number, scope in list(enumerate(world._node_scopes))[:3]:
                scope.cancel()
                name = f"n{number}"
                world.nodes[number] = world.start_node(
                    world.nursery, name, world._zone(number), f"127.0.0.1:{3 + number}"
                )
                world.nodes.pop()
                await self.load(world, 1.0)

        self.check_while(disturb)

    def test_a_fleet_that_shrinks(self):
        async def disturb(world):
            for scope in world._node_scopes[3:]:
                scope.cancel()
                await self.load(world, 1.0, nodes=(0, 1, 2))
            del world.nodes[3:]

        self.check_while(disturb)

    def test_a_fleet_that_grows(self):
        async def disturb(world):
            for number in range(10, 13):
                world.start_node(world.nursery, f"n{number}", "z1")
                await self.load(world, 0.5)

        self.check_while(disturb)
