"""A paused node, or one with slow clients, loses no data and marks no peer as unresponsive."""

import unittest

import msgspec
import structlog
import trio

from emulator.exchange_platform.emulated_instance import Behaviour
from hopstep.ports.serving_directory import ConfigurationPublished
from tests.services.exchanges.exchange_world import (
    ROUTES,
    ExchangeWorld,
    RecordedAnswer,
    configuration,
)

COMPLETE_STREAM = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(5))
PAUSE_SECONDS = 2.0
"""In seconds, shorter than the route's timeout: the requests can still be served."""
SEEDS = range(1, 9)


class SlowAnswer(RecordedAnswer):
    """A client that takes some time for each chunk; a chunk whose sending is cancelled is lost."""

    def __init__(self, seconds):
        super().__init__()
        self.seconds = seconds
        self.starts = 0

    async def start(self, status, headers, length):
        self.starts += 1
        await trio.sleep(self.seconds)
        await super().start(status, headers, length)

    async def send(self, data):
        await trio.sleep(self.seconds)
        await super().send(data)


class SlowEnd(RecordedAnswer):
    """A client for which finishing a response takes some time."""

    async def finish(self):
        await trio.sleep(3.0)
        await super().finish()


class HandingOverTest(unittest.TestCase):
    """Data counted as delivered reaches the client, even if the attempt ends at the same time."""

    def run_world(self, script):
        world = ExchangeWorld()
        world.add("e0", "llm")
        world.run(script)

    def test_a_piece_that_is_being_sent_survives_the_end_of_its_attempt(self):
        async def script(world):
            patient = [msgspec.structs.replace(r, timeout_seconds=60.0) for r in ROUTES]
            world.publish(ConfigurationPublished(configuration(2, tuple(patient))))
            await trio.sleep(1.0)
            answer = SlowAnswer(2.0)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.ask, world, answer)
                await trio.sleep(0.5)
                world.instances.servers["e0"].behaviour = Behaviour.UNRESPONSIVE
                nursery.start_soon(world.request, "stream")
                await trio.sleep(0.1)
                world.add("e1", "llm")
            resumed = [call for call in world.instances.calls if call.resume_after]
            self.assertTrue(resumed, "the watchdog should have ended an attempt")
            self.assertEqual(answer.body, COMPLETE_STREAM)
            self.assertTrue(answer.finished)
            self.assertEqual(answer.starts, 1)

        self.run_world(script)

    def test_an_answer_that_is_whole_is_not_asked_for_again_when_its_instance_falls_silent(self):
        async def script(world):
            answer = SlowEnd()
            with structlog.testing.capture_logs() as lines:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self.ask, world, answer)
                    await trio.sleep(0.5)
                    world.instances.servers["e0"].behaviour = Behaviour.UNRESPONSIVE
                    nursery.start_soon(world.request, "stream")
                    await trio.sleep(0.1)
                    world.add("e1", "llm")
            self.assertEqual((answer.body, answer.finished), (COMPLETE_STREAM, True))
            self.assertEqual(len(world.instances.runs("r")), 1)
            ended = [line for line in lines if line.get("request_id") == "r"]
            self.assertEqual([line["event"] for line in ended], ["exchange_ended"])
            self.assertEqual(ended[0]["outcome"], "200")

        self.run_world(script)

    def test_an_answer_that_is_whole_at_the_deadline_is_not_called_cut(self):
        for name in ("resumable", "unsafe"):
            with self.subTest(name):
                self.check_complete_at_deadline(name)

    def check_complete_at_deadline(self, name):
        async def script(world):
            answer = SlowEnd()
            with structlog.testing.capture_logs() as lines:
                await world.request(name, patience=1.0, answer=answer)
            self.assertTrue(answer.finished)
            outcomes = [line["outcome"] for line in lines if line["event"] == "exchange_ended"]
            self.assertEqual(outcomes, ["200"])

        world = ExchangeWorld()
        world.add("e0", "llm")
        world.add("p0")
        world.run(script)

    async def ask(self, world, answer):
        await world.request("resumable", request_id="r", patience=60.0, answer=answer)

    def test_a_head_that_is_being_sent_at_the_deadline_is_sent_whole_and_once(self):
        async def script(world):
            answer = SlowAnswer(0.5)
            await world.request("resumable", patience=0.3, answer=answer)
            self.assertEqual((answer.starts, answer.status), (1, 200))
            self.assertIsNone(answer.error)
            self.assertFalse(answer.finished)

        self.run_world(script)


class OwnPauseTest(unittest.TestCase):
    """The node's process pauses while instances, store and other nodes go on."""

    def run_paused(self, seed, name="resumable", nodes=1):
        """Pause the node during requests; return their responses and the log."""
        answers = []
        lines = []

        async def script(world):
            async def ask(number):
                await trio.sleep(0.02 * number)
                answers.append(await world.request(name, patience=20.0))

            for server in world.instances.servers.values():
                server.work_seconds = 0.9
            with structlog.testing.capture_logs() as captured:
                async with trio.open_nursery() as nursery:
                    for number in range(6):
                        nursery.start_soon(ask, number)
                    await trio.sleep(0.7)
                    world.clock.jump(PAUSE_SECONDS)
                await trio.sleep(1.0)
            lines.extend(captured)

        world = ExchangeWorld(nodes, seed)
        for number in range(2):
            world.add(f"e{number}", "llm")
        world.run(script)
        return answers, lines

    def test_a_pause_of_the_node_is_not_taken_for_silence_of_instances(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                answers, lines = self.run_paused(seed)
                self.assertEqual([answer.body for answer in answers], [COMPLETE_STREAM] * 6)
                reasons = [line.get("reason") for line in lines if line["number"] == "HS3103"]
                self.assertEqual(reasons, [])

    def test_a_pause_of_the_node_is_not_taken_for_a_lost_store(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                _, lines = self.run_paused(seed, nodes=2)
                self.assertEqual([line for line in lines if line["number"] == "HS4104"], [])

    def test_a_pause_is_logged_with_its_length(self):
        _, lines = self.run_paused(1)
        pauses = [line["seconds"] for line in lines if line["number"] == "HS1008"]
        self.assertEqual(len(pauses), 1)
        self.assertAlmostEqual(pauses[0], PAUSE_SECONDS, delta=0.5)
