"""Answers without a stated length that have no end, or that are only long."""

import unittest
from unittest import mock

import structlog.testing
import trio

from emulator.exchange_platform.emulated_instance import EmulatedAnswer
from hopstep.domain.byte_budget import RESPONSE_BYTES, ByteBudget, ByteShare
from hopstep.domain.exchanges.instance_health import FIRST_SUSPENSION_SECONDS, UNBOUNDED_SECONDS
from hopstep.domain.exchanges.serving import RequestKind
from hopstep.ports.serving_directory import ConfigurationPublished
from hopstep.services.exchanges.requests.intake.held_bytes import (
    MAX_RESPONSE_BYTES,
    MAX_UNSTATED_BYTES,
)
from tests.services.exchanges.exchange_world import (
    ExchangeWorld,
    RecordedAnswer,
    configuration,
    route,
)

PART = b"x" * 16_384
LONGEST_PARTS = MAX_RESPONSE_BYTES // len(PART)
WITHOUT_END = 10 * LONGEST_PARTS
SECONDS_PER_PART = 0.0001
LONG_DEADLINE_SECONDS = 6.0
ROUTES = (route("long", RequestKind.REPEATABLE, timeout_seconds=LONG_DEADLINE_SECONDS),)


class RecordingShare(ByteShare):
    """Records the most bytes that are held at once."""

    def __init__(self, budget):
        super().__init__(budget)
        self.most_held_bytes = 0

    def take_spare(self, count):
        taken = super().take_spare(count)
        self.most_held_bytes = max(self.most_held_bytes, self.held_bytes)
        return taken


class Client(RecordedAnswer):
    """Takes a time for each part."""

    def __init__(self, seconds_per_part=SECONDS_PER_PART, budget_bytes=1_000_000_000):
        super().__init__()
        self.share = RecordingShare(ByteBudget(budget_bytes))
        self.seconds_per_part = seconds_per_part
        self.received_bytes = 0

    async def send(self, data):
        await trio.sleep(self.seconds_per_part)
        self.received_bytes += len(data)


def respond(parts, seconds_per_part):
    """Have each instance answer with its number of parts, or as usual without one."""
    usual = EmulatedAnswer.body

    async def body(answer):
        count = parts.get(answer.headers[0][1].decode())
        if count is None:
            async for data in usual(answer):
                yield data
            return
        for _ in range(count):
            await trio.sleep(seconds_per_part)
            yield PART

    return mock.patch.object(EmulatedAnswer, "body", body)


