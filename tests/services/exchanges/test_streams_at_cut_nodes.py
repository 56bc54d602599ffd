"""Streams that are resumed at nodes that don't hear of a new software version."""

import unittest

import trio

from hopstep.exceptions import ErrorCode
from hopstep.ports.serving_directory import InstanceRemoved
from tests.services.exchanges.versioned_streams import CLIENT_SECONDS, ROUTE, VersionedStreams

SEEDS = (1, 2, 3)
FLEETS = (3, 7)
STREAMS = 12
SLOTS = 4
"""Slots of an engine: few, so that streams spread over engines of all versions."""

RESUMES = 60
"""Streams that are resumed at once."""

REFUSAL_SECONDS = 0.3
"""Longest time until a resume is refused."""

ALLOWED_MIXED = 2
"""The users' bound on streams that hold events of two software versions."""

LEAST_SHARE = 0.5
"""The users' bound: part of the share of new streams that resumes in touch must reach."""

LEAVE_SECONDS = 0.22
"""Time after which a client's first connection breaks: a few events."""

JOIN_SECONDS = 0.1
"""Time from the fault until engines of a new version join."""

AWAY_SECONDS = 2.6
"""Time for which the store is away when streams begin: nodes know that by then."""

RECORDING_CHECK_SECONDS = 0.02

LATE_JOIN_SECONDS = 3.5
"""The same where no cut node's view of the directory is recent any more."""


def cut_nodes(played, number):
    """Silence a node's links to all other nodes."""
    played.world.network.isolate(f"n{number}")


def cut_store(played, number):
    """Silence a node's links to the store."""
    played.world.directories[number].unresponsive = True
    played.world.stores[number].cut_off = True


def stand_still(played, number):
    """Let nothing reach a node, and nothing leave it, as while its process stands still."""
    cut_nodes(played, number)
    cut_store(played, number)


def heal(played, number):
    """Restore a node's links."""
    name = f"n{number}"
    network = played.world.network
    network.cut = {link for link in network.cut if name not in link}
    played.world.directories[number].unresponsive = False
    played.world.stores[number].cut_off = False


def take_store_away(played):
    """Let the store answer nobody."""
    for number in range(len(played.world.nodes)):
        cut_store(played, number)


def cut_halves(played, first):
    """Cut the links between a group of nodes and all others."""
    names = {f"n{number}" for number in range(len(played.world.nodes))}
    group = {f"n{number}" for number in first}
    for name in group:
        for other in names - group:
            played.world.network.cut |= {(name, other), (other, name)}


