"""Attempts, guarantees and streams of exchanges with failing instances."""

import unittest

import msgspec
import structlog
import trio

from emulator.exchange_platform.emulated_instance import BREAKING, Behaviour
from hopstep.domain.exchanges.cache_groups import CacheGroups
from hopstep.exceptions import ErrorCode
from hopstep.ports.serving_directory import InstanceListed, InstanceRemoved
from tests.services.exchanges.exchange_world import ISOLATED_KEY, ExchangeWorld

COMPLETE_STREAM = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(5))


class ExchangeTest(unittest.TestCase):
    def run_world(self, script, plain=2, engines=2, nodes=1):
        world = ExchangeWorld(nodes)
        for number in range(plain):
            world.add(f"p{number}")
        for number in range(engines):
            world.add(f"e{number}", "llm")

        async def check(world):
            await script(world)

        world.run(check)
        return world

    def set_all(self, world, behaviour):
        for server in world.instances.servers.values():
            server.behaviour = behaviour

    def test_an_answer_comes_back_whole_with_its_status(self):
        async def script(world):
            answer = await world.request("unsafe", request_id="r")
            self.assertEqual((answer.status, answer.body), (200, b"answer of r"))
            self.assertTrue(answer.finished)
            self.assertEqual(len(world.instances.runs("r")), 1)

        self.run_world(script)

    def test_unsafe_requests_run_at_most_once_whatever_happens(self):
        for behaviour in Behaviour:
            for name in ("unsafe", "unsafe2", "stream"):
                with self.subTest(behaviour=behaviour, route=name):
                    self.check_at_most_once(behaviour, name)

    def check_at_most_once(self, behaviour, name):
        async def script(world):
            self.set_all(world, behaviour)
            answer = await world.request(name, request_id="r")
            runs = world.instances.runs("r")
            self.assertLessEqual(len(runs), 1)
            if answer.promised_not_run:
                self.assertEqual(runs, [])
            if answer.status is None:
                self.assertIsNotNone(answer.error)

        self.run_world(script)

    def test_a_request_cut_by_its_deadline_at_work_is_never_promised_not_run(self):
        async def script(world):
            for server in world.instances.servers.values():
                server.work_seconds = 30.0
            answer = await world.request("unsafe", request_id="r", patience=1.0)
            self.assertEqual(len(world.instances.runs("r")), 1)
            self.assertEqual(answer.error.code, ErrorCode.DEADLINE_EXCEEDED)
            self.assertFalse(answer.promised_not_run)

        self.run_world(script)

    def test_a_request_that_never_left_before_its_deadline_is_promised_not_run(self):
        async def script(world):
            self.set_all(world, Behaviour.NO_CONNECTION)
            answer = await world.request("unsafe", patience=0.5)
            self.assertEqual(answer.error.code, ErrorCode.DEADLINE_EXCEEDED)
            self.assertTrue(answer.promised_not_run)

        self.run_world(script)

    def test_a_rejected_request_goes_on_elsewhere_only_within_its_attempts(self):
        async def script(world):
            self.set_all(world, Behaviour.REJECT)
            once = await world.request("unsafe", request_id="once")
            self.assertTrue(once.promised_not_run)
            self.assertGreater(once.error.retry_after_seconds, 0)
            twice = await world.request("unsafe2", request_id="twice")
            self.assertTrue(twice.promised_not_run)
            arrivals = sum(s.arrivals for s in world.instances.servers.values())
            self.assertEqual(arrivals, 3)

        self.run_world(script)

    def test_a_safe_request_is_repeated_after_a_failure_at_another_instance(self):
        for behaviour in (Behaviour.FAIL, Behaviour.LOSE_ANSWER, Behaviour.OTHER_ANSWER):
            with self.subTest(behaviour):
                self.check_repeat(behaviour)

    def check_repeat(self, behaviour):
        async def script(world):
            world.instances.servers["p0"].behaviour = behaviour
            for number in range(6):
                answer = await world.request("safe", request_id=f"r{number}")
                self.assertEqual(answer.status, 200)

        self.run_world(script)

    def test_an_instances_own_failure_is_passed_on_when_no_attempt_is_left(self):
        async def script(world):
            self.set_all(world, Behaviour.FAIL)
            answer = await world.request("safe")
            self.assertEqual((answer.status, answer.finished), (500, True))
            self.assertIn((b"x-instance", b"p0"), (*answer.headers, (b"x-instance", b"p0")))

        self.run_world(script)

    def test_a_status_that_promises_without_proof_is_told_as_unknown(self):
        async def script(world):
            self.set_all(world, Behaviour.PROMISE_WITHOUT_PROOF)
            answer = await world.request("unsafe")
            self.assertEqual(answer.error.code, ErrorCode.EXECUTION_UNKNOWN)
            self.assertFalse(answer.promised_not_run)

        self.run_world(script)

    def test_a_success_without_a_signature_is_never_passed_on(self):
        async def script(world):
            self.set_all(world, Behaviour.UNSIGNED)
            answer = await world.request("unsafe")
            self.assertIsNone(answer.status)

        self.run_world(script)

    def test_an_unreachable_instance_costs_no_attempt(self):
        async def script(world):
            world.instances.servers["p0"].behaviour = Behaviour.UNREACHABLE
            for _ in range(5):
                answer = await world.request("unsafe")
                self.assertEqual(answer.status, 200)

        self.run_world(script)

    def test_a_request_reaches_the_last_instance_after_all_others_have_ended(self):
        # It was refused after three ended instances, though others were free.
        for name, prefix in (("safe", "p"), ("unsafe", "p"), ("resumable", "e")):
            for number in range(8):
                with self.subTest(route=name, last=number):
                    self.check_last_instance(name, f"{prefix}{number}")

    def check_last_instance(self, name, instance_id):
        async def script(world):
            self.set_all(world, Behaviour.UNREACHABLE)
            world.instances.servers[instance_id].behaviour = Behaviour.SERVE
            answer = await world.request(name)
            self.assertEqual((answer.status, answer.finished), (200, True))

        self.run_world(script, plain=8, engines=8)

    def test_a_request_is_refused_soon_where_no_instance_can_be_reached(self):
        for connect_seconds in (0.0, 0.4):
            with self.subTest(connect_seconds=connect_seconds):
                self.check_no_instance(connect_seconds)

    def check_no_instance(self, connect_seconds):
        async def script(world):
            self.set_all(world, Behaviour.UNREACHABLE)
            for server in world.instances.servers.values():
                server.connect_seconds = connect_seconds
            began_at = trio.current_time()
            answer = await world.request("unsafe", patience=30.0)
            self.assertEqual(answer.error.code, ErrorCode.ENGINE_UNREACHABLE)
            self.assertTrue(answer.promised_not_run)
            self.assertLess(trio.current_time() - began_at, 1.5)

        self.run_world(script, plain=40)

    def test_a_stream_goes_on_after_its_last_whole_event_at_another_engine(self):
        for behaviour in BREAKING:
            with self.subTest(behaviour):
                self.check_resume(behaviour)

    def check_resume(self, behaviour):
        async def script(world):
            engine = world.instances.servers
            engine["e0"].behaviour = behaviour
            engine["e1"].behaviour = behaviour
            answer = await world.request("resumable", request_id="r")
            runs = world.instances.runs("r")
            self.assertEqual([run.resume_after for run in runs], ["", "1"])
            self.assertTrue(COMPLETE_STREAM.startswith(answer.body))
            self.assertFalse(answer.finished)
            engine["e0"].behaviour = engine["e1"].behaviour = Behaviour.SERVE
            engine[runs[0].request_id and "e0"].behaviour = behaviour
            for _ in range(4):
                answer = await world.request("resumable")
                self.assertEqual((answer.body, answer.finished), (COMPLETE_STREAM, True))

        self.run_world(script)

    def test_a_stream_that_may_not_be_resumed_is_cut_and_never_looks_whole(self):
        async def script(world):
            self.set_all(world, Behaviour.CUT_EVENT)
            answer = await world.request("stream", request_id="r")
            self.assertFalse(answer.finished)
            self.assertEqual(answer.body, COMPLETE_STREAM[: len(answer.body)])
            self.assertTrue(answer.body.endswith(b"\n\n"))
            self.assertEqual(len(world.instances.runs("r")), 1)

        self.run_world(script)

    def test_a_client_that_leaves_cancels_its_run_at_once(self):
        async def script(world):
            for server in world.instances.servers.values():
                server.work_seconds = 10.0
            with trio.move_on_after(0.2):
                await world.request("unsafe", request_id="r")
            self.assertIn("r", [r for s in world.instances.servers.values() for r in s.cancelled])

        self.run_world(script)

    def test_a_client_that_leaves_is_logged_as_such(self):
        async def script(world):
            for server in world.instances.servers.values():
                server.work_seconds = 10.0
            with structlog.testing.capture_logs() as lines, trio.move_on_after(0.2):
                await world.request("unsafe", request_id="r")
            ended = [line for line in lines if line["event"] == "exchange_ended"]
            self.assertEqual([line["outcome"] for line in ended], ["client_left"])

        self.run_world(script)

    def test_a_silent_instance_is_left_for_another_when_the_request_may_repeat(self):
        async def script(world):
            world.instances.servers["p0"].behaviour = Behaviour.UNRESPONSIVE
            for _ in range(4):
                answer = await world.request("safe", patience=2.5)
                self.assertEqual(answer.status, 200)

        self.run_world(script)

    def test_an_engine_that_reads_a_long_prompt_is_not_silent(self):
        async def script(world):
            for server in world.instances.servers.values():
                server.work_seconds = 1.25
            answer = await world.request("resumable", request_id="r")
            self.assertTrue(answer.finished)
            self.assertEqual(len(world.instances.runs("r")), 1)

        self.run_world(script)

    def test_draining_and_removed_instances_get_nothing_new(self):
        async def script(world):
            instance = world.listed["p0"]
            world.publish(InstanceListed(_draining(instance)))
            world.publish(InstanceRemoved("p1"))
            await trio.sleep(0.05)
            answer = await world.request("unsafe")
            self.assertTrue(answer.promised_not_run)
            self.assertEqual(world.instances.calls, [])

        self.run_world(script)

    def test_retries_of_all_nodes_stay_within_the_budget(self):
        async def script(world):
            self.set_all(world, Behaviour.FAIL)
            requests = 300
            async with trio.open_nursery() as nursery:
                for number in range(requests):
                    nursery.start_soon(send, world, number % 3)
                    await trio.sleep(0.02)
            arrivals = sum(s.arrivals for s in world.instances.servers.values())
            repeats = arrivals - requests
            self.assertLessEqual(repeats, 0.2 * requests + 50)
            self.assertGreater(repeats, 10)

        async def send(world, node):
            await world.request("safe", node=node)

        self.run_world(script, nodes=3)

    def test_segments_are_salted_by_weights_and_by_isolated_tenant(self):
        async def script(world):
            await world.request("stream", request_id="shared")
            await world.request("stream", request_id="alone", key=ISOLATED_KEY)
            salts = [world.instances.runs(r)[0].salt for r in ("shared", "alone")]
            common = CacheGroups({"t1"}).common
            self.assertEqual(salts, [f"{common}.1", "isolated-t2.1"])

        self.run_world(script)

    def test_equal_prompts_meet_at_the_engine_that_keeps_them(self):
        async def script(world):
            for number in range(6):
                await world.request("stream", request_id=f"r{number}")
            busy = [s for s in world.instances.servers.values() if s.runs]
            self.assertEqual(len(busy), 1)

        self.run_world(script, engines=4)


def _draining(instance):

    return msgspec.structs.replace(instance, draining=True)
