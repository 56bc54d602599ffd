"""Nodes learn of quarantined requests from each other and from the store."""

import msgspec
import trio

from emulator.platform.faults import FaultOrder
from emulator.platform.in_memory import InMemoryStore
from hopstep.domain.quarantine.crash_ledger import TERMINATIONS_TO_REFUSE
from hopstep.ports.serving_directory import InstanceListed
from hopstep.services.quarantine.stored_requests import QUARANTINE_PREFIX, StoredRequest
from tests.services.exchanges.quarantine_case import (
    FATAL,
    REPORTED_SECONDS,
    STORED_SECONDS,
    QuarantinedRequestsCase,
)


class SharingTest(QuarantinedRequestsCase):
    async def spread_crashes(self, world):
        """Let the request crash instances, each through another node."""
        for node in range(TERMINATIONS_TO_REFUSE):
            await world.request("stream", node, body=FATAL)
            await trio.sleep(REPORTED_SECONDS)

    def test_ends_that_different_nodes_see_add_up_at_all_nodes(self):
        async def script(world):
            await self.spread_crashes(world)
            for node in range(len(world.nodes)):
                self.assertTrue(await self.refused(world, node))
            self.assertEqual(self.ended(world), TERMINATIONS_TO_REFUSE)

        self.run_world(script, nodes=7, zones=3)

    def test_no_node_sends_anything_to_an_instance_that_another_has_seen_end(self):
        async def script(world):
            near = world.instances.servers["i0"]
            for instance in list(world.listed.values())[1:]:
                world.publish(InstanceListed(msgspec.structs.replace(instance, zone="z9")))
            await trio.sleep(1.0)
            await self.crash_instances(world, 1, name="unsafe")
            self.assertIsNotNone(near.ended_at)
            world.instances.calls.clear()
            for number in range(30):
                answer = await world.request("safe", number % 3, body=b"%d" % number)
                self.assertEqual(answer.status, 200)
            called = [call.instance.instance_id for call in world.instances.calls]
            self.assertNotIn("i0", called)

        self.run_world(script, service="plain")

    def test_nodes_know_it_while_the_store_is_away(self):
        async def script(world):
            for directory in world.directories:
                directory.down = True
            world.shared.order_faults(FaultOrder(outage=True))
            await self.spread_crashes(world)
            for node in range(len(world.nodes)):
                self.assertTrue(await self.refused(world, node))

        self.run_world(script, nodes=7, zones=3)

    def test_nodes_learn_it_from_the_store_when_no_datagram_arrives(self):
        async def script(world):
            await world.request("stream", 0, body=FATAL)
            world.network.loss = 1.0
            await self.crash_instances(world, TERMINATIONS_TO_REFUSE - 1)
            await trio.sleep(STORED_SECONDS + 2.0)
            world.network.loss = 0.0
            await trio.sleep(STORED_SECONDS)
            for node in range(len(world.nodes)):
                self.assertTrue(await self.refused(world, node))

        self.run_world(script, nodes=5, zones=2)

    def test_nodes_learn_it_once_datagrams_arrive_from_a_node_without_the_store(self):
        async def script(world):
            world.stores[0].cut_off = world.directories[0].unresponsive = True
            world.network.loss = 1.0
            await self.crash_instances(world)
            await trio.sleep(1.5)
            world.network.loss = 0.0
            await trio.sleep(3.0)
            for node in range(len(world.nodes)):
                self.assertTrue(await self.refused(world, node))

        self.run_world(script, nodes=5, zones=2)

    def test_what_is_seen_while_the_store_is_away_is_kept_once_it_is_back(self):
        async def script(world):
            world.shared.order_faults(FaultOrder(outage=True))
            await self.crash_instances(world)
            await trio.sleep(3.0)
            world.shared.order_faults(FaultOrder(outage=False))
            await trio.sleep(STORED_SECONDS)
            world.kill_nodes()
            world.start_node(world.nursery, "n0")
            await trio.sleep(STORED_SECONDS)
            self.assertTrue(await self.refused(world))

        self.run_world(script)

    def test_one_end_is_not_written_to_the_store(self):
        async def script(world):
            await self.crash_instances(world, 1)
            await trio.sleep(STORED_SECONDS + 3.0)
            self.assertEqual(await self.stored_requests(world), [])

        self.run_world(script)

    async def stored_requests(self, world):
        """Return the requests that are in the store."""
        store = InMemoryStore(world.shared)
        return await store.list(QUARANTINE_PREFIX)

    def test_operators_find_a_request_in_the_store_and_allow_it(self):
        async def script(world):
            await self.crash_instances(world)
            await trio.sleep(STORED_SECONDS)
            [value] = await self.stored_requests(world)
            stored = msgspec.json.decode(value.value, type=StoredRequest)
            self.assertEqual((stored.tenant, stored.route), ("t1", "stream"))
            self.assertEqual(len(stored.crashes), TERMINATIONS_TO_REFUSE)
            await InMemoryStore(world.shared).compare_and_swap(
                value.key, value.version, b'{"lifted": true}'
            )
            self.unlist_ended(world)
            await trio.sleep(STORED_SECONDS)
            world.instances.fatal_bodies.clear()
            for node in range(len(world.nodes)):
                self.assertEqual((await world.request("stream", node, body=FATAL)).status, 200)

        self.run_world(script)

    def test_a_request_that_was_allowed_and_ends_instances_again_is_refused_again(self):
        async def script(world):
            await self.crash_instances(world)
            await trio.sleep(STORED_SECONDS)
            [value] = await self.stored_requests(world)
            await InMemoryStore(world.shared).compare_and_swap(
                value.key, value.version, b'{"lifted": true}'
            )
            await trio.sleep(STORED_SECONDS)
            self.assertFalse(await self.refused(world))
            await self.crash_instances(world, TERMINATIONS_TO_REFUSE - 1)
            self.assertTrue(await self.refused(world))

        self.run_world(script)

    def test_a_key_that_cannot_be_read_changes_nothing(self):
        async def script(world):
            await self.crash_instances(world)
            await trio.sleep(STORED_SECONDS)
            [value] = await self.stored_requests(world)
            await InMemoryStore(world.shared).compare_and_swap(
                value.key, value.version, b"\xff no document"
            )
            await trio.sleep(STORED_SECONDS)
            self.assertTrue(await self.refused(world, node=1))

        self.run_world(script)
