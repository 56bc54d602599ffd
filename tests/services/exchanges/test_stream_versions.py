"""A stream goes on at the software version that began it, within an answer and over its tries."""

import unittest

import structlog
import trio

from emulator.exchange_platform.emulated_instance import Behaviour
from tests.services.exchanges.exchange_world import ExchangeWorld
from tests.services.exchanges.versioned_streams import VersionedStreams


class LogsTest(unittest.TestCase):
    def test_logs_name_software_versions_and_the_resumed_request(self):
        # A node's log didn't tell a client's resume from a new stream, nor the versions apart.
        world = ExchangeWorld()
        server = world.add("a", "llm", software_version="v1")

        async def script(world):
            server.behaviour = Behaviour.BREAK_STREAM
            await world.request("resumable", request_id="r1")
            server.behaviour = Behaviour.SERVE
            await world.request("resumable", request_id="r2", resumes="r1", resume_after="1")

        with structlog.testing.capture_logs() as lines:
            world.run(script)
        listed = [line for line in lines if line["event"] == "instance_listed"]
        self.assertEqual([line["software_version"] for line in listed], ["v1"])
        failed = [line for line in lines if line["event"] == "exchange_attempt_failed"]
        self.assertEqual([line["software_version"] for line in failed], ["v1"])
        ended = [line for line in lines if line["event"] == "exchange_ended"]
        fields = ("request_id", "software_version", "resumes", "resume_after")
        told = [tuple(line[name] for name in fields) for line in ended]
        self.assertEqual(told, [("r1", "v1", "", ""), ("r2", "v1", "r1", "1")])


SEEDS = (1, 2, 3)
STREAMS = 40
STREAM_INTERVAL_SECONDS = 0.1
LARGE_FLEETS = ((7, 4), (79, 60))
"""Nodes, and how many of them die at once."""

LEAST_SHARE = 0.5
"""The users' bound: part of the share of new streams that resumes must reach."""

UNWRITTEN_SECONDS = 0.35
"""Time after its first event in which a stream's origin may not be in the store yet."""

ALLOWED_GAP = 0.02
"""Part by which fewer resumes may go on than new streams begin."""


class StreamsTest(unittest.TestCase):
    def play(self, played, disturb=None, **options):
        """Play streams, and something beside them; return what was played."""
        for number in range(6):
            played.add(f"e{number}", f"v{1 + number % 2}")

        async def script(_world):
            async with trio.open_nursery() as nursery:
                if disturb is not None:
                    nursery.start_soon(disturb, played)
                for _ in range(STREAMS):
                    nursery.start_soon(lambda: played.stream(**options))
                    await trio.sleep(STREAM_INTERVAL_SECONDS)

        played.world.run(script)
        return played

    def check_resumed(self, played):
        """Check the users' two rules, with stricter bounds."""
        self.assertEqual(played.mixed(), [])
        self.assertGreater(played.resumed.tried, 0)
        self.assertGreaterEqual(played.resumed.share, played.began.share - ALLOWED_GAP)