class AnswersWithoutEndTest(unittest.TestCase):
    def run_world(self, script, parts, seconds_per_part=SECONDS_PER_PART):
        """Run a script with the view of the first instance; return the reasons of failures."""
        world = ExchangeWorld()
        world.publish(ConfigurationPublished(configuration(2, ROUTES)))
        for instance_id in parts:
            world.add(instance_id, slots=16)

        async def run(world):
            await script(world, world.nodes[0].knowledge.table.get("p0"))

        with structlog.testing.capture_logs() as lines, respond(parts, seconds_per_part):
            world.run(run)
        failed = (line for line in lines if line["event"] == "exchange_attempt_failed")
        return [line["reason"] for line in failed]

    async def request(self, world, client, seconds=LONG_DEADLINE_SECONDS):
        await world.request("long", patience=seconds, answer=client)

    def assert_responds(self, view):
        self.assertTrue(view.responds(trio.current_time()))

    def assert_suspended(self, view, seconds):
        self.assertAlmostEqual(view.suspended_until - trio.current_time(), seconds, places=1)

    def test_little_is_held_of_one_however_much_space_there_is(self):
        """Guards against 22 MB that three instances took of a node's memory."""

        async def script(world, view):
            client = Client()
            await self.request(world, client)
            self.assertLessEqual(client.share.most_held_bytes, MAX_UNSTATED_BYTES)
            self.assertLessEqual(client.received_bytes, MAX_RESPONSE_BYTES)
            self.assertFalse(client.finished)
            self.assert_suspended(view, FIRST_SUSPENSION_SECONDS)

        self.assertEqual(self.run_world(script, {"p0": WITHOUT_END}), ["the answer is too long"])

    def test_one_that_is_cut_at_its_deadline_is_a_failure_of_its_instance(self):
        """Guards against an instance that counts as answering, and gets further requests."""

        async def script(world, view):
            for failures in range(3):
                await trio.sleep_until(view.suspended_until)
                client = Client()
                await self.request(world, client, seconds=1.0)
                self.assertFalse(client.finished)
                self.assert_suspended(view, FIRST_SUSPENSION_SECONDS * 2**failures)

        reasons = self.run_world(script, {"p0": WITHOUT_END})
        self.assertEqual(reasons, ["the answer didn't end in time"] * 3)

    def test_others_prefer_other_instances_until_it_ends(self):
        """Guards against requests that are sent into answers without end until the first fails."""

        async def script(world, view):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.request, world, Client())
                await trio.sleep(0.1)
                world.add("p1", slots=16).work_seconds = 0.1
                await trio.sleep(1.0)
                clients = [Client() for _ in range(10)]
                async with trio.open_nursery() as others:
                    for client in clients:
                        others.start_soon(self.request, world, client, 1.0)
                self.assertEqual(world.instances.servers["p0"].arrivals, 1)
                self.assertTrue(all(client.finished for client in clients))
                nursery.cancel_scope.cancel()

        self.run_world(script, {"p0": WITHOUT_END})

    def test_the_longest_answer_is_whole_and_later_ones_are_read_at_once(self):
        """Guards against sound answers in chunks that are cut, or slow for ever."""

        async def script(world, view):
            seconds = []
            for _ in range(2):
                client = Client()
                began_at = trio.current_time()
                await self.request(world, client)
                seconds.append(trio.current_time() - began_at)
                self.assertTrue(client.finished)
                self.assertEqual(client.received_bytes, MAX_RESPONSE_BYTES)
                self.assertTrue(view.is_usable(trio.current_time()))
            self.assertLess(seconds[0], 4.5)
            self.assertLess(seconds[1], 0.5)

        self.assertEqual(self.run_world(script, {"p0": LONGEST_PARTS}), [])

    def test_a_failure_makes_the_next_long_answer_doubtful_again(self):
        """Guards against an instance that is trusted for ever after one long answer."""

        async def script(world, view):
            await self.request(world, Client())
            self.assertTrue(view.ends_long_answers)
            view.failed(trio.current_time(), unreachable=True)
            self.assertFalse(view.ends_long_answers)

        self.run_world(script, {"p0": LONGEST_PARTS})

    def test_a_slow_client_or_one_that_leaves_is_no_failure_of_a_sound_instance(self):
        """Guards against instances that are suspended, or passed over, for their clients."""

        async def script(world, view):
            async def stay_usable():
                await trio.sleep(UNBOUNDED_SECONDS + 0.1)
                while True:
                    self.assertTrue(view.is_usable(trio.current_time()))
                    await trio.sleep(0.05)

            for client in (Client(0.02), Client(float("inf"))):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(stay_usable)
                    await self.request(world, client)
                    nursery.cancel_scope.cancel()
                self.assertIsNotNone(client.status)
                self.assertFalse(client.finished)
                self.assert_responds(view)
            with trio.move_on_after(1.0):
                await self.request(world, Client())
            self.assert_responds(view)

        self.assertEqual(self.run_world(script, {"p0": LONGEST_PARTS}), [])

    def test_an_answer_with_a_stated_length_is_no_failure_at_its_deadline(self):
        """Guards against instances that are suspended for answers that are only long."""

        async def script(world, view):
            with mock.patch.object(EmulatedAnswer, "length", LONGEST_PARTS * len(PART)):
                client = Client(budget_bytes=4 * RESPONSE_BYTES)
                await self.request(world, client)
            self.assertTrue(client.share.relayed_in_parts)
            self.assertFalse(client.finished)
            self.assert_responds(view)

        self.assertEqual(self.run_world(script, {"p0": LONGEST_PARTS}, 0.05), [])
