"""Membership services over a faulty network, in virtual time."""

import random
import unittest
from unittest import mock

import trio
import trio.testing
from prometheus_client import CollectorRegistry

from emulator.link_faults import LinkFaults, LinkQuality
from emulator.network import FaultyNetwork
from emulator.virtual_time import run_in_virtual_time
from hopstep.adapters.peer_codec import PeerCodec
from hopstep.adapters.peer_keys import PeerKeys
from hopstep.domain.membership import EntryChanged, RevisionReported
from hopstep.domain.peer_message import EngineEntry, EntryKind
from hopstep.services import membership
from hopstep.services.membership import MembershipService
from hopstep.services.membership_metrics import MembershipMetrics
from hopstep.settings import PeerSettings, RouterSettings

SEEDS = ("127.0.0.1:7000", "127.0.0.1:7001")


class World:
    """Services of one cluster and their network."""

    def __init__(self, nursery, loss):
        self.nursery = nursery
        self.network = FaultyNetwork(LinkFaults(random.Random(3), LinkQuality(loss=loss)))
        self.services = {}
        self.scopes = {}
        nursery.start_soon(self.network.run)

    async def start(self, number, incarnation=1, cluster="hopstep", keys=None):
        name, address = f"r{number}", f"127.0.0.1:{7000 + number}"
        keys = keys or PeerKeys({"k": bytes(32)})
        codec = PeerCodec(cluster, name, incarnation, keys, trio.current_time)
        settings = RouterSettings(
            name, f"127.0.0.1:{8000 + number}", "zone-1", peers=PeerSettings(seeds=SEEDS)
        )
        service = MembershipService(
            settings,
            self.network.connect(address, codec),
            incarnation=incarnation,
            generator=random.Random(number),
            metrics=MembershipMetrics(CollectorRegistry()),
        )
        self.services[name] = service
        self.scopes[name] = trio.CancelScope()
        await self.nursery.start(self.run, name, service)
        return service

    async def run(self, name, service, task_status=trio.TASK_STATUS_IGNORED):
        with self.scopes[name]:
            await service.run(task_status=task_status)

    def kill(self, name):
        self.scopes[name].cancel()
        self.network.disconnect(self.services.pop(name).own.peer_address)

    def views(self):
        return {
            name: [record.name for record in service.alive_routers()]
            for name, service in self.services.items()
        }


