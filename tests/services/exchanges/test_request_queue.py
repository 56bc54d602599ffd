"""Requests that wait at a node for an instance with capacity, on emulated ports."""

import contextlib
import unittest
from unittest import mock

import msgspec
import structlog
import trio

from emulator.exchange_platform.emulated_instance import Behaviour
from hopstep.domain.exchanges.request import PromptSegment
from hopstep.exceptions import ErrorCode
from hopstep.ports.serving_directory import ConfigurationPublished
from hopstep.services.exchanges.requests.choice.service_capacity import Capacity, ServiceCapacity
from hopstep.services.exchanges.requests.queueing import request_queue
from tests.services.exchanges.exchange_world import (
    ROUTES,
    TENANTS,
    ExchangeWorld,
    RecordedAnswer,
    configuration,
    serve,
)

PLACES = 2
"""Places of an instance with one slot: the slot, and one in the allowance for its own queue."""


class RequestQueueTest(unittest.TestCase):
    def run_world(self, script, instances=1, nodes=1, slots=1, work_seconds=0.4):
        world = ExchangeWorld(nodes)
        for number in range(instances):
            world.add(f"p{number}", slots=slots).work_seconds = work_seconds
        world.run(script)
        return world

    def queue(self, world, node=0):
        return world.nodes[node].exchanges.queue

    async def send(self, world, nursery, count, name="unsafe", **options):
        """Send requests at once, and return the list that their answers are added to."""
        answers = []

        async def one():
            answers.append(await world.request(name, **options))

        for _ in range(count):
            nursery.start_soon(one)
            await trio.sleep(0.001)
        return answers

    def test_with_capacity_nothing_waits(self):
        async def script(world):
            async with trio.open_nursery() as nursery:
                answers = await self.send(world, nursery, 8)
                self.assertEqual(len(self.queue(world)), 0)
            self.assertEqual({answer.status for answer in answers}, {200})

        self.run_world(script, instances=2, slots=4)

    def test_an_instance_is_never_sent_more_than_its_places(self):
        async def script(world):
            async with trio.open_nursery() as nursery:
                answers = await self.send(world, nursery, 6)
                self.assertEqual(len(world.instances.runs("")) + len(self.queue(world)), 4)
                self.assertEqual(world.instances.servers["p0"].arrivals, PLACES)
            self.assertEqual({answer.status for answer in answers}, {200})

        self.run_world(script)

    def test_a_waiting_request_goes_to_an_instance_that_is_listed_meanwhile(self):
        """Without late binding it would go to the instance that was best on its arrival."""

        async def script(world):
            async with trio.open_nursery() as nursery:
                await self.send(world, nursery, PLACES)
                late = await self.send(world, nursery, 1, request_id="late")
                added = world.add("p9", slots=1)
                await trio.sleep(0.35)
                self.assertEqual([run.request_id for run in added.runs], ["late"])
                self.assertEqual(late[0].status, 200)

        self.run_world(script, work_seconds=2.0)

    def test_unequal_instances_answer_more_in_time_than_when_all_is_sent_at_once(self):
        """Requests in the queue of a slow instance can't be sent to a fast one any more."""

        def limit_to_slots(server):
            limiter, work = trio.CapacityLimiter(1), server.work

            async def work_in_turn(seconds):
                async with limiter:
                    await work(seconds)

            server.work = work_in_turn

        def in_time(at_once):
            answered = []

            async def script(world):
                for name, seconds in (("p0", 0.05), ("p1", 0.3)):
                    server = world.instances.servers[name]
                    server.work_seconds = seconds
                    limit_to_slots(server)

                async def one():
                    began_at = trio.current_time()
                    answer = await world.request("unsafe")
                    late = trio.current_time() - began_at > 0.5
                    answered.append(answer.status == 200 and not late)

                async with trio.open_nursery() as nursery:
                    for _ in range(14):
                        nursery.start_soon(one)

            with contextlib.ExitStack() as stack:
                if at_once:
                    unlimited = mock.patch.object(ServiceCapacity, "of", return_value=Capacity())
                    stack.enter_context(unlimited)
                self.run_world(script, instances=2)
            return sum(answered)

        self.assertGreater(in_time(at_once=False), in_time(at_once=True))

    def test_short_prompts_do_not_keep_a_long_one_out_of_an_engines_memory(self):
        async def script(world):
            world.add("e0", "llm", slots=4)
            await trio.sleep(0.5)
            view = world.nodes[0].knowledge.table.get("e0")

            def has_room(need, now):
                return view.active < (1 if need.tokens > 3_000 else 3)

            with mock.patch.object(view, "has_room", has_room):
                async with trio.open_nursery() as nursery:
                    for name, tokens in (
                        ("short 0", 100),
                        ("short 1", 100),
                        ("short 2", 100),
                        ("long", 3_500),
                        ("short 3", 100),
                    ):
                        nursery.start_soon(self.send_prompt, world, name, tokens)
                        await trio.sleep(0.005)
            runs = [run.request_id for run in world.instances.servers["e0"].runs]
            self.assertEqual(runs, ["short 0", "short 1", "short 2", "long", "short 3"])

        self.run_world(script)

    async def send_prompt(self, world, request_id, tokens):
        head = world.head("stream", request_id=request_id)
        segments = (PromptSegment(head.request_id, tokens),)
        prompt = msgspec.structs.replace(head.prompt, segments=segments, prompt_tokens=tokens)
        head = msgspec.structs.replace(head, prompt=prompt)
        await serve(world.nodes[0].exchanges, head, b"", RecordedAnswer())

    def test_rejecting_or_suspended_instances_are_tried_as_before(self):
        """Otherwise a request would wait until its deadline for nothing that runs."""
        for behaviour in (Behaviour.REJECT, Behaviour.UNREACHABLE):
            with self.subTest(behaviour):

                async def script(world, behaviour=behaviour):
                    world.instances.servers["p0"].behaviour = behaviour
                    for _ in range(3):
                        began_at = trio.current_time()
                        answer = await world.request("unsafe")
                        self.assertTrue(answer.promised_not_run)
                        self.assertLess(trio.current_time() - began_at, 0.1)

                self.run_world(script)

    def test_requests_wait_no_longer_once_all_instances_are_suspended(self):
        async def script(world):
            async with trio.open_nursery() as nursery:
                await self.send(world, nursery, PLACES)
                answers = await self.send(world, nursery, 1)
                view = world.nodes[0].knowledge.table.get("p0")
                view.suspend(trio.current_time() + 5.0)
                await trio.sleep(0.2)
                self.assertEqual(len(self.queue(world)), 0)
                self.assertEqual(world.instances.servers["p0"].arrivals, PLACES + 1)
            self.assertEqual(answers[0].status, 200)

        self.run_world(script, work_seconds=1.0)

    def test_a_client_that_leaves_frees_its_place_at_once(self):
        async def script(world):
            async with trio.open_nursery() as nursery:
                await self.send(world, nursery, PLACES)
                client = trio.CancelScope()
                nursery.start_soon(self.request_within, world, client)
                await trio.sleep(0.05)
                self.assertEqual(len(self.queue(world)), 1)
                client.cancel()
                await trio.sleep(0.01)
                self.assertEqual(len(self.queue(world)), 0)
                self.assertEqual(self.queue(world)._bytes, 0)
            self.assertEqual(world.instances.servers["p0"].arrivals, PLACES)

        self.run_world(script)

    async def request_within(self, world, scope):
        with scope:
            await world.request("unsafe")

    def test_a_request_that_no_instance_takes_in_time_is_refused_as_not_run(self):
        async def script(world):
            async with trio.open_nursery() as nursery:
                await self.send(world, nursery, PLACES)
                began_at = trio.current_time()
                with structlog.testing.capture_logs() as lines:
                    answer = await world.request("unsafe", patience=1.0)
                self.assertLess(trio.current_time() - began_at, 1.0)
                self.assertEqual(answer.error.code, ErrorCode.OVERLOADED)
                self.assertTrue(answer.promised_not_run)
                self.assertEqual(len(self.queue(world)), 0)
                ended = next(line for line in lines if line["number"] == "HS3101")
                self.assertEqual(ended["retry_reason"], "queue_full")
                self.assertIn("HS3112", [line["number"] for line in lines])
                nursery.cancel_scope.cancel()

        self.run_world(script, work_seconds=2.5)

    def test_hopeless_requests_are_refused_on_arrival(self):
        """Before, each was held until its deadline and refused when it was too late to retry."""

        async def script(world):
            async with trio.open_nursery() as nursery:
                answers = await self.send(world, nursery, 40, patience=1.5)
                await trio.sleep(1.2)
                began_at = trio.current_time()
                refused = []
                for _ in range(30):
                    nursery.start_soon(self.collect_refused, world, refused)
                await trio.sleep(0.05)
                self.assertGreater(len(refused), 5)
                self.assertLess(trio.current_time() - began_at, 0.1)
                for answer in refused:
                    self.assertTrue(answer.promised_not_run)
                    self.assertLessEqual(answer.error.retry_after_seconds, 0.5)
            self.assertTrue(any(answer.status == 200 for answer in answers))

        self.run_world(script, work_seconds=0.1)

    async def collect_refused(self, world, refused):
        answer = await world.request("unsafe", patience=1.5)
        if answer.error is not None:
            refused.append(answer)

    def test_a_planned_stop_serves_what_waits_or_refuses_it_as_stopping(self):
        """Otherwise it would be cut off at the end of the grace time, without an answer."""
        for events, expected in ((10, None), (10_000, ErrorCode.STOPPING)):
            with self.subTest(events=events):

                async def script(world, events=events, expected=expected):
                    routes = [msgspec.structs.replace(r, timeout_seconds=90.0) for r in ROUTES]
                    world.publish(ConfigurationPublished(configuration(2, tuple(routes))))
                    world.add("e0", "llm", slots=1).events = events
                    await trio.sleep(0.5)
                    async with trio.open_nursery() as nursery:
                        options = {"name": "stream", "patience": 90.0}
                        await self.send(world, nursery, PLACES, **options)
                        waiting = await self.send(world, nursery, 1, **options)
                        lifecycle = world.nodes[0].lifecycle
                        lifecycle.stop()
                        await trio.sleep_until(lifecycle._drain_until - 0.1)
                        error = waiting[0].error
                        self.assertEqual(error and error.code, expected)
                        nursery.cancel_scope.cancel()

                self.run_world(script)

    def test_a_key_that_is_revoked_during_the_wait_is_refused(self):
        """Otherwise a long wait would outlast the bound within which revocations hold."""

        async def script(world):
            async with trio.open_nursery() as nursery:
                await self.send(world, nursery, PLACES)
                answers = await self.send(world, nursery, 1)
                world.publish(ConfigurationPublished(configuration(2, tenants=TENANTS[1:])))
            self.assertEqual(answers[0].error.code, ErrorCode.INVALID_KEY)
            self.assertTrue(answers[0].promised_not_run)
            self.assertEqual(world.instances.servers["p0"].arrivals, PLACES)

        self.run_world(script)

    def test_waiting_requests_are_bounded_in_number_and_bytes(self):
        for name, bound, size in (("MAX_WAITING", 3, 1), ("MAX_WAITING_BYTES", 3_000, 1_000)):
            with self.subTest(name), mock.patch.object(request_queue, name, bound):

                async def script(world, size=size):
                    async with trio.open_nursery() as nursery:
                        answers = await self.send(world, nursery, PLACES + 5, body=bytes(size))
                        self.assertEqual(len(self.queue(world)), 3)
                        self.assertEqual(len(answers), 2)
                        for answer in answers:
                            self.assertEqual(answer.error.code, ErrorCode.OVERLOADED)
                            self.assertTrue(answer.promised_not_run)

                self.run_world(script, work_seconds=0.2)
