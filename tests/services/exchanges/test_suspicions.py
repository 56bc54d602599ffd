"""Nodes tell each other of silent instances, so that each doesn't find out by its own requests."""

import unittest
from unittest import mock

import structlog
import trio

from emulator.exchange_platform.emulated_instance import Behaviour
from hopstep.domain.exchanges.instance_health import InstanceHealth
from hopstep.services.exchanges.peers.suspicions import Suspicions
from hopstep.services.exchanges.reachability.path_probes import Reachability
from tests.services.exchanges.exchange_world import KEY, ExchangeWorld

NODES = 12
SILENT = ("p0", "p1")
TASK_ORDERS = (1, 2, 3)
"""Orders of tasks at one instant; the arrivals of one order say little."""


class SuspicionsTest(unittest.TestCase):
    def run_world(self, script, nodes=NODES, order=1):
        world = ExchangeWorld(nodes, zones=3, order_seed=order)
        for number in range(8):
            world.add(f"p{number}", slots=8)
        world.run(script)
        return world

    def arrivals_at_silent_instances(self, route, behaviour):
        """Return the requests that a quarter of the instances get while they are silent.

        They are added up over several orders of tasks.
        """
        arrivals = []

        async def send(world, node):
            await trio.sleep(0.002 * node)
            async with trio.open_nursery() as nursery:
                for number in range(200):
                    request = f"{node}-{number}"
                    nursery.start_soon(world.request, route, node, KEY, request, "", 3.0)
                    await trio.sleep(0.05)

        async def script(world):
            for server in world.instances.servers.values():
                server.work_seconds = 0.3
            async with trio.open_nursery() as nursery:
                for node in range(NODES):
                    nursery.start_soon(send, world, node)
                await trio.sleep(1.0)
                world.instances.calls.clear()
                for name in SILENT:
                    world.instances.servers[name].behaviour = behaviour
            arrivals.append(
                sum(call.instance.instance_id in SILENT for call in world.instances.calls)
            )

        for order in TASK_ORDERS:
            self.run_world(script, order=order)
        return sum(arrivals)

    def test_fewer_requests_reach_silent_instances(self):
        """Without reports each node loses requests of its own, again after each suspension."""
        for route, behaviour in (
            ("safe", Behaviour.UNRESPONSIVE),
            ("unsafe", Behaviour.UNRESPONSIVE),
            ("safe", Behaviour.UNREACHABLE),
            ("unsafe", Behaviour.UNREACHABLE),
        ):
            with self.subTest(route=route, behaviour=behaviour):
                with (
                    mock.patch.object(Suspicions, "apply", lambda _self, _reports: None),
                    mock.patch.object(Suspicions, "check", lambda _self: None),
                    mock.patch.object(InstanceHealth, "awaits_trial", False),
                ):
                    before = self.arrivals_at_silent_instances(route, behaviour)
                after = self.arrivals_at_silent_instances(route, behaviour)
                self.assertLess(after, before)

    def test_the_cut_link_of_one_node_takes_no_instance_from_the_others(self):
        async def script(world):
            away = 0
            for _ in range(50):
                cut = world.nodes[1]
                view = cut.knowledge.table.get("p0")
                if trio.current_time() >= view.suspended_until:
                    view.failed(trio.current_time(), unreachable=True)
                    cut.sharing.suspicions.note_failed(view)
                await trio.sleep(0.1)
                others = [node for node in world.nodes if node is not cut]
                views = [node.knowledge.table.get("p0") for node in others]
                away += sum(not view.is_usable(trio.current_time()) for view in views)
            self.assertEqual(away, 0)

        self.run_world(script)

    def test_the_last_instances_stay_in_use_whatever_is_reported(self):
        async def script(world):
            for node in world.nodes[1:4]:
                for view in node.knowledge.table:
                    view.failed(trio.current_time(), unreachable=True)
                    node.sharing.suspicions.note_failed(view)
            await trio.sleep(0.1)
            for node in world.nodes[4:]:
                usable = [view.is_usable(trio.current_time()) for view in node.knowledge.table]
                self.assertGreaterEqual(usable.count(True), 4)

        self.run_world(script)

    def test_logs_name_the_node_that_reports(self):
        async def script(world):
            for name in SILENT:
                world.instances.servers[name].behaviour = Behaviour.UNREACHABLE
            with structlog.testing.capture_logs() as lines:
                async with trio.open_nursery() as nursery:
                    for _ in range(20):
                        nursery.start_soon(world.request, "safe", 3)
                await trio.sleep(0.1)
            logged = [line for line in lines if line["event"] == "instance_suspected"]
            reporter = world.nodes[3].knowledge.name
            self.assertGreater(len(logged), 1)
            self.assertEqual({line["reported_by"] for line in logged}, {reporter})

        self.run_world(script)

    def test_an_instance_is_reported_though_its_check_takes_longer_than_the_suspension(self):
        # Each node found out by itself that a machine had fallen silent.
        async def check_slowly(_instance):
            await trio.sleep(0.6)
            return Reachability.SILENT

        async def script(world):
            node = world.nodes[3]
            view = node.knowledge.table.get("p0")
            view.failed(trio.current_time(), unreachable=True)
            with (
                structlog.testing.capture_logs() as lines,
                mock.patch.object(node.paths, "check", check_slowly),
            ):
                node.suspicion_checks.request(view)
                await trio.sleep(1.0)
            logged = [line for line in lines if line["event"] == "instance_suspected"]
            self.assertEqual({line["reported_by"] for line in logged}, {"n3"})

        self.run_world(script)

    def test_a_node_that_stops_hearing_others_relies_on_its_own_failures(self):
        async def script(world):
            for node in world.nodes:
                world.network.isolate(node.knowledge.name)
            world.instances.servers["p0"].behaviour = Behaviour.UNREACHABLE
            for _ in range(20):
                answer = await world.request("safe", node=3)
                self.assertEqual(answer.status, 200)

        self.run_world(script)
