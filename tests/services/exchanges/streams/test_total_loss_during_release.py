"""Streams that clients take up after all nodes lost power while a release was under way."""

import unittest

import structlog
import trio

from hopstep.domain.exchanges.streams.listed_versions import MIN_RETENTION_SECONDS
from hopstep.ports.serving_directory import InstanceRemoved
from tests.services.exchanges.versioned_streams import VersionedStreams

SEEDS = (1, 2, 3)
FLEETS = (3, 7)
STREAMS = 12
SLOTS = 4

LEAST_SHARE = 0.5
"""The users' bound: part of the share of new streams that resumes in touch must reach."""

BEGUN_SECONDS = 0.3
"""Time from the first stream to the loss: each has some events by then."""

DOWN_SECONDS = 0.5
RECORDED_SECONDS = 2.0
"""Time in which all nodes know that a version has joined, and is recorded."""

WRITTEN = [["v1"], ["v1", "v2"], ["v2"]]
"""Versions in the record after each write of a start and a release."""


class TotalLossTest(unittest.TestCase):
    def play(self, nodes, seed, release, before=None):
        """Play streams of one version, a loss of all nodes, and a release meanwhile.

        Args:
            nodes: Number of nodes.
            seed: Seed of the world.
            release: Changes the engines while all nodes are down.
            before: Changes them before the streams begin.

        Returns:
            What was played.
        """
        played = VersionedStreams(nodes, seed)
        for number in range(3):
            played.add(f"e{number}", "v1", slots=SLOTS)

        async def script(_world):
            await trio.sleep(1.0)
            if before is not None:
                await before(played)
            async with trio.open_nursery() as nursery:
                for number in range(STREAMS):
                    nursery.start_soon(played.stream, number % nodes)
                await trio.sleep(BEGUN_SECONDS)
                for number in range(nodes):
                    played.kill_node(number)
                await release(played)
                await trio.sleep(DOWN_SECONDS)
                for number in range(nodes):
                    played.restart_node(number)

        played.world.run(script)
        return played

    def check_all(self, check, release, **options):
        for nodes in FLEETS:
            for seed in SEEDS:
                with self.subTest(nodes=nodes, seed=seed):
                    check(self.play(nodes, seed, release, **options))

    async def replace_all(self, played):
        """Put engines of a new version in the place of all others, which serve on unlisted."""
        for number in range(3):
            played.add(f"n{number}", "v2", slots=SLOTS)
            played.world.publish(InstanceRemoved(f"e{number}"))

    async def join(self, played):
        """List engines of a new version beside the others."""
        for number in range(3):
            played.add(f"n{number}", "v2", slots=SLOTS)

    def test_no_stream_goes_on_at_a_version_that_replaced_its_own_while_all_nodes_were_down(self):
        # Nodes that had just started took the only listed version for the one that began it.
        def check(played):
            begun = [stream for stream in played.streams if stream.origin]
            self.assertGreater(len(begun), STREAMS / 2)
            self.assertEqual(played.mixed(), [])

        self.check_all(check, self.replace_all)

    def test_streams_go_on_at_their_version_where_another_joined_while_all_nodes_were_down(self):
        # Nodes that had just started knew two versions, and no stream's origin: all were refused.
        def check(played):
            self.assertEqual(played.mixed(), [])
            self.assertGreater(played.resumed.tried, 0)
            self.assertGreaterEqual(played.resumed.share, LEAST_SHARE * played.began.share)

        self.check_all(check, self.join)

    def test_streams_of_both_versions_keep_theirs_where_one_leaves_while_all_nodes_are_down(self):
        # The version that stayed was the only one that was listed to nodes that had just started.
        async def begin_release(played):
            await self.join(played)
            await trio.sleep(RECORDED_SECONDS)

        async def end_release(played):
            for number in range(3):
                played.world.publish(InstanceRemoved(f"e{number}"))

        def check(played):
            versions = {version for s in played.streams for version in played.versions(s)}
            self.assertEqual(versions, {"v1", "v2"})
            self.assertEqual(played.mixed(), [])

        self.check_all(check, end_release, before=begin_release)

    def test_no_stream_goes_on_at_another_version_where_the_store_lost_that_one_had_joined(self):
        # A copy of the store from before a version joined shows a single one.
        async def begin_release(played):
            backup.append(played.world.shared.model.backup())
            await self.replace_all(played)
            await trio.sleep(RECORDED_SECONDS)

        async def restore(played):
            played.world.shared.restore(backup.pop())
            for number in range(3):
                played.world.publish(InstanceRemoved(f"e{number}"))
                played.add(f"x{number}", "v3", slots=SLOTS)

        backup = []
        self.check_all(
            lambda played: self.assertEqual(played.mixed(), []), restore, before=begin_release
        )

    def test_a_release_costs_the_store_two_writes_whatever_the_number_of_nodes(self):
        # Each node would write the record, and each write wakes all that watch the store.
        for nodes, until_forgotten in ((3, True), (7, True), (79, False)):
            with self.subTest(nodes=nodes), structlog.testing.capture_logs() as lines:
                self.play_release(nodes, until_forgotten=until_forgotten)
                written = [line for line in lines if line["event"] == "software_versions_recorded"]
                expected = WRITTEN if until_forgotten else WRITTEN[:-1]
                self.assertEqual([sorted(line["versions"]["llm"]) for line in written], expected)

    def play_release(self, nodes, *, until_forgotten):
        """Play a release without a fault, perhaps until no client holds a stream from before it."""
        played = VersionedStreams(nodes, 1)
        played.add("e0", "v1")

        async def script(world):
            await trio.sleep(RECORDED_SECONDS)
            played.add("n0", "v2")
            await trio.sleep(RECORDED_SECONDS)
            world.publish(InstanceRemoved("e0"))
            if until_forgotten:
                await trio.sleep(MIN_RETENTION_SECONDS + RECORDED_SECONDS)

        played.world.run(script)
