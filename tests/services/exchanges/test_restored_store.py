"""After a restore of the store from a backup, new writes are in force in time."""

import unittest

import msgspec
import trio

from hopstep.ports.serving_directory import InstanceListed
from tests.services.exchanges.exchange_world import BOUNDS
from tests.services.exchanges.restored_world import LOST_CHANGES, RestoredWorld

WEIGHTS_SECONDS = BOUNDS.weights_ms / 1_000
DRAIN_SECONDS = BOUNDS.drain_ms / 1_000
CALM_SECONDS = 3.0
"""Time from the store's return to the first change: longer than nodes take to notice it."""

NODES = 6
SEEDS = (1, 2, 3)


class RestoredStoreTest(unittest.TestCase):
    def run_world(self, script, seed):
        world = RestoredWorld(NODES, seed, zones=3)
        for number in range(4):
            world.add(f"e{number}", "llm", zone=f"z{1 + number % 3}")
            world.add(f"i{number}", zone=f"z{1 + number % 3}")
        world.run(script)

    async def restore_backup(self, world, before_outage=lambda: None):
        """Restore the store from a backup that lacks changes; return its revision before that."""
        backup = world.shared.model.backup()
        world.change_configuration(LOST_CHANGES)
        before_outage()
        await trio.sleep(CALM_SECONDS)
        reached = await world.restore_after_outage(backup)
        await trio.sleep(CALM_SECONDS)
        return reached

    def relist(self, world, instance_id, **changes):
        """Rewrite an instance's entry with changes."""
        changed = msgspec.structs.replace(world.listed[instance_id], **changes)
        world.publish(InstanceListed(changed))

    async def send_requests(self, world, name, seconds):
        """Send requests to all nodes periodically."""
        until = trio.current_time() + seconds
        while trio.current_time() < until:
            for node in range(NODES):
                await world.request(name, node=node)
            await trio.sleep(0.1)

    def check_nothing_reached(self, world, instance_id, since):
        """Check that no request has reached an instance after a time."""
        runs = [run.at - since for run in world.instances.servers[instance_id].runs]
        self.assertEqual([late for late in runs if late > 0], [])

    def test_weights_named_among_revisions_given_out_again_are_missed(self):
        # Fault: requests still run on old weights after the bound.
        for seed in SEEDS:
            with self.subTest(seed=seed):

                async def script(world):
                    reached = await self.restore_backup(world)
                    world.name_weights(2)
                    named_at = trio.current_time()
                    world.advance_revision(reached)
                    await self.send_requests(world, "stream", WEIGHTS_SECONDS + 1.0)
                    for server in world.instances.servers.values():
                        late = [
                            run.at - named_at
                            for run in server.runs
                            if run.version == 1 and run.at > named_at + WEIGHTS_SECONDS
                        ]
                        self.assertEqual(late, [])
                    known = [node.knowledge.weights.newest("m") for node in world.nodes]
                    self.assertEqual(known, [2] * NODES)

                self.run_world(script, seed)

    def test_leaving_said_among_revisions_given_out_again_is_missed(self):
        # Fault: requests still reach an instance that announced its shutdown.
        for seed in SEEDS:
            with self.subTest(seed=seed):

                async def script(world):
                    reached = await self.restore_backup(world)
                    self.relist(world, "i0", draining=True)
                    announced_at = trio.current_time()
                    world.advance_revision(reached)
                    await self.send_requests(world, "safe", DRAIN_SECONDS + 1.0)
                    self.check_nothing_reached(world, "i0", announced_at + DRAIN_SECONDS)

                self.run_world(script, seed)

    def test_leaving_said_at_a_revision_below_the_entrys_last_one_is_passed_over(self):
        # Fault: requests still reach it although nodes list the store repeatedly.
        for seed in SEEDS:
            with self.subTest(seed=seed):

                async def script(world):
                    await self.restore_backup(
                        world, lambda: self.relist(world, "i0", order_sequence=1)
                    )
                    self.relist(world, "i0", draining=True)
                    announced_at = trio.current_time()
                    await self.send_requests(world, "safe", DRAIN_SECONDS + 1.0)
                    self.check_nothing_reached(world, "i0", announced_at + DRAIN_SECONDS)

                self.run_world(script, seed)
