"""Responses and bodies at a node whose budget for held bytes is short."""

import unittest
from unittest import mock

import trio
from prometheus_client import CollectorRegistry

from emulator.exchange_platform.emulated_instance import Behaviour, EmulatedAnswer
from emulator.virtual_time import run_in_virtual_time
from hopstep.domain.byte_budget import RESPONSE_BYTES, STALL_SECONDS, ByteBudget, ByteShare
from hopstep.domain.exchanges.serving import RequestKind, ServiceShare
from hopstep.exceptions import ErrorCode, Execution
from hopstep.ports.exchange_front import ClientConnection
from hopstep.ports.instance_calls import InstanceCallError
from hopstep.ports.serving_directory import ConfigurationPublished
from hopstep.services.exchanges.exchange_metrics import ExchangeMetrics
from hopstep.services.exchanges.node_gauges import watch_held_bytes
from hopstep.services.exchanges.requests.intake.held_bytes import (
    CHECK_SECONDS,
    MAX_RESPONSE_BYTES,
    HeldBytes,
)
from tests.services.exchanges.exchange_world import (
    ROUTES,
    ExchangeWorld,
    RecordedAnswer,
    configuration,
    route,
)

PARTS = (b"a" * 40_000, b"b" * 40_000, b"c" * 40_000, b"d" * 40_000)
WHOLE = b"".join(PARTS)
BROKEN = object()
ODD_ROUTE = route("odd", RequestKind.AT_MOST_ONCE, max_attempts=2, resumable=True)
ODD_STREAM = route(
    "oddstream",
    RequestKind.STREAM,
    max_attempts=2,
    resumable=True,
    shares=(ServiceShare("plain"),),
)


class HeldAnswer(RecordedAnswer):
    """Records the length, and the bytes that are held whenever a part is sent."""

    def __init__(self, spare, read=None):
        super().__init__()
        budget = ByteBudget(2 * (RESPONSE_BYTES + len(b"body") + spare))
        self.share = ByteShare(budget)
        self.length = None
        self.held = []
        self.read_before = []
        self.received = read

    async def start(self, status, headers, length):
        await super().start(status, headers, length)
        self.length = length

    async def send(self, data):
        if self.received is not None:
            self.read_before.append(len(self.received))
        self.held.append(self.share.held_bytes)
        await trio.sleep(0.01)
        await super().send(data)


def respond(parts, read):
    """Return a body of instances' responses; ``read`` gets each part that the node reads."""

    async def body(answer):
        for part in parts:
            await trio.lowlevel.checkpoint()
            if part is BROKEN:
                raise InstanceCallError(ErrorCode.STREAM_INTERRUPTED, "broken", Execution.UNKNOWN)
            read.append(part)
            yield part

    return mock.patch.object(EmulatedAnswer, "body", body)


