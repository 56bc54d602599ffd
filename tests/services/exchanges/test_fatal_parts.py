"""All nodes refuse requests with a part of a prompt that crashes instances, and no others.

The failure guarded against: crashes were counted for the whole request only, so requests that
differ, and share the part that crashes, crashed one instance after the other.
"""

import unittest

import trio

from emulator.exchange_platform.emulated_instance import Behaviour
from emulator.platform.faults import FaultOrder
from hopstep.domain.exchanges.request import PromptSegment
from hopstep.exceptions import Execution
from tests.services.exchanges.exchange_world import ExchangeWorld
from tests.services.exchanges.fatal_part_traffic import (
    BOUND_SECONDS,
    COUNTED_CRASHES,
    ENGINES,
    FATAL_PART,
    MAX_LATE_ARRIVALS,
    FatalPartCase,
    fatal_segments,
    is_refused_for_part,
    shared_parts,
)

LARGEST_LOSS = 0.03
"""Share of sound requests that may not begin, of those that began before."""

MOST_CRASHES = 8
"""Crashes by a part that is found as soon as it should be."""

HIGH_RATE_SECONDS = 0.05
OTHER_PARTS = (FATAL_PART, "fa7b2", "fa7c3")
COMPANION = PromptSegment("c0", 400)
"""A sound part that comes only beside the fatal one at first."""


class FatalPartTest(FatalPartCase):
    def test_three_nodes_stop_sending_requests_with_a_part_under_which_instances_end(self):
        world = self.check_bounds()
        self.assertLessEqual(len(self.crashes(world)), MOST_CRASHES)

    def test_seven_nodes_in_three_zones_stop_sending_them(self):
        world = self.check_bounds(nodes=7, zones=3)
        self.assertLessEqual(len(self.crashes(world)), MOST_CRASHES)

    def test_sound_requests_with_the_other_parts_are_served_as_before(self):
        world = self.run_traffic()
        since = self.crashes(world)[:COUNTED_CRASHES][-1] + 2 * BOUND_SECONDS
        before = self.begun_share(world, world.fatal_from - 3.0, world.fatal_from)
        after = self.begun_share(world, since, world.ended_at - 1.0)
        self.assertGreaterEqual(after, before * (1.0 - LARGEST_LOSS))

    def test_the_refusal_is_immediate_and_has_not_run(self):
        world = self.run_traffic()
        answers = [answer for _at, answer in world.fatal_answers]
        self.assertTrue(is_refused_for_part(answers[-1]))
        self.assertGreater(answers[-1].error.retry_after_seconds, BOUND_SECONDS)

    def test_many_requests_with_the_part_at_once_crash_few_instances(self):
        for nodes, zones in ((3, 1), (7, 3)):
            with self.subTest(nodes=nodes):
                world = self.check_bounds(nodes=nodes, zones=zones, fatal_seconds=HIGH_RATE_SECONDS)
                self.assertLessEqual(len(self.crashes(world)), MOST_CRASHES)
                self.assertEqual(self.refused_sound(world), [])

    def test_several_such_parts_at_once_are_told_apart(self):
        def segments_of(number):
            part = OTHER_PARTS[number % len(OTHER_PARTS)]
            return (*shared_parts(number), PromptSegment(part, 300))

        async def make_fatal(world):
            world.instances.fatal_parts.update(OTHER_PARTS)

        world = self.run_traffic(make_fatal, segments_of=segments_of)
        for part in OTHER_PARTS:
            self.assertLessEqual(len(self.late_arrivals(world, part)), MAX_LATE_ARRIVALS)
        self.assertEqual(self.refused_sound(world), [])

    def test_repeats_of_equal_requests_do_not_hide_the_part(self):
        world = self.check_bounds(repeats=3, fatal_seconds=1.0)
        self.assertEqual(self.refused_sound(world), [])

    def test_a_popular_part_that_nine_in_ten_of_them_have_is_served(self):
        def segments_of(number):
            popular = PromptSegment("a0" if number % 10 else "a1", 1_000)
            return (popular, PromptSegment(FATAL_PART, 300))

        world = self.check_bounds(segments_of=segments_of, fatal_seconds=HIGH_RATE_SECONDS)
        self.assertEqual(self.refused_sound(world), [])