class BrokenStreamsTest(StreamsTest):
    def test_a_stream_does_not_go_on_at_another_software_version(self):
        # A node went on with a broken stream at any instance of the service.
        for seed in SEEDS:
            with self.subTest(seed=seed):
                played = VersionedStreams(nodes=1, seed=seed)
                self.play(played, lambda played: played.crash_in_turn(4.0), tries=1)
                self.assertEqual(played.mixed(), [])
                self.assertGreater(played.resumed_within(), 0)

    def run_one(self, prepare, **options):
        """Break a stream at its first engine, list others, and return it and its end."""
        played = VersionedStreams(nodes=1)
        ended = []

        async def script(world):
            first = played.add("a1", "v1", **options)
            await trio.sleep(0.5)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(played.stream, 0, None, None, 1)
                await trio.sleep(0.3)
                prepare(played, nursery)
                await trio.sleep(0.1)
                first.end()
                ended.append(trio.current_time())
            ended.append(trio.current_time())

        played.world.run(script)
        return played, ended[1] - ended[0]

    def test_a_stream_without_another_instance_of_its_version_is_cut_at_once(self):
        # It went on at another version; a wait until its deadline would serve nobody.
        played, seconds = self.run_one(lambda played, _nursery: played.add("b1", "v2"))
        stream = played.streams[0]
        self.assertTrue(stream.events)
        self.assertFalse(stream.complete)
        self.assertEqual(played.mixed(), [])
        self.assertLess(seconds, 0.5)

    def test_a_stream_waits_for_a_full_instance_of_its_version_before_new_requests(self):
        # It went on at an idle instance of another version.
        def prepare(played, nursery):
            played.add("b1", "v1", slots=1).events = 40
            played.add("b2", "v2")
            for _ in range(4):
                nursery.start_soon(played.stream, 0, None, None, 1)

        played, _seconds = self.run_one(prepare)
        self.assertTrue(played.streams[0].complete)
        self.assertEqual(played.mixed(), [])


class ResumedStreamsTest(StreamsTest):
    NODES = 3

    def play_seeds(self, disturb=None, **options):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.check_resumed(
                    self.play(VersionedStreams(self.NODES, seed), disturb, **options)
                )

    async def crash(self, played):
        """Crash engines while clients break their connections."""
        await played.crash_in_turn(4.0, every=0.5)

    async def kill(self, played):
        """Kill one node after the other."""
        for _ in range(4):
            await trio.sleep(0.9)
            number = played.generator.randrange(self.NODES)
            played.kill_node(number)
            await trio.sleep(0.3)
            played.restart_node(number)

    async def kill_all(self, played):
        """Kill all nodes at once."""
        await trio.sleep(2.0)
        for number in range(self.NODES):
            played.kill_node(number)
        await trio.sleep(0.3)
        for number in range(self.NODES):
            played.restart_node(number)

    def test_a_resumed_stream_goes_on_at_the_version_that_began_it(self):
        # A node sent a client's resume to any instance; it read neither what the client named, nor
        # remembered its own streams, nor asked the node that had begun this one.
        ways = {
            "same node": (self.crash, {"leave_after": 0.4, "node": 0, "resume_node": 0}),
            "other node": (None, {"leave_after": 0.4, "node": 0, "resume_node": 1}),
            "its node died": (self.kill, {}),
        }
        for way, (disturb, options) in ways.items():
            with self.subTest(way=way):
                self.play_seeds(disturb, **options)

    def test_streams_keep_their_version_where_most_of_a_large_fleet_dies(self):
        # Records were with the nodes that died, and the others asked nobody who had them.
        for nodes, killed in LARGE_FLEETS:
            with self.subTest(nodes=nodes):

                async def kill_most(played, killed=killed):
                    await trio.sleep(2.0)
                    for number in range(killed):
                        played.kill_node(number)

                played = VersionedStreams(nodes, zones=3)
                self.play(played, kill_most)
                self.check_resumed(played)

    def test_a_stream_that_lacks_only_its_end_is_ended(self):
        # A resume without a further event was taken for an answer that broke off: 502.
        played = VersionedStreams(nodes=1)
        played.add("a", "v1").events = 5

        async def script(world):
            answer = await world.request("resumable", resumes="r", resume_after="4")
            self.assertTrue(answer.finished, answer.error)
            self.assertEqual((answer.status, answer.body), (200, b""))

        played.world.run(script)

    def test_a_resumed_stream_keeps_its_version_after_all_nodes_died(self):
        # No node remembered any stream.
        for seed in SEEDS:
            with self.subTest(seed=seed):
                played = self.play(VersionedStreams(self.NODES, seed), self.kill_all)
                self.assertEqual(played.mixed(), [])
                self.assertEqual(played.lost(older_than=UNWRITTEN_SECONDS), [])
                self.assertGreaterEqual(played.resumed.share, LEAST_SHARE * played.began.share)
