"""Answers whose body doesn't end, from instances, cache stores and the platform's store."""

import contextlib
import time
import unittest

import structlog.testing
import trio

from hopstep.bounded_body import MAX_SMALL_PARTS
from hopstep.domain.exchanges.instances import Instance, NamedWeights
from hopstep.domain.store_position import StorePosition
from hopstep.exceptions import StoreError, StoreOutcomeUnknownError
from hopstep.platform.cache_events import PlatformCacheEvents
from hopstep.platform.http_client import HttpClient
from hopstep.platform.instances import CONTROL_SECONDS, HttpInstances
from hopstep.platform.store import PlatformStore
from hopstep.ports.instance_calls import InstanceCall, InstanceCallError
from hopstep.ports.weights_orders import OrderOutcome, WeightsOrder
from tests.platform.endless_peers import (
    LONGEST_STEP_SECONDS,
    EndlessServer,
    longest_step,
    traced_peak,
)
from tests.platform.test_instances import HEAD, request

MEBIBYTE = 1 << 20
STORE_SECONDS = 1.0

STATUS = b"HTTP/1.1 200 OK\r\n"
CHUNKED = STATUS + b"Transfer-Encoding: chunked\r\n\r\n"
BODIES = {
    "with a length": (STATUS + b"Content-Length: 1000000000000\r\n\r\n", b"x"),
    "in chunks": (CHUNKED, b"4000\r\n" + b"x" * 0x4000 + b"\r\n"),
    "in chunks of a byte": (CHUNKED, b"1\r\nx\r\n"),
    "up to the end of the connection": (STATUS + b"Connection: close\r\n\r\n", b"x"),
}
DRIP = (CHUNKED, b"1\r\nx\r\n")


def ask_report(client, address):
    return HttpInstances(client).report(Instance("i1", "s", address, "z", 1))


def send_order(client, address):
    order = WeightsOrder(NamedWeights("m", 2), "n", 1, 0)
    return HttpInstances(client).order(Instance("i1", "s", address, "z", 1), order)


def read_events(client, address):
    return PlatformCacheEvents(client).read(address, 0, 0.0)


async def read_store(client, address):
    try:
        await PlatformStore(address, client, STORE_SECONDS).get("k")
    except StoreError as error:
        return type(error)


async def watch_store(client, address):
    try:
        await PlatformStore(address, client, STORE_SECONDS).watch("", StorePosition(0, 1), 0.0)
    except StoreError as error:
        return type(error)


async def write_store(client, address):
    try:
        await PlatformStore(address, client, STORE_SECONDS).grant_lease(1.0)
    except StoreError as error:
        return type(error)


# Call, what it returns for an answer that isn't HTTP, most bytes held, and its longest duration.
CALLS = {
    "control report": (ask_report, None, MEBIBYTE, CONTROL_SECONDS),
    "control order": (send_order, OrderOutcome.UNKNOWN, MEBIBYTE, CONTROL_SECONDS),
    "cache_events": (read_events, None, 5 * MEBIBYTE, 0.7),
    "store read": (read_store, StoreError, 36 * MEBIBYTE, STORE_SECONDS),
    "store watch": (watch_store, StoreError, 36 * MEBIBYTE, STORE_SECONDS),
    "store write": (write_store, StoreOutcomeUnknownError, 36 * MEBIBYTE, STORE_SECONDS),
}


class AnswersWithoutEndTest(unittest.TestCase):
    def call(self, server, ask, instruments=()):
        async def main():
            async with trio.open_nursery() as nursery:
                listeners = await nursery.start(trio.serve_tcp, server.handle, 0)
                address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
                client = HttpClient()
                result = await ask(client, address)
                await client.aclose()
                nursery.cancel_scope.cancel()
                return result

        with structlog.testing.capture_logs() as lines:
            result = trio.run(main, instruments=instruments)
        exceeded = [
            (line["call"], line["bound"])
            for line in lines
            if line["event"] == "answer_bound_exceeded"
        ]
        return result, exceeded

    def test_a_body_without_end_takes_no_memory_without_bound(self):
        """Guards against 85 MB that a report without end took until its call was given up."""
        for call, (ask, expected, max_bytes, _seconds) in CALLS.items():
            for name, (beginning, repeated) in BODIES.items():
                with self.subTest(call=call, body=name), traced_peak() as peak:
                    result, _exceeded = self.call(EndlessServer(beginning, repeated), ask)
                    self.assertEqual(result, expected)
                    self.assertLess(peak(), max_bytes)

    def test_a_body_without_end_does_not_stop_the_loop(self):
        """Guards against requests that wait while one answer's chunks are read."""
        for call in CALLS:
            for name, (beginning, repeated) in BODIES.items():
                server = EndlessServer(beginning, repeated)

                def run(step, server=server, call=call):
                    ask, expected, _max_bytes, seconds = CALLS[call]
                    began_at = time.monotonic()
                    result, exceeded = self.call(server, ask, [step])
                    self.assertEqual(result, expected)
                    self.assertEqual(len(exceeded), 1)
                    self.assertTrue(call.startswith(exceeded[0][0]))
                    self.assertLess(time.monotonic() - began_at, seconds + 0.5)

                with self.subTest(call=call, body=name):
                    self.assertLess(longest_step(run), LONGEST_STEP_SECONDS)

    def test_a_body_that_drips_ends_with_the_time_of_its_call(self):
        """Guards against a call that lasts as long as its peer sends a byte now and then."""
        for call, (ask, expected, _max_bytes, seconds) in CALLS.items():
            with self.subTest(call):
                began_at = time.monotonic()
                result, exceeded = self.call(EndlessServer(*DRIP, drips=True), ask)
                self.assertEqual(result, expected)
                self.assertEqual(exceeded, [(call.split()[0], "seconds")])
                self.assertLess(time.monotonic() - began_at, seconds + 0.5)

    def test_chunks_of_a_byte_do_not_stop_the_loop(self):
        """Guards against 180 ms for which all tasks wait while an instance's chunks are read."""

        async def read_some(client, address):
            with self.assertRaisesRegex(InstanceCallError, "broke off"):
                await self.read_answer(client, address, sizes)

        def run(step):
            sizes.clear()
            self.call(server, read_some, [step])

        sizes = []
        server = EndlessServer(HEAD + b"Transfer-Encoding: chunked\r\n\r\n", b"1\r\nx\r\n")
        self.assertLess(longest_step(run), LONGEST_STEP_SECONDS)
        self.assertLess(len(sizes), 2 * MAX_SMALL_PARTS)

    async def read_answer(self, client, address, sizes):
        """Read the answer to a request and collect the sizes of its parts."""
        instance = Instance("i1", "s", address, "z", 1)
        async with (
            HttpInstances(client).open(InstanceCall(instance, request(), 1.5)) as answer,
            contextlib.aclosing(answer.body()) as body,
        ):
            async for data in body:
                sizes.append(len(data))

    def test_an_answer_in_many_parts_of_a_usual_size_is_whole(self):
        """Guards against a bound on small parts that breaks long streams."""
        sizes = []
        event = b"id: 1\ndata: x\n\n"
        chunk = b"%x\r\n%b\r\n" % (len(event), event)
        count = 2 * MAX_SMALL_PARTS
        head = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
        server = EndlessServer(head + chunk * count + b"0\r\n\r\n", b"x")
        self.call(server, lambda client, address: self.read_answer(client, address, sizes))
        self.assertEqual(sum(sizes), len(event) * count)
        self.assertEqual(sum(sizes), count * len(event))
