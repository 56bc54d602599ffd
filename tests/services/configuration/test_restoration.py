"""A store restored from a backup: accepted changes are written again, or reported as lost."""

import unittest

import structlog
import trio

from emulator.platform.in_memory import InMemoryStore
from emulator.virtual_time import run_in_virtual_time
from hopstep.domain.configuration.encoding import decode_change
from hopstep.services.configuration.store import CHANGES_PREFIX
from hopstep.services.configuration.submission import SubmitStatus, submit_change
from tests.services.configuration.configuration_world import (
    CONVERGENCE_SECONDS,
    NODES,
    Parts,
    World,
)
from tests.services.configuration_samples import resize

SETTLED_SECONDS = 8.0
"""Time until every router has the accepted changes."""


class RestorationTest(unittest.TestCase):
    def run_world(self, script):
        async def main():
            async with trio.open_nursery() as nursery:
                world = World(nursery, Parts())
                world.check_applied = lambda *_: None
                await world.start()
                await trio.sleep(SETTLED_SECONDS)
                await script(world)
                nursery.cancel_scope.cancel()

        with structlog.testing.capture_logs() as lines:
            run_in_virtual_time(main)
        return lines

    async def submit(self, world, name, base, capacity):
        outcome = await submit_change(world.operator(), resize(name, base, 0, capacity))
        self.assertIs(outcome.status, SubmitStatus.ACCEPTED)
        return outcome.revision

    async def stored_ids(self, world):
        """Return the identities of the changes that the store holds, by revision."""
        values = await InMemoryStore(world.shared).list(CHANGES_PREFIX)
        return {
            int(value.key.removeprefix(CHANGES_PREFIX)): decode_change(value.value).change_id
            for value in values
            if value.value
        }

    def in_force(self, world):
        """Return the distinct configurations in force at the routers."""
        found = []
        for node in world.nodes.values():
            if node.holder.current not in found:
                found.append(node.holder.current)
        return found

    def test_accepted_changes_that_a_backup_lacks_are_written_again(self):
        # Otherwise routers and store disagree, and the next change reuses a taken revision.
        async def script(world):
            backup = world.shared.model.backup()
            for revision in (2, 3, 4):
                await self.submit(world, f"c{revision}", revision - 1, revision)
            await trio.sleep(SETTLED_SECONDS)
            (before,) = self.in_force(world)
            world.shared.restore(backup)
            await trio.sleep(CONVERGENCE_SECONDS)
            expected = {1: "first", 2: "c2", 3: "c3", 4: "c4"}
            self.assertEqual(await self.stored_ids(world), expected)
            self.assertEqual(self.in_force(world), [before])
            self.assertEqual(await self.submit(world, "c5", 4, 9), 5)
            await trio.sleep(CONVERGENCE_SECONDS)
            (after,) = self.in_force(world)
            self.assertEqual(after.revision, 5)
            self.assertEqual(after.configuration.back_ends[0].max_concurrent_requests, 9)

        lines = self.run_world(script)
        written = [line["change_id"] for line in lines if line["number"] == "HS4007"]
        self.assertEqual(sorted(set(written)), ["c2", "c3", "c4"])

    def test_a_change_whose_revision_was_taken_since_is_reported_as_displaced(self):
        # Otherwise routers keep it in force while the store has another change, unreported.
        async def script(world):
            backup = world.shared.model.backup()
            await self.submit(world, "lost", 1, 7)
            await trio.sleep(SETTLED_SECONDS)
            for node in world.nodes.values():
                node.port.cut_off = True
            world.shared.restore(backup)
            await self.submit(world, "taker", 1, 8)
            for node in world.nodes.values():
                node.port.cut_off = False
            await trio.sleep(2 * CONVERGENCE_SECONDS)
            (after,) = self.in_force(world)
            self.assertEqual(after.configuration.back_ends[0].max_concurrent_requests, 8)
            self.assertEqual((await self.stored_ids(world))[2], "taker")
            displaced = [node.sync.displaced for node in world.nodes.values()]
            named = {(d.lost.change_id, d.taken_by) for changes in displaced for d in changes}
            self.assertEqual(named, {("lost", "taker")})
            latest = after.revision
            await self.submit(world, "next", latest, 3)
            await trio.sleep(CONVERGENCE_SECONDS)
            (after,) = self.in_force(world)
            self.assertEqual(after.configuration.back_ends[0].max_concurrent_requests, 3)

        lines = self.run_world(script)
        logged = [line for line in lines if line["number"] == "HS4008"]
        self.assertTrue(logged)
        self.assertEqual({(line["lost"], line["taken_by"]) for line in logged}, {("lost", "taker")})

    def test_a_router_that_was_cut_off_during_the_restore_adopts_the_sequence_of_the_others(self):
        # Otherwise it applies later changes on another base than the other routers.
        async def script(world):
            backup = world.shared.model.backup()
            await self.submit(world, "lost", 1, 7)
            await trio.sleep(SETTLED_SECONDS)
            cut_off_node = NODES[-1]
            world.isolated.add(cut_off_node)
            for node in world.nodes.values():
                node.port.cut_off = True
            world.shared.restore(backup)
            await self.submit(world, "taker", 1, 8)
            for name, node in world.nodes.items():
                node.port.cut_off = name == cut_off_node
            await trio.sleep(2 * CONVERGENCE_SECONDS)
            latest = max(node.holder.revision for node in world.nodes.values())
            await self.submit(world, "next", latest, 3)
            await trio.sleep(CONVERGENCE_SECONDS)
            world.isolated.clear()
            world.nodes[cut_off_node].port.cut_off = False
            await trio.sleep(2 * CONVERGENCE_SECONDS)
            self.assertEqual(len(self.in_force(world)), 1)

        self.run_world(script)

    def test_without_an_era_an_older_answer_is_stale_and_nothing_is_written(self):
        # A store that reports no era may answer from a cache.
        async def script(world):
            await self.submit(world, "c2", 1, 2)
            await trio.sleep(SETTLED_SECONDS)
            backup = world.shared.model.backup()
            await self.submit(world, "c3", 2, 3)
            await trio.sleep(SETTLED_SECONDS)
            world.shared.restore(backup)
            world.shared.model.era = 0
            await trio.sleep(CONVERGENCE_SECONDS)
            self.assertEqual(await self.stored_ids(world), {1: "first", 2: "c2"})
            self.assertEqual({node.holder.revision for node in world.nodes.values()}, {3})

        self.run_world(script)
