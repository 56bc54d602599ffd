"""What each kind of response from an instance proves about a request, over real sockets."""

import contextlib
import re
import socket
import struct
import unittest
from unittest import mock

import msgspec
import trio

from hopstep.domain.exchanges.instances import Instance, NamedWeights
from hopstep.domain.exchanges.request import ExchangeRequest, Prompt
from hopstep.domain.exchanges.serving import RequestKind, Route, Tenant
from hopstep.domain.quarantine.crashes import InstanceProbeResult
from hopstep.exceptions import ErrorCode, Execution
from hopstep.platform.http_client import SHORT_READ_BYTES, HttpClient
from hopstep.platform.instances import HttpInstances
from hopstep.ports.instance_calls import InstanceCall, InstanceCallError
from hopstep.ports.weights_orders import OrderOutcome, WeightsOrder

ROUTE = Route("r", "h", "/", RequestKind.AT_MOST_ONCE, 3.0, 0.5, 0, ())
HEAD = b"HTTP/1.1 200 OK\r\nAttempt-Id: r1\r\nResponse-Stamp: s\r\n"
OTHER_RESPONSE = (
    b"HTTP/1.1 200 OK\r\nAttempt-Id: r0\r\nResponse-Stamp: s\r\nContent-Length: 5\r\n\r\nother"
)
COMPLETE = HEAD + b"Content-Length: 4\r\n\r\nbody"
NOT_RUN = (Execution.NOT_RUN, True)
UNKNOWN = (Execution.UNKNOWN, True)

COMPLETE_RESPONSES = (
    ("with a length", COMPLETE),
    ("in chunks", HEAD + b"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"),
    ("without a length", HEAD + b"Connection: close\r\n\r\nbody"),
)
REFUSALS = (
    ("full", b"HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", NOT_RUN),
    ("limited", b"HTTP/1.1 429 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", NOT_RUN),
    ("another instance", b"HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n", NOT_RUN),
    ("rejected early", b"HTTP/1.1 400 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", NOT_RUN),
    ("an answer to another request", OTHER_RESPONSE, UNKNOWN),
    (
        "a late refusal of another",
        b"HTTP/1.1 503 X\r\nAttempt-Id: r0\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
        UNKNOWN,
    ),
    ("no id", b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", UNKNOWN),
    ("no answer", b"", UNKNOWN),
    ("no HTTP", b"garbage\r\n\r\n", UNKNOWN),
    ("cut within the head", b"HTTP/1.1 200 OK\r\nAtte", UNKNOWN),
)
INCOMPLETE_RESPONSES = (
    ("too short", HEAD + b"Content-Length: 9\r\n\r\nbody"),
    ("chunks without an end", HEAD + b"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n"),
)


class RawServer:
    """Sends the given bytes in response to each request, on request with the request's own id."""

    def __init__(self, answer, keep_open=False, reset=False, repeats_id=False):
        self.answer = answer
        self.repeats_id = repeats_id
        self.keep_open = keep_open
        self.reset = reset
        self.received = []
        self.connections = 0

    async def read_request(self, stream):
        data = b""
        while True:
            head, end, body = data.partition(b"\r\n\r\n")
            length = re.search(rb"content-length: (\d+)", head.lower())
            if end and len(body) >= int(length[1] if length else 0):
                return data
            received = await stream.receive_some()
            if not received:
                return b""
            data += received

    async def handle(self, stream):
        self.connections += 1
        with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            while data := await self.read_request(stream):
                self.received.append(data)
                answer = self.answer
                if self.repeats_id:
                    sent = re.search(rb"(?i)attempt-id: (\S+)", data)
                    answer = answer.replace(b"Attempt-Id: r1", b"Attempt-Id: " + sent[1])
                await stream.send_all(answer)
                if not self.keep_open:
                    break
            if self.reset:
                linger = struct.pack("ii", 1, 0)
                stream.socket.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_LINGER, linger)
        await stream.aclose()


class DuplicatingServer(RawServer):
    """Refuses the first request twice on its connection, and answers the second one late."""

    def __init__(self, refusal, late_seconds):
        super().__init__(refusal, keep_open=True)
        self.late_seconds = late_seconds

    async def handle(self, stream):
        self.connections += 1
        with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            while data := await self.read_request(stream):
                self.received.append(data)
                if len(self.received) == 1:
                    await stream.send_all(self.answer)
                    await trio.sleep(self.late_seconds)
                    await stream.send_all(self.answer)
                else:
                    await trio.sleep(0.2)
                    await stream.send_all(COMPLETE)
        await stream.aclose()


