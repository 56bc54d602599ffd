"""A store that comes back from a copy: what is written after its return is in force in time."""

import unittest

import msgspec
import trio

from hopstep.ports.serving_directory import InstanceListed
from tests.services.exchanges.exchange_world import BOUNDS
from tests.services.exchanges.restored_world import LOST_CHANGES, RestoredWorld

WEIGHTS_SECONDS = BOUNDS.weights_ms / 1_000
DRAIN_SECONDS = BOUNDS.drain_ms / 1_000
CALM_SECONDS = 3.0
"""From the store's return to the first change: more than nodes need to notice it."""

NODES = 6
SEEDS = (1, 2, 3)


class RestoredStoreTest(unittest.TestCase):
    def run_world(self, script, seed):
        world = RestoredWorld(NODES, seed, zones=3)
        for number in range(4):
            world.add(f"e{number}", "llm", zone=f"z{1 + number % 3}")
            world.add(f"i{number}", zone=f"z{1 + number % 3}")
        world.run(script)

    async def come_back_from_copy(self, world, before_loss=lambda: None):
        """Lose some changes, and wait for a while; return the revision that nodes have seen."""
        copy = world.shared.model.backup()
        world.change_configuration(LOST_CHANGES)
        before_loss()
        await trio.sleep(CALM_SECONDS)
        reached = await world.lose(copy)
        await trio.sleep(CALM_SECONDS)
        return reached

    def relist(self, world, instance_id, **changes):
        """Write an instance's entry again."""
        changed = msgspec.structs.replace(world.listed[instance_id], **changes)
        world.publish(InstanceListed(changed))

    async def ask(self, world, name, seconds):
        """Ask all nodes every so often."""
        until = trio.current_time() + seconds
        while trio.current_time() < until:
            for node in range(NODES):
                await world.request(name, node=node)
            await trio.sleep(0.1)

    def check_nothing_reached(self, world, instance_id, since):
        """No request has reached an instance from a time on."""
        runs = [run.at - since for run in world.instances.servers[instance_id].runs]
        self.assertEqual([late for late in runs if late > 0], [])

    def test_weights_named_among_revisions_given_out_again_are_missed(self):
        # Requests went on running on old weights after the bound.
        for seed in SEEDS:
            with self.subTest(seed=seed):

                async def script(world):
                    reached = await self.come_back_from_copy(world)
                    world.name_weights(2)
                    named_at = trio.current_time()
                    world.catch_up(reached)
                    await self.ask(world, "stream", WEIGHTS_SECONDS + 1.0)
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
        # Requests went on reaching an instance that had said that it leaves.
        for seed in SEEDS:
            with self.subTest(seed=seed):

                async def script(world):
                    reached = await self.come_back_from_copy(world)
                    self.relist(world, "i0", draining=True)
                    said_at = trio.current_time()
                    world.catch_up(reached)
                    await self.ask(world, "safe", DRAIN_SECONDS + 1.0)
                    self.check_nothing_reached(world, "i0", said_at + DRAIN_SECONDS)

                self.run_world(script, seed)

    def test_leaving_said_at_a_revision_below_the_entrys_last_one_is_passed_over(self):
        # Requests went on reaching it although nodes listed the store again and again.
        for seed in SEEDS:
            with self.subTest(seed=seed):

                async def script(world):
                    await self.come_back_from_copy(
                        world, lambda: self.relist(world, "i0", order_sequence=1)
                    )
                    self.relist(world, "i0", draining=True)
                    said_at = trio.current_time()
                    await self.ask(world, "safe", DRAIN_SECONDS + 1.0)
                    self.check_nothing_reached(world, "i0", said_at + DRAIN_SECONDS)

                self.run_world(script, seed)
