"""Instances that a backup lacks, or has in a state before their shutdown or termination."""

import unittest

import msgspec
import trio

from hopstep.ports.serving_directory import InstanceListed, InstanceRemoved
from tests.services.exchanges.exchange_world import BOUNDS
from tests.services.exchanges.restored_world import RestoredWorld

DRAIN_SECONDS = BOUNDS.drain_ms / 1_000
REWRITTEN_SECONDS = 1.8
"""Time from the store's return until instances rewrite entries that the backup lacks."""

TRUSTED_SECONDS = 6.0
"""An entry that exists for this long is of a live instance; others have expired by then."""

NOTICED_SECONDS = 1.5
"""Time until all nodes have noticed the store's return."""

NODES = 6
SEEDS = (1, 2, 3)


class RestoredInstancesTest(unittest.TestCase):
    def run_world(self, script, seed):
        world = RestoredWorld(NODES, seed, zones=3)
        for number in range(3):
            world.add(f"i{number}")
        world.run(script)

    async def send_requests(self, world, seconds, nodes=None):
        """Send requests to nodes periodically, and return the statuses; None for refusals."""
        found = []
        until = trio.current_time() + seconds
        while trio.current_time() < until:
            for node in list(nodes or world.nodes):
                found.append((await world.request("open", node=world.nodes.index(node))).status)
            await trio.sleep(0.1)
        return found

    def sent(self, world, instance_id, since):
        """Return the times of requests that an instance received after a time, relative to it."""
        at = world.instances.servers[instance_id].arrived_at
        return [round(each - since, 2) for each in at if each > since]

    def test_an_instance_that_has_said_it_leaves_is_used_again_by_an_old_entry(self):
        # Fault: requests reach it until it announces its shutdown again, also from new nodes.
        for seed in SEEDS:
            with self.subTest(seed=seed):

                async def script(world):
                    backup = world.shared.model.backup()
                    draining_entry = msgspec.structs.replace(world.listed["i0"], draining=True)
                    world.publish(InstanceListed(draining_entry))
                    announced_at = trio.current_time()
                    await trio.sleep(DRAIN_SECONDS)
                    await world.restore_after_outage(backup, 0.5)
                    await trio.sleep(NOTICED_SECONDS)
                    world.start_node(world.nursery, "n9", "z1")
                    await trio.sleep(1.0)
                    await self.send_requests(world, 3.0)
                    self.assertEqual(self.sent(world, "i0", announced_at + DRAIN_SECONDS), [])

                self.run_world(script, seed)

    def test_an_instance_that_has_left_is_used_again_by_an_old_entry(self):
        # Fault: requests reach it, as it still serves for seconds after its entry is removed.
        for seed in SEEDS:
            with self.subTest(seed=seed):

                async def script(world):
                    backup = world.shared.model.backup()
                    draining_entry = msgspec.structs.replace(world.listed["i0"], draining=True)
                    world.publish(InstanceListed(draining_entry))
                    announced_at = trio.current_time()
                    await trio.sleep(DRAIN_SECONDS)
                    world.publish(InstanceRemoved("i0"))
                    await trio.sleep(1.0)
                    await world.restore_after_outage(backup, 0.5)
                    await self.send_requests(world, 4.0)
                    self.assertEqual(self.sent(world, "i0", announced_at + DRAIN_SECONDS), [])

                self.run_world(script, seed)

    def test_an_instance_that_has_ended_is_used_again_by_an_old_entry(self):
        # Fault: requests are sent to its address until the entry expires again.
        for seed in SEEDS:
            with self.subTest(seed=seed):

                async def script(world):
                    backup = world.shared.model.backup()
                    terminated = world.listed["i0"]
                    world.publish(InstanceRemoved("i0"))
                    await trio.sleep(1.0)
                    await world.restore_after_outage(backup, 0.5)
                    calls = len(world.instances.calls)
                    await self.send_requests(world, 3.0)
                    sent = {call.instance.instance_id for call in world.instances.calls[calls:]}
                    self.assertNotIn("i0", sent)
                    world.publish(InstanceListed(msgspec.structs.replace(terminated, slots=9)))
                    for name in ("i1", "i2"):
                        world.publish(InstanceRemoved(name))
                    await trio.sleep(1.0)
                    self.assertEqual(
                        set(await self.send_requests(world, 1.0)), {200}, "written again"
                    )

                self.run_world(script, seed)

    def test_an_instance_whose_entry_stands_is_believed_to_live_after_all(self):
        # Fault: a live instance whose entry had expired is never used again.
        for seed in SEEDS:
            with self.subTest(seed=seed):

                async def script(world):
                    backup = world.shared.model.backup()
                    world.publish(InstanceRemoved("i0"))
                    await trio.sleep(1.0)
                    await world.restore_after_outage(backup, 0.5)
                    await trio.sleep(TRUSTED_SECONDS)
                    calls = len(world.instances.calls)
                    await self.send_requests(world, 1.0)
                    sent = {call.instance.instance_id for call in world.instances.calls[calls:]}
                    self.assertIn("i0", sent)

                self.run_world(script, seed)

    def test_instances_that_a_copy_lacks_are_given_up_before_they_can_write_again(self):
        # Fault: requests are refused, or all sent to the few instances in the backup.
        for seed in SEEDS:
            with self.subTest(seed=seed):

                async def script(world):
                    backup = world.shared.model.backup()
                    for name in ("i0", "i1", "i2"):
                        world.publish(InstanceRemoved(name))
                    for name in ("i3", "i4"):
                        world.add(name)
                    await trio.sleep(2.0)
                    await world.restore_after_outage(backup, 0.5)
                    returned_at = trio.current_time()
                    statuses = await self.send_requests(world, REWRITTEN_SECONDS)
                    for name in ("i3", "i4"):
                        world.publish(InstanceListed(world.listed[name]))
                    statuses += await self.send_requests(world, 2.0)
                    self.assertEqual(set(statuses), {200})
                    self.assertEqual(self.sent(world, "i0", returned_at), [])

                self.run_world(script, seed)
