"""Nodes that run late, without any cut, send nothing to an instance that leaves after the bound."""

import random
import unittest

import msgspec
import trio

from emulator.exchange_platform.node_links import LinkCut
from hopstep.domain.instance_notices import InstanceNotice
from hopstep.exceptions import ErrorCode
from hopstep.exchange_settings import ExchangeBounds
from hopstep.ports.serving_directory import InstanceListed, InstanceRemoved
from tests.services.exchanges.exchange_world import ExchangeWorld, RecordedAnswer

NODES = 8
ZONES = 4
SMALL, LARGE = ExchangeBounds(), ExchangeBounds(drain_ms=3_000.0, configuration_ms=3_000.0)
"""Bounds of the users' smallest deployments, and of their larger ones."""

SPACING_SECONDS = 0.05
"""Time between two requests to each node."""

SILENT_SECONDS = 1.4
"""Time after which a node gives up a gateway that doesn't answer: 0.4 s to connect, 1 s to open."""


class LateNodesCase(unittest.TestCase):
    def run_world(self, script, bounds, seed=1, instances=3):
        world = ExchangeWorld(NODES, seed, ZONES, bounds=bounds)
        for number in range(instances):
            world.add(f"p{number}", slots=16)
        world.run(script)

    def make_late(self, world, numbers, seconds):
        """Let nodes read late what the store and other nodes send them, and see that they do."""
        for number in numbers:
            world.network.late[f"n{number}"] = seconds
            world.directories[number].answer_seconds = seconds
            world.nursery.start_soon(self.note_delays, world.nodes[number].pauses, seconds)

    async def note_delays(self, pauses, seconds):
        """Let a node see that its event loop runs late."""
        while True:
            now = trio.current_time()
            pauses.delays.note(now - seconds, now)
            await trio.sleep(SPACING_SECONDS)

    def relays(self, world):
        """Return the numbers of the nodes that are relays."""
        return [n for n, node in enumerate(world.nodes) if not node.knowledge.relays.relay()]

    def others(self, world):
        """Return the numbers of the nodes that aren't relays."""
        return sorted(set(range(NODES)) - set(self.relays(world)))

    def all(self, world):
        """Return the numbers of all nodes."""
        return list(range(len(world.nodes)))

    async def leave_and_send(self, world, change, bound):
        """Let the instance p0 leave, and send requests to all nodes; return the late arrivals."""
        world.publish(change)
        left_at = trio.current_time()
        statuses = []

        async def send(number):
            statuses.append((await world.request("safe", number)).status)

        async with trio.open_nursery() as nursery:
            while trio.current_time() < left_at + 2 * bound:
                for number in range(NODES):
                    nursery.start_soon(send, number)
                await trio.sleep(SPACING_SECONDS)
        arrived = world.instances.servers["p0"].arrived_at
        late = [round(at - left_at, 2) for at in arrived if at - left_at > bound]
        return late, statuses

    def play(self, late_numbers, delay, bounds, seed, *, removed=False, way_seconds=0.0):
        """Return late arrivals while some nodes are late, and the share of requests served."""
        found = []

        async def script(world):
            self.make_late(world, late_numbers(world), delay)
            world.instances.way_seconds = lambda _call: way_seconds
            await trio.sleep(random.Random(seed).uniform(3.0, 5.0))
            leaving = msgspec.structs.replace(world.listed["p0"], draining=True)
            change = InstanceRemoved("p0") if removed else InstanceListed(leaving)
            found.append(await self.leave_and_send(world, change, bounds.drain_ms / 1_000))

        self.run_world(script, bounds, seed)
        late, statuses = found[0]
        return late, statuses.count(200) / len(statuses)


class LateNodesTest(LateNodesCase):
    def test_an_instance_whose_entry_goes_is_not_kept_by_nodes_that_are_late(self):
        # A late node took its own delay for an outage, in which entries of live instances expire.
        for late_numbers in (self.relays, self.others, self.all):
            for delay, bounds in ((1.3, SMALL), (1.5, SMALL), (1.5, LARGE)):
                with self.subTest(late_numbers=late_numbers.__name__, delay=delay):
                    late, served = self.play(late_numbers, delay, bounds, 1, removed=True)
                    self.assertEqual(late, [])
                    if delay <= 0.65 * bounds.drain_ms / 1_000:
                        self.assertGreater(served, 0.95)

    def test_an_instance_that_drains_gets_nothing_by_an_old_view(self):
        # A request was chosen by a view almost as old as the bound, and was on its way after that.
        for late_numbers in (self.relays, self.others, self.all):
            for delay, way_seconds, seed in ((1.5, 0.4, 1), (1.5, 0.4, 2), (2.0, 0.2, 3)):
                with self.subTest(late_numbers=late_numbers.__name__, delay=delay, seed=seed):
                    late, _served = self.play(
                        late_numbers, delay, SMALL, seed, way_seconds=way_seconds
                    )
                    self.assertEqual(late, [])