class ShortBudgetTest(unittest.TestCase):
    def exchange(self, name, parts, spare, behaviour=Behaviour.SERVE):
        """Return the answer to one request, the instances and what was read of them."""
        read = []
        answer = HeldAnswer(spare, read)
        world = ExchangeWorld()
        world.publish(ConfigurationPublished(configuration(2, (*ROUTES, ODD_ROUTE, ODD_STREAM))))
        for number in range(2):
            world.add(f"p{number}").behaviour = behaviour

        async def script(world):
            await world.request(name, request_id="r", answer=answer)

        with respond(parts, read):
            world.run(script)
        return answer, world.instances

    def test_a_long_response_is_read_whole_while_there_is_space(self):
        answer, _ = self.exchange("unsafe", PARTS, len(WHOLE))
        self.assertEqual((answer.body, answer.length), (WHOLE, len(WHOLE)))
        self.assertTrue(answer.finished)
        self.assertEqual(answer.read_before[0], len(PARTS))
        self.assertEqual(answer.held, sorted(answer.held, reverse=True))

    def test_without_space_each_part_is_read_when_the_last_one_was_written(self):
        """Guards against a node that holds whole responses for clients that read slowly."""
        answer, _ = self.exchange("unsafe", PARTS, spare=0)
        self.assertEqual((answer.body, answer.length), (WHOLE, None))
        self.assertTrue(answer.finished)
        self.assertTrue(answer.share.relayed_in_parts)
        self.assertEqual(answer.read_before, [2, 2, 3, 4])
        self.assertEqual(set(answer.held), {RESPONSE_BYTES})

    def test_a_stated_length_is_passed_on_with_a_response_in_parts(self):
        """Guards against clients that take a response without a length for whole when it is cut."""
        with mock.patch.object(EmulatedAnswer, "length", len(WHOLE)):
            answer, _ = self.exchange("unsafe", PARTS, spare=0)
        self.assertEqual((answer.body, answer.length), (WHOLE, len(WHOLE)))
        with mock.patch.object(EmulatedAnswer, "length", MAX_RESPONSE_BYTES + 1):
            answer, _ = self.exchange("unsafe", PARTS, spare=0)
        self.assertEqual((answer.status, answer.promised_not_run), (None, False))

    def test_a_response_broken_off_after_it_began_is_cut_and_never_run_again(self):
        """Guards against a second run, or a second response after parts of the first."""
        for name in ("safe", "unsafe2", "odd"):
            with self.subTest(name):
                answer, instances = self.exchange(name, (*PARTS, BROKEN), spare=0)
                self.assertTrue(WHOLE.startswith(answer.body))
                self.assertEqual((answer.finished, answer.error), (False, None))
                self.assertEqual(len(instances.runs("r")), 1)

    def test_a_refusal_of_a_stream_that_broke_off_is_not_continued_by_a_stream(self):
        """Guards against events of another instance within an ordinary response."""
        with mock.patch("emulator.exchange_platform.instances.SUCCESS_STATUS", 404):
            answer, instances = self.exchange("oddstream", (*PARTS, BROKEN), spare=0)
        self.assertEqual((answer.status, answer.finished), (404, False))
        self.assertEqual(len(instances.runs("r")), 1)

    def test_a_response_broken_off_before_it_began_is_tried_again(self):
        answer, instances = self.exchange("safe", (PARTS[0], BROKEN), spare=0)
        self.assertEqual(answer.status, None)
        self.assertEqual(len(instances.runs("r")), 2)

    def test_what_a_broken_attempt_held_is_free_for_the_next_one(self):
        """Guards against space that is lost with each broken response."""
        parts = (*PARTS[:2], BROKEN)
        spare = len(b"".join(PARTS[:2])) - RESPONSE_BYTES
        answer, instances = self.exchange("safe", parts, spare)
        self.assertEqual((answer.status, len(instances.runs("r"))), (None, 2))

    def test_a_long_failure_without_space_is_dropped(self):
        """Guards against failures that are kept for later beyond the budget."""
        answer, instances = self.exchange("safe", PARTS, 0, Behaviour.FAIL)
        self.assertEqual(answer.error.code, ErrorCode.EXECUTION_UNKNOWN)
        self.assertEqual(len(instances.runs("r")), 2)
        answer, _ = self.exchange("safe", PARTS, len(WHOLE) - RESPONSE_BYTES, Behaviour.FAIL)
        self.assertEqual(answer.error.code, ErrorCode.EXECUTION_UNKNOWN)
        answer, _ = self.exchange("safe", PARTS, 2 * len(WHOLE), Behaviour.FAIL)
        self.assertEqual((answer.status, answer.body), (500, WHOLE))

    def test_a_response_that_is_not_proved_is_not_begun(self):
        for behaviour in (Behaviour.UNSIGNED, Behaviour.PROMISE_WITHOUT_PROOF):
            with self.subTest(behaviour):
                answer, _ = self.exchange("unsafe", PARTS, 0, behaviour)
                self.assertEqual((answer.status, answer.body), (None, b""))
                self.assertFalse(answer.promised_not_run)

    def test_a_response_whose_stated_length_is_too_long_is_not_read(self):
        """Guards against 16 MiB that are read and held of a body that can't be relayed."""
        with mock.patch.object(EmulatedAnswer, "length", MAX_RESPONSE_BYTES + 1):
            answer, _ = self.exchange("unsafe", PARTS, spare=10 * len(WHOLE))
        self.assertEqual((answer.status, answer.promised_not_run), (None, False))
        self.assertEqual(answer.received, [])

    def test_a_response_that_is_too_long_is_cut(self):
        parts = (b"x" * (MAX_RESPONSE_BYTES // 2),) * 3
        answer, _ = self.exchange("unsafe", parts, spare=0)
        self.assertFalse(answer.finished)
        self.assertLessEqual(len(answer.body), MAX_RESPONSE_BYTES)

    def test_a_request_without_space_for_its_response_is_refused_and_not_run(self):
        """Guards against requests that are sent, and then can't be answered."""
        answer, instances = self.exchange("unsafe", PARTS, spare=-RESPONSE_BYTES)
        self.assertEqual(answer.error.code, ErrorCode.OVERLOADED)
        self.assertTrue(answer.promised_not_run)
        self.assertGreater(answer.error.retry_after_seconds, 0)
        self.assertEqual(instances.calls, [])
        self.assertEqual(answer.share.held_bytes, 0)

    def test_a_stream_with_a_long_event_is_cut_without_space(self):
        """Guards against incomplete events, which can't be passed on, beyond the budget."""
        event = (b"data: " + b"e" * 90_000, b"e" * 90_000, b"\n\n")
        for spare, body in ((0, b""), (len(b"".join(event)), b"".join(event))):
            with self.subTest(spare):
                answer, _ = self.exchange("oddstream", event, spare)
                self.assertEqual((answer.body, answer.finished), (body, bool(body)))


class HeldBytesTest(unittest.TestCase):
    def test_metrics_tell_what_is_held_and_what_the_budget_did(self):
        registry = CollectorRegistry()
        metrics = ExchangeMetrics(registry)
        held = HeldBytes(1_000, metrics)
        watch_held_bytes(metrics, held.budget)
        with held.open_share("r", None) as share:
            self.assertTrue(share.take(300))
            self.assertEqual(registry.get_sample_value("hopstep_held_bytes"), 300)
            share.refused = share.relayed_in_parts = True
        for name, value in (
            ("hopstep_held_bytes", 0),
            ("hopstep_held_bytes_limit", 1_000),
            ("hopstep_exchanges_refused_for_memory_total", 1),
            ("hopstep_responses_relayed_in_parts_total", 1),
            ("hopstep_stalled_clients_total", 0),
        ):
            with self.subTest(name):
                self.assertEqual(registry.get_sample_value(name), value)


class FakeConnection(ClientConnection):
    def __init__(self, is_writing=True):
        self.client = "127.0.0.1:5"
        self.last_progress_at = trio.current_time()
        self.is_writing = is_writing
        self.disconnected_at = None
        self.disconnected = trio.Event()

    def has_client_closed(self):
        return False

    def note_left(self):
        raise NotImplementedError

    @property
    def is_closed(self):
        return False

    def has_unread_bytes(self):
        return False

    def keep_open(self):
        raise NotImplementedError

    def is_reset(self):
        return False

    def disconnect(self):
        self.disconnected_at = trio.current_time()
        self.disconnected.set()


class StalledClientTest(unittest.TestCase):
    def run_clients(self, limit_bytes):
        """Return whom a node has disconnected after 10 s, and when; all hold 100 bytes."""

        async def main():
            held = HeldBytes(limit_bytes, ExchangeMetrics(CollectorRegistry()))
            names = ("stalled", "reading", "served", "uploading")
            connections = {name: FakeConnection(name in names[:2]) for name in names}
            async with trio.open_nursery() as nursery:
                nursery.start_soon(held.run)
                for name, connection in connections.items():
                    nursery.start_soon(self.hold, held, name, connection)
                for _ in range(100):
                    await trio.sleep(0.1)
                    connections["reading"].last_progress_at = trio.current_time()
                nursery.cancel_scope.cancel()
            self.assertEqual(held.budget.held_bytes, 0)
            return {name: each.disconnected_at for name, each in connections.items()}

        return run_in_virtual_time(main)

    async def hold(self, held, name, connection):
        with held.open_share("r", connection) as share:
            share.take(100)
            share.body_pending = name == "uploading"
            await connection.disconnected.wait()

    def test_while_the_budget_is_short_clients_without_progress_are_disconnected(self):
        """Guards against clients that hold a node's memory for as long as they like."""
        at = self.run_clients(limit_bytes=400)
        disconnected = {name for name, when in at.items() if when is not None}
        self.assertTrue(disconnected and disconnected <= {"stalled", "uploading"})
        for name in disconnected:
            self.assertLess(at[name], STALL_SECONDS + 2 * CHECK_SECONDS + 0.2)

    def test_while_there_is_space_nobody_is(self):
        self.assertEqual(set(self.run_clients(limit_bytes=1_000).values()), {None})