class MembershipServiceTest(unittest.TestCase):
    def setUp(self):
        self.events = []
        patch = mock.patch.object(
            membership, "emit", lambda event, **fields: self.events.append((event, fields))
        )
        patch.start()
        self.addCleanup(patch.stop)

    def run_world(self, body, loss=0.0):
        async def main():
            async with trio.open_nursery() as nursery:
                world = World(nursery, loss)
                await body(world)
                nursery.cancel_scope.cancel()

        run_in_virtual_time(main)

    async def start_cluster(self, world, count=4):
        for number in range(count):
            await world.start(number)
        await trio.sleep(20)
        return list(world.services.values())

    def test_services_find_each_other_share_entries_and_agree_on_owners(self):
        async def body(world):
            services = await self.start_cluster(world)
            names = sorted(world.services)
            self.assertEqual(world.views(), dict.fromkeys(names, names))
            owners = {service.owners("engine-1", 2) for service in services}
            self.assertEqual(len(owners), 1)
            self.assertEqual(sum(service.owns("engine-1", 2) for service in services), 2)
            entry = EngineEntry("127.0.0.1:9", "i", {"model": "v1"})
            services[0].publish(EntryKind.ENGINE_FACTS, entry.engine, entry)
            await trio.sleep(10)
            for service in services:
                self.assertEqual(
                    [item.value for item in service.entries(EntryKind.ENGINE_FACTS)], [entry]
                )

        self.run_world(body, loss=0.1)

    def test_owners_follow_a_death_a_planned_stop_and_a_restart(self):
        async def body(world):
            services = await self.start_cluster(world)
            world.kill("r3")
            await trio.sleep(15)
            self.assertEqual(world.views()["r0"], ["r0", "r1", "r2"])
            services[2].leave()
            await trio.sleep(3)
            self.assertEqual(world.views()["r0"], ["r0", "r1"])
            self.assertFalse(services[2].owns("engine-1", 4))
            await services[2].stop()
            world.kill("r2")
            await world.start(3, incarnation=2)
            await trio.sleep(5)
            self.assertEqual(world.views()["r0"], ["r0", "r1", "r3"])
            self.assertFalse(services[0].is_partitioned(trio.current_time()))

        self.run_world(body)

    def test_a_cut_off_router_detects_its_isolation_and_a_paused_one_rejoins(self):
        async def body(world):
            services = await self.start_cluster(world)
            address = services[0].own.peer_address
            world.network.faults.cut(address)
            await trio.sleep(15)
            self.assertTrue(services[0].is_partitioned(trio.current_time()))
            self.assertFalse(services[1].is_partitioned(trio.current_time()))
            world.network.faults.heal()
            await trio.sleep(15)
            self.assertFalse(services[0].is_partitioned(trio.current_time()))
            self.assertEqual(len(world.views()["r1"]), 4)
            world.network.pause(address)
            await trio.sleep(30)
            self.assertEqual(len(world.views()["r1"]), 3)
            world.network.resume(address)
            await trio.sleep(15)
            self.assertEqual({len(view) for view in world.views().values()}, {4})

        self.run_world(body)

    def test_messages_of_another_cluster_are_counted_logged_at_intervals_and_change_nothing(self):
        async def body(world):
            services = await self.start_cluster(world, 2)
            await world.start(5, cluster="another")
            await trio.sleep(20)
            self.assertEqual(world.views()["r0"], ["r0", "r1"])
            logged = [event for event, _ in self.events if event.number == "HS5003"]
            rejected = sum(service._metrics.messages_rejected._value.get() for service in services)
            self.assertGreater(rejected, len(logged))
            self.assertGreater(len(logged), 0)

        self.run_world(body)

    def test_a_message_that_cannot_be_applied_ends_no_router(self):
        # Whatever its content made the router raise ended the task that receives messages.
        async def body(world):
            services = await self.start_cluster(world, 3)
            odd = EngineEntry("127.0.0.1:9", "i", {"model": "odd"})

            def fail(action):
                if isinstance(action, EntryChanged) and action.entry.value == odd:
                    raise OverflowError("too large for what is done with it")

            services[0].subscribe(fail)
            sound = EngineEntry("127.0.0.1:8", "i", {"model": "sound"})
            heard = []
            services[0].subscribe(heard.append)
            for entry in (odd, sound):
                services[1].publish(EntryKind.ENGINE_FACTS, entry.engine, entry)
            await trio.sleep(10)
            values = [each.entry.value for each in heard if isinstance(each, EntryChanged)]
            self.assertEqual(values, [odd, sound])
            services[1].set_revision(8)
            await trio.sleep(3)
            self.assertEqual(world.views()["r0"], ["r0", "r1", "r2"])
            known = {each.name: each.configuration_revision for each in services[0].members()}
            self.assertEqual(known["r1"], 8)
            reasons = [
                fields["reason"] for event, fields in self.events if event.number == "HS5003"
            ]
            self.assertTrue(any(reason.startswith("OverflowError at fail") for reason in reasons))

        self.run_world(body)

    def test_revisions_and_the_age_of_their_proofs_are_announced(self):
        async def body(world):
            services = await self.start_cluster(world, 3)
            received = []
            services[2].subscribe(received.append)
            services[0].follow_confirmations(lambda: 4.5)
            services[0].set_revision(8)
            await trio.sleep(3)
            announced = [action for action in received if isinstance(action, RevisionReported)]
            self.assertEqual({action.revision for action in announced}, {8})
            self.assertEqual({action.member.name for action in announced}, {"r0"})
            self.assertTrue(any(5 <= action.confirmed_age_seconds <= 6 for action in announced))

        self.run_world(body)


if __name__ == "__main__":
    unittest.main()
