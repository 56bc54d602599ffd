"""Bytes without end around an answer's body, from instances, cache stores and the store."""

import contextlib
import time
import unittest
from unittest import mock

import trio

from hopstep.domain.exchanges.instances import Instance
from hopstep.exceptions import Execution
from hopstep.platform.http_client import HttpClient
from hopstep.platform.instances import HttpInstances
from hopstep.ports.instance_calls import InstanceCall, InstanceCallError
from tests.platform.endless_peers import (
    LONGEST_STEP_SECONDS,
    EndlessServer,
    longest_step,
    traced_peak,
)
from tests.platform.test_answers_without_end import CALLS, MEBIBYTE
from tests.platform.test_instances import HEAD, request

MAX_READ_BYTES = 256 * 1024
"""Far above a head, a chunk's line and trailers, far below what a peer sends in a second."""

REQUEST_SECONDS = 2.0

CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
NO_ANSWER = {
    "garbage": (b"", b"\x00garbage"),
    "lines that are no head": (b"", b"garbage\r\n\r\n"),
    "a status line": (b"HTTP/1.1 200 ", b"x"),
    "lines of a head": (HEAD, b"X-A: b\r\n"),
    "one header": (HEAD + b"X-A: ", b"b"),
    "a header's name": (HEAD, b"a"),
}
NO_BODY = {
    "digits of a chunk's length": (CHUNKED, b"0"),
    "a chunk's extension": (CHUNKED + b"1;a=", b"b"),
    "lines of a trailer": (CHUNKED + b"1\r\nx\r\n0\r\n", b"X-A: b\r\n"),
    "one trailer": (CHUNKED + b"1\r\nx\r\n0\r\nX-A: ", b"b"),
}
INFORMATIONAL = {
    "without headers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "with headers": (
        b"",
        b"HTTP/1.1 103 Early Hints\r\n" + b"Link: </x>\r\n" * 100 + b"\r\n",
    ),
}
BEHIND = {
    "bytes behind an answer with a length": (HEAD + b"Content-Length: 1\r\n\r\nx", b"y"),
    "bytes behind an answer in chunks": (CHUNKED + b"1\r\nx\r\n0\r\n\r\n", b"y"),
    "answers behind an answer": (
        HEAD + b"Content-Length: 1\r\n\r\nx",
        HEAD + b"Content-Length: 1\r\n\r\nx",
    ),
}


class HeadsWithoutEndTest(unittest.TestCase):
    def setUp(self):
        self.read_bytes = 0

    @contextlib.contextmanager
    def counted_reads(self):
        """Count the bytes that are read of all connections."""
        receive = trio.SocketStream.receive_some

        async def receive_counted(stream, max_bytes=None):
            data = await receive(stream, max_bytes)
            self.read_bytes += len(data)
            return data

        with mock.patch.object(trio.SocketStream, "receive_some", receive_counted):
            yield

    def run_with(self, form, ask, instruments=()):
        server = EndlessServer(*form)

        async def main():
            async with trio.open_nursery() as nursery:
                listeners = await nursery.start(trio.serve_tcp, server.handle, 0)
                address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
                client = HttpClient()
                with trio.fail_after(REQUEST_SECONDS):
                    result = await ask(client, address)
                await client.aclose()
                nursery.cancel_scope.cancel()
                return result

        with self.counted_reads():
            return trio.run(main, instruments=instruments), server

    async def send_request(self, client, address):
        """Return the body of the answer, or what its failure proves."""
        instance = Instance("i1", "s", address, "z", 1)
        try:
            async with HttpInstances(client).open(InstanceCall(instance, request(), 1.5)) as answer:
                return b"".join([data async for data in answer.body()])
        except InstanceCallError as error:
            return error.execution

    async def send_twice(self, client, address):
        """Return the bodies of the answers to two requests, one after the other."""
        return [await self.send_request(client, address) for _ in range(2)]

    def check(self, name, form, ask, expected):

        def run(step):
            self.read_bytes = 0
            began_at = time.monotonic()
            result, _server = self.run_with(form, ask, [step])
            self.assertEqual(result, expected)
            self.assertLess(self.read_bytes, MAX_READ_BYTES)
            self.assertLess(time.monotonic() - began_at, REQUEST_SECONDS / 2)

        with self.subTest(name):
            self.assertLess(longest_step(run), LONGEST_STEP_SECONDS)
            with traced_peak() as peak:
                self.run_with(form, ask)
                self.assertLess(peak(), MEBIBYTE)

    def test_a_request_ends_at_bytes_without_end_that_are_no_answer(self):
        """Guards against heads and trailers that a request reads until its deadline."""
        for name, form in {**NO_ANSWER, **NO_BODY}.items():
            self.check(name, form, self.send_request, Execution.UNKNOWN)

    def test_a_control_call_ends_at_bytes_without_end_that_are_no_answer(self):
        """Guards against heads and trailers that take memory or time without bound."""
        for call, (ask, expected, _max_bytes, _seconds) in CALLS.items():
            for name, form in {**NO_ANSWER, **NO_BODY}.items():
                self.check(f"{call}: {name}", form, ask, expected)

    def test_informational_responses_without_end_are_no_answer(self):
        """Guards against reading them until a request's deadline, while the loop stands still."""
        for name, form in INFORMATIONAL.items():
            self.check(name, form, self.send_request, Execution.UNKNOWN)
            for call, (ask, expected, _max_bytes, _seconds) in CALLS.items():
                self.check(f"{call}: {name}", form, ask, expected)

    def test_an_answer_may_follow_a_few_informational_responses(self):
        """Guards against a bound on them that refuses answers of instances that work."""
        hints = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
        form = (hints + HEAD + b"Content-Length: 1\r\n\r\nx", b"y")
        self.check("two", form, self.send_request, b"x")

    def test_an_answer_is_whole_whatever_comes_behind_it(self):
        """Guards against bytes behind an answer that are read, kept or taken for the next one."""
        for name, form in BEHIND.items():
            self.check(name, form, self.send_twice, [b"x", b"x"])
            with self.subTest(name):
                _result, server = self.run_with(form, self.send_twice)
                self.assertEqual(server.connections, 2)
