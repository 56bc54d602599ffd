"""Machines about to shut down, as read from the machine list and reported by peers."""

import random
import unittest
from unittest import mock

import trio

from emulator.platform.faults import FaultOrder
from emulator.platform.in_memory import InMemoryMachineList
from emulator.platform.machine_list import MachineListModel
from hopstep.domain.routing.routing_table import RoutingTable
from hopstep.ports.machine_list import Machine, MachineState
from hopstep.services.leaving_watch import LeavingWatch
from tests.services.requests.request_path import run

LEAVING = (Machine("a", MachineState.LEAVING), Machine("b", MachineState.LEAVING))
LIVE = (Machine("a", MachineState.LIVE), Machine("b", MachineState.LIVE))


class LeavingWatchTest(unittest.TestCase):
    def watch(self, body, with_list=True, is_reader=True, routers=3):
        """Run a watch together with ``body(model, reported, check)``."""

        async def main():
            model = MachineListModel(LIVE)
            machine_list = InMemoryMachineList(model) if with_list else None
            table, reported, published = RoutingTable(random.Random(1)), {}, []
            watch = LeavingWatch(
                machine_list,
                table,
                lambda: is_reader,
                lambda: frozenset(f"r{number}" for number in range(routers)),
                lambda address, leaving: published.append((address, leaving)),
                lambda: reported,
            )

            async def check(seconds, leaving, expected):
                await trio.sleep(seconds)
                self.assertEqual(table._leaving, frozenset(leaving))
                self.assertEqual(published, expected)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(watch.run)
                await body(model, reported, check)
                nursery.cancel_scope.cancel()

        run(main)

    def test_machines_that_a_reader_reads_are_reported_to_peers_and_withdrawn(self):
        async def body(model, reported, check):
            await check(1.5, (), [])
            model.replace(LEAVING, trio.current_time())
            expected = [("a", True), ("b", True)]
            await check(2, ("a", "b"), expected)
            model.order_faults(FaultOrder(machine_list_outage=True))
            await check(10, ("a", "b"), expected)
            model.replace(LIVE, trio.current_time())
            model.order_faults(FaultOrder(machine_list_outage=False))
            await check(6, (), [*expected, ("a", False), ("b", False)])

        self.watch(body)

    def test_live_peers_are_trusted_without_a_list_and_during_its_outage(self):
        async def body(model, reported, check):
            model.order_faults(FaultOrder(machine_list_outage=True))
            reported["b"] = frozenset({"r1"})
            await check(2, ("b",), [])
            reported.clear()
            await check(2, (), [])

        for with_list in (True, False):
            with self.subTest(with_list=with_list):
                self.watch(body, with_list)

    def test_the_report_of_a_dead_peer_stays_until_the_list_shows_the_machine_live(self):
        async def body(model, reported, check):
            model.order_faults(FaultOrder(machine_list_outage=True))
            reported["b"] = frozenset({"killed"})
            await check(2, ("b",), [])
            reported.clear()
            await check(20, ("b",), [])
            model.order_faults(FaultOrder(machine_list_outage=False))
            await check(2, (), [])

        self.watch(body)

    def test_routers_that_are_no_readers_read_rarely_in_a_large_cluster_and_publish_nothing(self):
        reads = []

        class CountingList(InMemoryMachineList):
            async def machines(self):
                reads.append(trio.current_time())
                return await super().machines()

        async def body(model, reported, check):
            model.replace(LEAVING, trio.current_time())
            await check(60, ("a", "b"), [])

        for routers, most in ((3, 61), (390, 4)):
            reads.clear()
            with mock.patch(f"{__name__}.InMemoryMachineList", CountingList):
                self.watch(body, is_reader=False, routers=routers)
            with self.subTest(routers=routers):
                self.assertLessEqual(len(reads), most)
                self.assertGreaterEqual(len(reads), most - 2)