class StoreAwayTest(LateNodesCase):
    """The view can't be read anew: for a fault of the store, or since the node itself is late."""

    def test_requests_go_on_by_an_old_view_while_the_store_is_away(self):
        for fault in ("down", "unresponsive"):
            with self.subTest(fault=fault):
                self.assertEqual(self.served_without_the_store(fault), {200})

    def served_without_the_store(self, fault):
        """Return the statuses of requests of a public route while no node has the store."""
        statuses = set()

        async def script(world):
            for directory in world.directories:
                setattr(directory, fault, True)
            until = trio.current_time() + 6.0
            while trio.current_time() < until:
                for number in range(NODES):
                    began_at = trio.current_time()
                    statuses.add((await world.request("open", number)).status)
                    self.assertLess(trio.current_time() - began_at, 0.6)

        self.run_world(script, SMALL)
        return statuses

    def test_a_node_that_is_too_late_refuses_at_once_and_is_not_ready(self):
        async def script(world):
            self.make_late(world, [0], 1.9)
            await trio.sleep(3.0)
            first = await world.request("open", 0, patience=10.0)
            self.assertEqual(first.error.code, ErrorCode.VIEW_OUTDATED)
            self.assertTrue(first.promised_not_run)
            self.assertFalse(world.nodes[0].is_ready)
            began_at = trio.current_time()
            second = await world.request("open", 0, patience=10.0)
            self.assertEqual(second.error.code, ErrorCode.VIEW_OUTDATED)
            self.assertLess(trio.current_time() - began_at, 0.01)
            self.assertLess(second.error.retry_after_seconds, 0.1)
            self.assertTrue(world.nodes[1].is_ready)

        self.run_world(script, SMALL)


class SlowGatewaysTest(LateNodesCase):
    """A node without links to the instances, whose gateways don't answer."""

    def silence_first_gateway(self, world, instance_id):
        """Cut the links of node 0, and let the gateway that it asks first not answer."""
        first, *_others = world.nodes[0].paths._known.candidates(world.listed[instance_id])
        world.tunnels.silent_seconds[first.name] = SILENT_SECONDS
        world.links[0].cut(LinkCut.HANGING)

    def test_a_late_gateway_passes_no_request_on_to_an_instance_that_drains(self):
        # A gateway passed bytes on without looking, however late it had read them.
        async def script(world):
            world.links[0].cut(LinkCut.REFUSING)
            self.assertEqual((await world.request("unsafe", 0)).status, 200)
            world.instances.way_seconds = lambda call: 2.5 if call.gateway else 0.0
            left_at = trio.current_time() + 0.1
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.request_late, world)
                await trio.sleep_until(left_at)
                draining = msgspec.structs.replace(world.listed["p0"], draining=True)
                world.publish(InstanceListed(draining))
            server = world.instances.servers["p0"]
            self.assertEqual([at for at in server.arrived_at if at > left_at], [])

        self.run_world(script, SMALL, instances=1)

    async def request_late(self, world):
        """Send a request that may run once through a late gateway, and check its refusal."""
        answer = await world.request("unsafe", 0, patience=10.0)
        self.assertTrue(answer.promised_not_run)

    def test_the_last_request_to_a_leaving_instance_is_not_sent_after_the_bound(self):
        # The bound was checked at the choice, and seconds of tunnels lay between it and the send.
        async def script(world):
            node, server = world.nodes[0], world.instances.servers["p0"]
            view = node.knowledge.table.get("p0")
            node.notices.take(view, trio.current_time(), InstanceNotice(leaving=True))
            left_at = trio.current_time()
            self.silence_first_gateway(world, "p0")
            await trio.sleep(0.8)
            answer = await world.request("safe", 0, patience=10.0, answer=RecordedAnswer())
            late = [at - left_at for at in server.arrived_at if at - left_at > 2.0]
            self.assertEqual(late, [])
            self.assertIsNotNone(answer.error)

        self.run_world(script, SMALL, instances=1)

    def test_a_stream_is_not_resumed_at_a_draining_instance_after_the_bound(self):
        # The sending of a stream that has begun had no bound in time at all.
        async def script(world):
            server = world.add("e0", "llm")
            server.events = 200
            await trio.sleep(0.5)
            began = RecordedAnswer()
            with trio.move_on_after(0.2):
                await world.request("resumable", 0, request_id="s1", answer=began, patience=10.0)
            arrivals = len(server.arrived_at)
            draining = msgspec.structs.replace(world.listed["e0"], draining=True)
            world.publish(InstanceListed(draining))
            left_at = trio.current_time()
            self.silence_first_gateway(world, "e0")
            await trio.sleep(0.4)
            answer = await world.request(
                "resumable", 0, request_id="s2", resumes="s1", resume_after="1", patience=10.0
            )
            self.assertTrue(began.body)
            self.assertEqual(arrivals, 1)
            late = [at - left_at for at in server.arrived_at if at - left_at > 2.0]
            self.assertEqual(late, [])
            self.assertIsNotNone(answer.error)

        self.run_world(script, SMALL, instances=1)


class LateConnectionTest(LateNodesCase):
    def test_a_node_that_was_late_to_connect_does_not_take_its_link_for_cut(self):
        # A time limit that had passed while the node stood still counted as a failed connection.
        for is_late in (True, False):
            with self.subTest(is_late=is_late):
                self.assertEqual(self.uses_gateway(is_late), not is_late)

    def uses_gateway(self, is_late):
        """Return whether a request whose first connection times out takes a gateway."""
        used = []

        async def stand_still(world):
            await trio.sleep(0.35)
            if is_late:
                now = trio.current_time()
                world.nodes[0].pauses.delays.note(now - 0.3, now)
            world.links[0].restore()

        async def script(world):
            world.links[0].cut(LinkCut.HANGING)
            world.nursery.start_soon(stand_still, world)
            self.assertEqual((await world.request("unsafe", 0)).status, 200)
            used.append(any(call.gateway is not None for call in world.instances.calls))
            self.assertEqual(world.nodes[0].paths.links.cut_count, int(used[0]))

        self.run_world(script, SMALL, instances=1)
        return used[0]