def request(request_id="r1", body=b"payload"):
    return ExchangeRequest(
        request_id=request_id,
        method=b"POST",
        target=b"/a%2Fb?x=1",
        headers=((b"host", b"h"), (b"attempt-id", request_id.encode()), (b"last-event-id", b"3")),
        body=body,
        route=ROUTE,
        tenant=Tenant("t1", ()),
        received_at=0.0,
        complete_at=0.0,
        deadline=9.0,
        client_deadline=9.0,
        prompt=Prompt("m"),
    )


class InstancesTest(unittest.TestCase):
    def run_with(self, server, script, **client_options):
        async def main():
            async with trio.open_nursery() as nursery:
                listeners = await nursery.start(trio.serve_tcp, server.handle, 0)
                port = listeners[0].socket.getsockname()[1]
                client = HttpClient(**client_options)
                instance = Instance("i1", "s", f"127.0.0.1:{port}", "z", 1)
                await script(HttpInstances(client), instance)
                await client.aclose()
                nursery.cancel_scope.cancel()

        trio.run(main)

    async def call(self, instances, instance, **options):
        call = InstanceCall(instance, request(), 1.5, **options)
        async with instances.open(call) as answer:
            body = b"".join([data async for data in answer.body()])
            return answer, body

    def check_error(self, answer_bytes, expected, **server_options):
        async def script(instances, instance):
            with self.assertRaises(InstanceCallError) as caught:
                await self.call(instances, instance)
            error = caught.exception
            self.assertEqual((error.execution, error.sent), expected)

        self.run_with(RawServer(answer_bytes, **server_options), script)

    def test_a_look_tells_an_instance_that_listens_from_one_that_has_ended(self):
        async def script(instances, instance):
            self.assertIs(await instances.probe_connection(instance), InstanceProbeResult.ANSWERS)
            with socket.socket() as closed:
                closed.bind(("127.0.0.1", 0))
                address = f"127.0.0.1:{closed.getsockname()[1]}"
            ended = msgspec.structs.replace(instance, address=address)
            self.assertIs(await instances.probe_connection(ended), InstanceProbeResult.ENDED)

        self.run_with(RawServer(b""), script)

    def test_a_look_without_a_descriptor_shows_nothing(self):
        # The error ended the node.
        async def script(instances, instance):
            with mock.patch.object(trio.socket, "socket", side_effect=OSError):
                self.assertIs(
                    await instances.probe_connection(instance), InstanceProbeResult.NO_ANSWER
                )

        self.run_with(RawServer(b""), script)

    def test_a_look_that_nobody_answers_shows_nothing(self):
        async def script(instances, instance):
            with socket.socket() as full:
                full.bind(("127.0.0.1", 0))
                full.listen(0)
                address = full.getsockname()
                pending = [socket.socket() for _ in range(3)]
                for connection in pending:
                    connection.setblocking(False)
                    connection.connect_ex(address)
                unresponsive = msgspec.structs.replace(instance, address=f"127.0.0.1:{address[1]}")
                self.assertIs(
                    await instances.probe_connection(unresponsive), InstanceProbeResult.NO_ANSWER
                )
                for connection in pending:
                    connection.close()

        self.run_with(RawServer(b""), script)

    def test_whole_answers(self):
        for name, answer_bytes in COMPLETE_RESPONSES:
            with self.subTest(name):

                async def script(instances, instance):
                    answer, body = await self.call(instances, instance)
                    self.assertEqual((answer.status, answer.signed, body), (200, True, b"body"))

                self.run_with(RawServer(answer_bytes), script)

    def test_the_length_of_an_answer_is_the_one_that_frames_it(self):
        """Guards against a length that is passed on and isn't the body's."""
        both = (
            HEAD + b"Content-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
        )
        lengths = [4, None, None, None]
        answers = (*(answer_bytes for _name, answer_bytes in COMPLETE_RESPONSES), both)
        for answer_bytes, length in zip(answers, lengths, strict=True):
            with self.subTest(answer_bytes):
                received = []

                async def script(instances, instance, received=received):
                    answer, body = await self.call(instances, instance)
                    received.append((answer.length, body))

                self.run_with(RawServer(answer_bytes), script)
                self.assertEqual(received, [(length, b"body")])

    def test_short_reads(self):
        """Guards against a node that reads more of a response at once than it has reserved."""
        body = b"x" * 300_000
        complete = HEAD + b"Content-Length: 300000\r\n\r\n" + body

        async def script(instances, instance):
            async with instances.open(InstanceCall(instance, request(), 1.5)) as answer:
                parts = [data async for data in answer.body()]
            self.assertEqual(b"".join(parts), body)
            self.assertLessEqual(max(map(len, parts)), SHORT_READ_BYTES)

        self.run_with(RawServer(complete), script, short_reads=True)

    def test_refusals_and_lost_answers(self):
        for name, answer_bytes, expected in REFUSALS:
            with self.subTest(name):
                self.check_error(answer_bytes, expected)

    def test_a_version_that_cannot_be_meant_is_none(self):
        """Guards against an engine that is refused all requests for the weights that exist."""
        for text, expected in ((b"3", 3), (b"9" * 15, 10**15 - 1), (b"9" * 16, 0)) + tuple(
            (text, 0) for text in (b"1" + b"0" * 25, b"9" * 5_000, b"-1", b"1_0", b"1.5", b"")
        ):
            with self.subTest(text=text[:30]):
                head = HEAD + b"Weight-Versions: " + text + b"\r\nContent-Length: 4\r\n\r\n"
                found = []

                async def script(instances, instance, found=found):
                    answer, _body = await self.call(instances, instance)
                    found.append(answer.weights_version)

                self.run_with(RawServer(head + b"body"), script)
                self.assertEqual(found, [expected])

    def test_a_length_of_many_digits_is_not_taken_for_an_empty_body(self):
        """Guards against an answer that looks whole to the client, without its body."""
        long = 10**16
        found = []

        async def script(instances, instance):
            async with instances.open(InstanceCall(instance, request(), 1.5)) as answer:
                found.append(answer.length)

        self.run_with(RawServer(HEAD + b"Content-Length: %d\r\n\r\nbody" % long), script)
        self.assertEqual(found, [long])

    def test_a_second_copy_of_a_refusal_answers_no_repeat_of_its_request(self):
        """Guards against "not run" for a repeat that runs: both carry the same id."""
        for head in (b"HTTP/1.1 421 X\r\nInstance-Id: i1\r\n", b"HTTP/1.1 503 X\r\n"):
            refusal = head + b"Attempt-Id: r1\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            for late_seconds in (0.0, 0.05):
                server = DuplicatingServer(refusal, late_seconds)

                async def script(instances, instance, server=server):
                    with self.assertRaises(InstanceCallError) as caught:
                        await self.call(instances, instance)
                    self.assertIs(caught.exception.execution, Execution.NOT_RUN)
                    _, body = await self.call(instances, instance)
                    self.assertEqual(body, b"body")
                    self.assertEqual(server.connections, 2)

                self.run_with(server, script)

    def test_what_a_misdirected_request_tells(self):
        for named, version, stale, replaced in (
            (b"Instance-Id: i1\r\n", 1, True, False),
            (b"Instance-Id: i1\r\n", 0, False, False),
            (b"Instance-Id: i2\r\n", 1, False, True),
            (b"", 1, False, False),
        ):
            with self.subTest(named=named, version=version):
                answer = b"HTTP/1.1 421 X\r\n" + named + b"Content-Length: 0\r\n\r\n"

                async def script(
                    instances, instance, version=version, stale=stale, replaced=replaced
                ):
                    with self.assertRaises(InstanceCallError) as caught:
                        await self.call(instances, instance, expected_version=version)
                    error = caught.exception
                    self.assertEqual((error.stale_version, error.replaced), (stale, replaced))
                    self.assertIs(error.execution, Execution.NOT_RUN)

                self.run_with(RawServer(answer), script)

    def test_broken_answers_are_never_whole(self):
        for name, answer_bytes in INCOMPLETE_RESPONSES:
            with self.subTest(name):
                self.check_error(answer_bytes, UNKNOWN)

    def test_answers_with_neither_length_nor_chunks_are_told_from_others(self):
        for name, answer_bytes in COMPLETE_RESPONSES:
            with self.subTest(name):

                async def script(instances, instance, name=name):
                    answer, _ = await self.call(instances, instance)
                    self.assertEqual(answer.ends_with_connection, name == "without a length")

                self.run_with(RawServer(answer_bytes), script)

    def test_an_answer_without_a_length_that_is_reset_is_not_whole(self):
        unframed = HEAD + b"Connection: close\r\n\r\nbody"
        self.check_error(unframed, UNKNOWN, reset=True)

    def test_what_never_left_is_proved_not_run(self):
        async def script(instances, instance):
            listener = (await trio.open_tcp_listeners(0, host="127.0.0.1"))[0]
            port = listener.socket.getsockname()[1]
            await listener.aclose()
            closed = Instance("i1", "s", f"127.0.0.1:{port}", "z", 1)
            with self.assertRaises(InstanceCallError) as caught:
                await self.call(instances, closed)
            error = caught.exception
            self.assertEqual((error.execution, error.sent), (Execution.NOT_RUN, False))
            self.assertEqual(error.code, ErrorCode.ENGINE_UNREACHABLE)

        self.run_with(RawServer(COMPLETE), script)

    def test_logs_tell_a_refused_connection_from_one_that_timed_out(self):
        async def script(instances, instance):
            with socket.socket() as closed, socket.socket() as full:
                closed.bind(("127.0.0.1", 0))
                full.bind(("127.0.0.1", 0))
                full.listen(0)
                pending = [socket.socket() for _ in range(3)]
                for connection in pending:
                    connection.setblocking(False)
                    connection.connect_ex(full.getsockname())
                for target, reason in ((closed, "refused"), (full, "timed out")):
                    address = f"127.0.0.1:{target.getsockname()[1]}"
                    with self.assertRaises(InstanceCallError) as caught:
                        await self.call(
                            instances, msgspec.structs.replace(instance, address=address)
                        )
                    self.assertEqual(caught.exception.message, f"no connection, {reason}")
                for connection in pending:
                    connection.close()

        self.run_with(RawServer(b""), script)

    def test_surplus_bytes_never_become_the_answer_of_the_next_request(self):
        async def script(instances, instance):
            for number in range(4):
                call = InstanceCall(instance, request(f"r{number}"), 1.5)
                try:
                    async with instances.open(call) as answer:
                        body = b"".join([data async for data in answer.body()])
                except InstanceCallError as error:
                    self.assertIs(error.execution, Execution.UNKNOWN)
                else:
                    self.assertEqual((number, body), (1, b"body"))

        self.run_with(RawServer(COMPLETE + OTHER_RESPONSE, keep_open=True), script)

    def test_whole_answers_keep_their_connection(self):
        server = RawServer(COMPLETE, keep_open=True, repeats_id=True)

        async def script(instances, instance):
            for number in range(3):
                call = InstanceCall(instance, request(f"r{number}"), 1.5)
                async with instances.open(call) as answer:
                    self.assertEqual(b"".join([data async for data in answer.body()]), b"body")

        self.run_with(server, script)
        self.assertEqual(server.connections, 1)

    def test_idle_connections_of_an_address_can_be_closed_and_busy_ones_are_told(self):
        server = RawServer(COMPLETE, keep_open=True)

        async def script(instances, instance):
            call = InstanceCall(instance, request(), 1.5)
            async with instances.open(call) as answer:
                self.assertEqual(instances.idle_addresses(), set())
                async for _ in answer.body():
                    pass
            self.assertEqual(instances.idle_addresses(), {instance.address})
            await instances.forget(instance.address)
            self.assertEqual(instances.idle_addresses(), set())
            await self.call(instances, instance)

        self.run_with(server, script)
        self.assertEqual(server.connections, 2)

    def test_a_request_is_passed_on_with_its_preconditions(self):
        server = RawServer(COMPLETE)

        async def script(instances, instance):
            await self.call(
                instances,
                instance,
                priority=2,
                expected_version=4,
                cache_salt="4.",
                cache_source="10.0.0.1:1",
                cache_target="10.0.0.2:2",
                resume_after="7",
            )

        self.run_with(server, script)
        sent = server.received[0]
        self.assertTrue(sent.startswith(b"POST /a%2Fb?x=1 HTTP/1.1\r\n"))
        self.assertTrue(sent.endswith(b"\r\n\r\npayload"))
        for line in (
            b"expect-instance: i1",
            b"expect-version: 4",
            b"tenant: t1",
            b"deadline-ms: 1500",
            b"cache-salt: 4.",
            b"cache-source: 10.0.0.1:1",
            b"cache-target: 10.0.0.2:2",
            b"request-priority: 2",
            b"last-event-id: 7",
            b"content-length: 7",
        ):
            self.assertEqual(sent.lower().count(line + b"\r\n"), 1, line)

    def test_orders_tell_what_is_proved(self):
        order = WeightsOrder(NamedWeights("m", 2), "n", 5, 1)
        for status, outcome in (
            (b"202 A", OrderOutcome.UNDER_WAY),
            (b"200 A", OrderOutcome.ALREADY_LOADED),
            (b"409 A", OrderOutcome.BUSY_OR_SEQUENCE_CHANGED),
            (b"412 A", OrderOutcome.FENCED),
            (b"400 A", OrderOutcome.REJECTED),
            (b"421 A", OrderOutcome.REJECTED),
            (b"", OrderOutcome.UNKNOWN),
        ):
            with self.subTest(status):
                answer = b"HTTP/1.1 " + status + b"\r\nContent-Length: 0\r\n\r\n" if status else b""

                async def script(instances, instance, outcome=outcome):
                    self.assertEqual(await instances.order(instance, order), outcome)

                self.run_with(RawServer(answer), script)

    def test_reports_that_cannot_be_read_are_none(self):
        body = b'{"busy":true,"callSequence":3,"models":[{"name":"m","version":2}]}'
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
        nested = b'{"x":' + b"[" * 50_000 + b"]" * 50_000 + b"}"
        for answer, expected in ((body, (True, 3, {"m": 2})), (b"{", None), (nested, None)):

            async def script(instances, instance, expected=expected):
                report = await instances.report(instance)
                read = report and (report.busy, report.order_sequence, dict(report.versions))
                self.assertEqual(read, expected)

            self.run_with(RawServer(head % len(answer) + answer), script)