class CutNodesTest(unittest.TestCase):
    def play(self, nodes, seed, disturb, join=None, join_seconds=JOIN_SECONDS, begin_nodes=(0, -1)):
        """Play streams that begin at nodes in touch after a fault and are resumed at a cut node.

        Args:
            nodes: Number of nodes; the one with number 1 is cut.
            seed: Seed of the world.
            disturb: Begins the fault.
            join: Lists engines of a new version; None for three beside the earlier ones.
            join_seconds: Time from the fault until then.
            begin_nodes: Nodes at which streams begin; negative numbers count from the last one.

        Returns:
            What was played.
        """
        played = VersionedStreams(nodes, seed)
        for number in range(3):
            played.add(f"e{number}", "v1", slots=SLOTS)

        async def script(_world):
            disturb(played)
            await trio.sleep(join_seconds)
            await (join or self.join)(played)
            for node in begin_nodes:
                await self.wait_known(played.world.nodes[node], "v2")
            async with trio.open_nursery() as nursery:
                for number in range(3 * STREAMS):
                    node = begin_nodes[number % len(begin_nodes)] % nodes
                    nursery.start_soon(played.stream, node, LEAVE_SECONDS, 1)
                    await trio.sleep(0.02)

        played.world.run(script)
        return played

    async def join(self, played):
        """List engines of a new version."""
        for number in range(3):
            played.add(f"n{number}", "v2", slots=SLOTS)

    async def wait_known(self, node, version):
        """Wait until a node begins streams at a version.

        It may first have to notice that its relay is cut, which would record the version.
        """
        versions = node.knowledge.recorded_versions
        while version not in node.knowledge.instances.versions.listed("llm"):
            await node.knowledge.changed.wait()
        while not versions.may_begin("llm", version, trio.current_time()):
            with trio.move_on_after(RECORDING_CHECK_SECONDS):
                await node.knowledge.changed.wait()

    def check(self, played):
        """Check that streams began on the new version, and that hardly any was mixed."""
        begun = [stream for stream in played.streams if "v2" in played.versions(stream)]
        self.assertGreaterEqual(len(begun), 3)
        self.assertLessEqual(len(played.mixed()), ALLOWED_MIXED)

    def play_all(self, disturb, **options):
        for nodes in FLEETS:
            for seed in SEEDS:
                with self.subTest(nodes=nodes, seed=seed):
                    self.check(self.play(nodes, seed, disturb, **options))

    def test_a_node_cut_from_store_and_nodes_goes_on_with_no_stream_of_a_new_version(self):
        # It took the lack of answers for agreement that there was one version.
        def disturb(played):
            cut_nodes(played, 1)
            cut_store(played, 1)

        self.play_all(disturb)

    def test_a_half_without_the_store_goes_on_with_no_stream_of_the_other_half(self):
        # Answers of half of the nodes counted as enough, though none of them had a recent view.
        def disturb(played):
            half = range(1, 2 + len(played.world.nodes) // 2)
            cut_halves(played, half)
            for number in half:
                cut_store(played, number)

        for join_seconds in (JOIN_SECONDS, LATE_JOIN_SECONDS):
            self.play_all(disturb, join_seconds=join_seconds, begin_nodes=(0,))

    def test_a_node_cut_from_the_store_alone_goes_on_with_the_right_version(self):
        # Its own view lacked the new version; nodes that answer have read it.
        for nodes in FLEETS:
            for seed in SEEDS:
                with self.subTest(nodes=nodes, seed=seed):
                    played = self.play(nodes, seed, lambda played: cut_store(played, 1))
                    self.check(played)
                    self.assertGreaterEqual(played.resumed.share, LEAST_SHARE * played.began.share)

    def test_a_node_cut_from_the_nodes_alone_goes_on_with_no_stream_of_a_new_version(self):
        # Nobody answered it, and its reading was from before the new version.
        self.play_all(lambda played: cut_nodes(played, 1))

    def test_a_node_that_wakes_goes_on_with_no_stream_of_a_new_version(self):
        # It used the view of the time before it stood still.
        for seconds in (0.3, 2.9):

            async def join_and_wake(played, seconds=seconds):
                await self.join(played)
                await trio.sleep(seconds)
                heal(played, 1)

            self.play_all(lambda played: stand_still(played, 1), join=join_and_wake)

    def test_streams_of_the_first_engine_of_a_version_keep_it_at_all_nodes(self):
        # They began before the other nodes had heard of the version.
        self.play_all(lambda played: None, join_seconds=0.0)
        self.play_all(lambda played: None, join_seconds=0.0, begin_nodes=(0,))

    def test_streams_keep_their_version_where_it_follows_another_one(self):
        # The cut node sent them to instances of the version that was leaving.
        async def follow(played):
            await self.join(played)
            for number in range(3):
                played.world.publish(InstanceRemoved(f"e{number}"))

        self.play_all(lambda played: stand_still(played, 1), join=follow)
        self.play_all(lambda played: None, join=follow)

    def test_streams_of_a_version_that_came_and_went_are_not_resumed_at_another(self):
        # A node that had not heard of the version went on at the one that stayed.
        for disturb in (lambda played: None, lambda played: stand_still(played, 1)):
            for nodes in FLEETS:
                for seed in SEEDS:
                    with self.subTest(nodes=nodes, seed=seed):
                        self.play_short_lived(nodes, seed, disturb)

    def play_short_lived(self, nodes, seed, disturb):
        """Play streams of a version that is gone when a healed node gets their resumes."""
        played = VersionedStreams(nodes, seed)
        for number in range(3):
            played.add(f"e{number}", "v1", slots=SLOTS)

        async def script(world):
            disturb(played)
            await self.join(played)
            await self.wait_known(world.nodes[0], "v2")
            async with trio.open_nursery() as nursery:
                for _ in range(STREAMS):
                    nursery.start_soon(played.stream, 0, LEAVE_SECONDS, 1)
                await trio.sleep(LEAVE_SECONDS)
                for number in range(3):
                    world.instances.servers[f"n{number}"].end()
                    played.world.publish(InstanceRemoved(f"n{number}"))
                heal(played, 1)

        played.world.run(script)
        self.check(played)


class ServedStreamsTest(unittest.TestCase):
    def play_one_version(self, nodes, seed, disturb, away_seconds=0.0):
        """Play streams of one version whose node dies some time after a fault."""
        played = VersionedStreams(nodes, seed)
        for number in range(3):
            played.add(f"e{number}", "v1")

        async def script(_world):
            disturb(played)
            await trio.sleep(away_seconds)
            for number in range(STREAMS):
                played.world.nursery.start_soon(played.stream, 0, None, 1 + number % (nodes - 1))
            await trio.sleep(LEAVE_SECONDS)
            played.kill_node(0)
            await trio.sleep(CLIENT_SECONDS)

        played.world.run(script)
        return played

    def test_streams_of_one_version_go_on_where_their_node_died(self):
        # Without its record a stream was refused although a reading shows a single version.
        for nodes in FLEETS:
            for seed in SEEDS:
                with self.subTest(nodes=nodes, seed=seed):
                    played = self.play_one_version(nodes, seed, lambda played: None)
                    self.assertEqual(played.resumed.share, 1.0)

    def test_streams_go_on_where_their_node_died_while_the_store_is_away(self):
        # Nobody had a record of them, and while nobody reads the store a dead node proves nothing.
        for nodes in FLEETS:
            for seed in SEEDS:
                with self.subTest(nodes=nodes, seed=seed):
                    played = self.play_one_version(nodes, seed, take_store_away, AWAY_SECONDS)
                    self.assertEqual(played.resumed.share, 1.0)

    def test_resumes_after_the_death_of_a_node_share_readings_of_the_store(self):
        # Each resume read the store for itself, which limits the rate of calls.
        played = VersionedStreams(7)
        for number in range(3):
            played.add(f"e{number}", "v1")
        calls = []

        async def script(world):
            for number in range(RESUMES):
                world.nursery.start_soon(played.stream, 0, None, 1 + number % 6)
            await trio.sleep(LEAVE_SECONDS)
            calls.append(world.calls)
            played.kill_node(0)
            await trio.sleep(CLIENT_SECONDS)
            calls.append(world.calls)

        played.world.run(script)
        self.assertEqual(played.resumed.went_on, RESUMES)
        self.assertLess(calls[1] - calls[0], RESUMES / 4)

    def test_a_cut_node_refuses_a_resume_at_once_as_not_run(self):
        # A client that waits for an answer can't try another node meanwhile.
        played = VersionedStreams(3)
        played.add("e0", "v1")

        async def script(world):
            stand_still(played, 1)
            asked_at = trio.current_time()
            answer = await world.request(ROUTE, 1, resumes="begun", resume_after="3")
            self.assertLess(trio.current_time() - asked_at, REFUSAL_SECONDS)
            self.assertTrue(answer.promised_not_run)
            self.assertIs(answer.error.code, ErrorCode.STREAM_NOT_RESUMABLE)
            self.assertGreater(answer.error.retry_after_seconds, 0.0)

        played.world.run(script)