class EmptyAnswerTest(FatalPartCase):
    def test_an_answer_without_events_does_not_clear_the_crashes_under_a_part(self):
        shared = PromptSegment("b0", 500)

        async def send(world, number, **options):
            own = PromptSegment(f"e{number}", 100)
            body = b"%d" % number
            return await world.request(segments=(shared, own), body=body, **options)

        async def script(world):
            for number in range(3):
                world.instances.fatal_bodies.add(b"%d" % number)
                await send(world, number, name="stream")
                await trio.sleep(0.1)
                if number < 2:
                    answer = await send(world, 9, name="resumable", resume_after="4", resumes="r0")
                    self.assertEqual((answer.status, answer.body), (200, b""))
            self.assertTrue(is_refused_for_part(await send(world, 7, name="stream")))

        world = ExchangeWorld()
        for number in range(ENGINES):
            world.add(f"e{number}", "llm")
        world.run(script)


class UnwrittenAnswerTest(unittest.TestCase):
    def answer(self, name, service):
        """Return the answer of an instance that closes its connection instead of writing one."""
        answers = []

        async def script(world):
            for server in world.instances.servers.values():
                server.behaviour = Behaviour.END_UNWRITTEN
            answers.append(await world.request(name))

        world = ExchangeWorld()
        world.add("e0", service)
        world.run(script)
        return answers[0]

    def test_an_answer_that_ends_before_its_first_byte_is_none_to_a_prompt(self):
        answer = self.answer("whole", "llm")
        self.assertIsNone(answer.status)
        self.assertIs(answer.error.execution, Execution.UNKNOWN)
        self.assertEqual(self.answer("safe", "plain").status, 200)


class FatalPartBesideFaultsTest(FatalPartCase):
    def test_nodes_that_all_died_read_from_the_store_what_they_knew(self):
        for seconds, crashes in ((0.5, 2), (0.9, 3)):

            async def script(world, seconds=seconds, crashes=crashes):
                await trio.sleep(seconds)
                self.assertEqual(len(self.crashes(world)), crashes)
                world.kill_nodes()
                await trio.sleep(0.5)
                for number in range(3):
                    world.start_node(world.nursery, f"n{number}")

            with self.subTest(crashes=crashes):
                world = self.check_bounds(script=script)
                self.assertLessEqual(len(self.crashes(world)), MOST_CRASHES)

    def test_nodes_know_it_while_the_store_is_away(self):
        async def script(world):
            for directory in world.directories:
                directory.down = True
            world.shared.order_faults(FaultOrder(outage=True))
            await trio.sleep_forever()

        world = self.check_bounds(script=script, nodes=7, zones=3)
        self.assertLessEqual(len(self.crashes(world)), MOST_CRASHES)

    def test_a_node_that_starts_later_refuses_them_too(self):
        async def script(world):
            for number in range(3):
                await trio.sleep(2.0)
                world.kill_node(number)
                world.restart_node(number)

        self.check_bounds(script=script)

    def test_sound_parts_outlive_the_crash_of_all_instances_at_once(self):
        async def script(world):
            for _ in range(2):
                for server in list(world.instances.servers.values()):
                    if server.ended_at is None:
                        server.end()
                        world.instances.on_ended(server)
                await trio.sleep(6.0)

        world = self.run_traffic(script, fatal_seconds=100.0)
        self.assertEqual(self.refused_sound(world), [])

    def test_a_sound_part_that_came_only_beside_the_fatal_one_is_served_after_a_trial(self):
        def segments_of(number):
            return (*fatal_segments(number), COMPANION)

        answers = []

        async def script(world):
            await trio.sleep(14.0)
            own = PromptSegment("d0", 100)
            for _ in range(2):
                answers.append(
                    await world.request("stream", segments=(COMPANION, own), body=b"alone")
                )

        self.run_traffic(script, segments_of=segments_of)
        self.assertEqual([answer.status for answer in answers], [200, 200])
