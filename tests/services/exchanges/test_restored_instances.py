"""Instances that a copy lacks, or shows as they were before they left or ended."""

import unittest

import msgspec
import trio

from hopstep.ports.serving_directory import InstanceListed, InstanceRemoved
from tests.services.exchanges.exchange_world import BOUNDS
from tests.services.exchanges.restored_world import RestoredWorld

DRAIN_SECONDS = BOUNDS.drain_ms / 1_000
RESTATED_SECONDS = 1.8
"""Instances write what the copy lacks again so long after the store's return."""

BELIEVED_SECONDS = 6.0
"""An entry that stands for so long is of an instance that lives: others have lapsed by then."""

NOTICED_SECONDS = 1.5
"""Until all nodes have noticed the store's return."""

NODES = 6
SEEDS = (1, 2, 3)


class RestoredInstancesTest(unittest.TestCase):
    def run_world(self, script, seed):
        world = RestoredWorld(NODES, seed, zones=3)
        for number in range(3):
            world.add(f"i{number}")
        world.run(script)

    async def ask(self, world, seconds, nodes=None):
        """Ask nodes every so often, and return the statuses; None for refusals."""
        found = []
        until = trio.current_time() + seconds
        while trio.current_time() < until:
            for node in list(nodes or world.nodes):
                found.append((await world.request("open", node=world.nodes.index(node))).status)
            await trio.sleep(0.1)
        return found

    def sent(self, world, instance_id, since):
        """Return when requests were sent to an instance after a time."""
        at = world.instances.servers[instance_id].arrived_at
        return [round(each - since, 2) for each in at if each > since]

    def test_an_instance_that_has_said_it_leaves_is_used_again_by_an_old_entry(self):
        # Requests reached it until it had said so again; also those of nodes that started then.
        for seed in SEEDS:
            with self.subTest(seed=seed):

                async def script(world):
                    copy = world.shared.model.backup()
                    leaving = msgspec.structs.replace(world.listed["i0"], draining=True)
                    world.publish(InstanceListed(leaving))
                    said_at = trio.current_time()
                    await trio.sleep(DRAIN_SECONDS)
                    await world.lose(copy, 0.5)
                    await trio.sleep(NOTICED_SECONDS)
                    world.start_node(world.nursery, "n9", "z1")
                    await trio.sleep(1.0)
                    await self.ask(world, 3.0)
                    self.assertEqual(self.sent(world, "i0", said_at + DRAIN_SECONDS), [])

                self.run_world(script, seed)

    def test_an_instance_that_has_left_is_used_again_by_an_old_entry(self):
        # It serves on for seconds after its entry has gone, and requests reached it.
        for seed in SEEDS:
            with self.subTest(seed=seed):

                async def script(world):
                    copy = world.shared.model.backup()
                    leaving = msgspec.structs.replace(world.listed["i0"], draining=True)
                    world.publish(InstanceListed(leaving))
                    said_at = trio.current_time()
                    await trio.sleep(DRAIN_SECONDS)
                    world.publish(InstanceRemoved("i0"))
                    await trio.sleep(1.0)
                    await world.lose(copy, 0.5)
                    await self.ask(world, 4.0)
                    self.assertEqual(self.sent(world, "i0", said_at + DRAIN_SECONDS), [])

                self.run_world(script, seed)

    def test_an_instance_that_has_ended_is_used_again_by_an_old_entry(self):
        # Requests were sent to where it had been until the entry lapsed once more.
        for seed in SEEDS:
            with self.subTest(seed=seed):

                async def script(world):
                    copy = world.shared.model.backup()
                    ended = world.listed["i0"]
                    world.publish(InstanceRemoved("i0"))
                    await trio.sleep(1.0)
                    await world.lose(copy, 0.5)
                    calls = len(world.instances.calls)
                    await self.ask(world, 3.0)
                    sent = {call.instance.instance_id for call in world.instances.calls[calls:]}
                    self.assertNotIn("i0", sent)
                    world.publish(InstanceListed(msgspec.structs.replace(ended, slots=9)))
                    for name in ("i1", "i2"):
                        world.publish(InstanceRemoved(name))
                    await trio.sleep(1.0)
                    self.assertEqual(set(await self.ask(world, 1.0)), {200}, "written anew")

                self.run_world(script, seed)

    def test_an_instance_whose_entry_stands_is_believed_to_live_after_all(self):
        # One whose entry had lapsed although it lived would never be used again.
        for seed in SEEDS:
            with self.subTest(seed=seed):

                async def script(world):
                    copy = world.shared.model.backup()
                    world.publish(InstanceRemoved("i0"))
                    await trio.sleep(1.0)
                    await world.lose(copy, 0.5)
                    await trio.sleep(BELIEVED_SECONDS)
                    calls = len(world.instances.calls)
                    await self.ask(world, 1.0)
                    sent = {call.instance.instance_id for call in world.instances.calls[calls:]}
                    self.assertIn("i0", sent)

                self.run_world(script, seed)

    def test_instances_that_a_copy_lacks_are_given_up_before_they_can_write_again(self):
        # Requests were refused, or all sent to those few that the copy had.
        for seed in SEEDS:
            with self.subTest(seed=seed):

                async def script(world):
                    copy = world.shared.model.backup()
                    for name in ("i0", "i1", "i2"):
                        world.publish(InstanceRemoved(name))
                    for name in ("i3", "i4"):
                        world.add(name)
                    await trio.sleep(2.0)
                    await world.lose(copy, 0.5)
                    returned_at = trio.current_time()
                    statuses = await self.ask(world, RESTATED_SECONDS)
                    for name in ("i3", "i4"):
                        world.publish(InstanceListed(world.listed[name]))
                    statuses += await self.ask(world, 2.0)
                    self.assertEqual(set(statuses), {200})
                    self.assertEqual(self.sent(world, "i0", returned_at), [])

                self.run_world(script, seed)
