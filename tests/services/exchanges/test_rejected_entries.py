"""A rejected entry takes its instance out of use, and affects nothing else."""

import unittest

import msgspec
import structlog
import trio
from prometheus_client import generate_latest

from hopstep.ports.serving_directory import (
    InstanceListed,
    InstanceRejected,
    InstanceRemoved,
    RejectReason,
)
from tests.services.exchanges.exchange_world import ExchangeWorld

PROPAGATION_SECONDS = 1.5
INSTANCES = 3
BORN_MS = 1_700_000_000_000


def rejected(instance_id, reason=RejectReason.FIELD_TYPE, field="slots"):
    return InstanceRejected(instance_id, reason, field, "expected something else")


class RejectedEntriesTest(unittest.TestCase):
    def run_world(self, script, nodes=6, zones=2, service="plain", **options):
        world = ExchangeWorld(nodes, zones=zones)
        for number in range(INSTANCES):
            world.add(f"i{number}", service, **options)
        world.run(script)
        return world

    async def used(self, world, name="safe"):
        """Send several requests to every node, and return the instances that were called."""
        world.instances.calls.clear()
        for node in range(len(world.nodes)):
            for _ in range(2 * INSTANCES):
                self.assertEqual((await world.request(name, node)).status, 200)
        return {call.instance.instance_id for call in world.instances.calls}

    def test_an_instance_is_out_of_use_until_a_good_entry_comes(self):
        async def script(world):
            entry = world.listed["i0"]
            self.assertIn("i0", await self.used(world))
            world.publish(rejected("i0"))
            await trio.sleep(PROPAGATION_SECONDS)
            self.assertEqual(await self.used(world), {"i1", "i2"})
            world.publish(InstanceListed(entry))
            await trio.sleep(PROPAGATION_SECONDS)
            self.assertIn("i0", await self.used(world))

        self.run_world(script)

    def test_what_was_known_of_it_is_kept_meanwhile(self):
        async def script(world):
            view = world.nodes[0].knowledge.table.get("i0")
            world.publish(rejected("i0"))
            await trio.sleep(PROPAGATION_SECONDS)
            world.publish(InstanceListed(world.listed["i0"]))
            await trio.sleep(PROPAGATION_SECONDS)
            self.assertIs(world.nodes[0].knowledge.table.get("i0"), view)

        self.run_world(script)

    def test_a_key_that_never_named_an_instance_is_passed_over(self):
        async def script(world):
            world.publish(rejected("never"))
            world.publish(InstanceRemoved("never"))
            world.publish(rejected("ever"))
            await trio.sleep(PROPAGATION_SECONDS)
            self.assertEqual(await self.used(world), {"i0", "i1", "i2"})

        self.run_world(script)

    def test_good_entries_of_the_same_moment_are_taken(self):
        async def script(world):
            late = msgspec.structs.replace(world.listed["i1"], draining=True)
            world.publish(rejected("x", RejectReason.UNREADABLE, ""))
            world.publish(InstanceListed(late))
            world.publish(rejected("i2"))
            await trio.sleep(PROPAGATION_SECONDS)
            self.assertEqual(await self.used(world), {"i0"})

        self.run_world(script)

    def test_nodes_that_start_later_use_none_of_them(self):
        async def script(world):
            world.publish(rejected("i0"))
            world.publish(rejected("x"))
            await trio.sleep(PROPAGATION_SECONDS)
            world.start_node(world.nursery, "late", "z1")
            await trio.sleep(PROPAGATION_SECONDS)
            self.assertEqual(await self.used(world), {"i1", "i2"})

        self.run_world(script)

    def test_an_entry_without_its_start_is_incomplete_where_others_tell_theirs(self):
        async def script(world):
            self.assertIn("i0", await self.used(world))
            without_start = msgspec.structs.replace(world.listed["i0"], born_ms=0)
            world.publish(InstanceListed(without_start))
            await trio.sleep(PROPAGATION_SECONDS)
            self.assertEqual(await self.used(world), {"i1", "i2"})
            world.publish(InstanceListed(msgspec.structs.replace(without_start, born_ms=BORN_MS)))
            await trio.sleep(PROPAGATION_SECONDS)
            self.assertIn("i0", await self.used(world))

        self.run_world(script, born_ms=BORN_MS)

    def test_nothing_else_is_sent_to_an_instance_that_an_entry_does_not_name(self):
        """Cache events must not be read at addresses that only entries without a start name."""

        async def script(world):
            entries = {}
            for name, born_ms in (("unborn", 0), ("rejected", BORN_MS)):
                entries[name] = msgspec.structs.replace(
                    world.listed["i0"], instance_id=name, address=f"{name}:1", born_ms=born_ms
                )
                world.instances.add(entries[name])
                world.cache_events.events[f"{name}:1"] = []
                world.publish(InstanceListed(entries[name]))
            await trio.sleep(PROPAGATION_SECONDS)
            world.publish(rejected("rejected"))
            await trio.sleep(PROPAGATION_SECONDS)
            reads = world.cache_events.reads.copy()
            world.name_weights(2)
            await trio.sleep(10 * PROPAGATION_SECONDS)
            self.assertEqual(reads["unborn:1"], 0)
            for name in entries:
                self.assertEqual(world.cache_events.reads[f"{name}:1"], reads[f"{name}:1"], name)
                self.assertEqual(world.instances.servers[name].received_orders, [], name)
            self.assertTrue(world.instances.servers["i0"].received_orders)

        self.run_world(script, service="llm", born_ms=BORN_MS)

    def test_what_is_under_way_does_not_follow_an_entry_to_another_address(self):
        """An engine gets an entry without a start while its cache events are being read.

        Otherwise its events are read once at that entry's address, before the node next checks
        which engines it follows.
        """

        async def script(world):
            real = {entry.address: entry for entry in world.listed.values()}
            read = world.cache_events.read

            async def read_and_replace(address, position, wait_seconds, on_notice):
                """Replace the entry just as a read of the engine's events returns."""
                batch = await read(address, position, wait_seconds, on_notice)
                entry = real.get(address)
                for node in world.nodes if entry is not None else ():
                    decoy = msgspec.structs.replace(entry, address="decoy:1", born_ms=0)
                    node.knowledge.table.put(decoy)
                return batch

            for address in (*real, "decoy:1"):
                world.cache_events.events[address] = []
            world.cache_events.read = read_and_replace
            await trio.sleep(10 * PROPAGATION_SECONDS)
            self.assertGreater(sum(world.cache_events.reads[address] for address in real), 0)
            self.assertEqual(world.cache_events.reads["decoy:1"], 0)

        self.run_world(script, service="llm", born_ms=BORN_MS)

    def test_where_nobody_tells_a_start_none_is_missed(self):
        async def script(world):
            self.assertEqual(await self.used(world), {"i0", "i1", "i2"})

        self.run_world(script)

    def test_an_engine_whose_entry_names_no_model_gets_no_prompt(self):
        async def script(world):
            bare = msgspec.structs.replace(world.listed["i0"], instance_id="bare", versions={})
            world.instances.add(bare)
            world.publish(InstanceListed(bare))
            await trio.sleep(PROPAGATION_SECONDS)
            self.assertNotIn("bare", await self.used(world, "stream"))

        self.run_world(script, service="llm")

    def test_each_is_logged_once_and_counted_by_reason(self):
        async def script(world):
            with structlog.testing.capture_logs() as lines:
                world.publish(rejected("x", RejectReason.FIELD_VALUE, "state"))
                await trio.sleep(4.0)
            lines = [line for line in lines if line["event"] == "directory_entry_rejected"]
            self.assertEqual(len(lines), len(world.nodes))
            self.assertEqual((lines[0]["reason"], lines[0]["field"]), ("field_value", "state"))
            text = generate_latest(world.nodes[0].registry).decode()
            self.assertIn('hopstep_rejected_entries_total{reason="field_value"} 1.0', text)

        self.run_world(script)
