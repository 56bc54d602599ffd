"""Answers without end of engines, the key-value service, the machine list and peers."""

import contextlib
import gzip
import ssl
import time
import unittest
from unittest import mock

import httpx
import structlog.testing
import trio

from hopstep.adapters import peer_http
from hopstep.adapters.engine_http import HttpEngine
from hopstep.adapters.engine_stream import MAX_LINE_BYTES, StreamDecoder
from hopstep.adapters.kept_connections import make_client
from hopstep.adapters.key_value_store_http import HttpKeyValueStore
from hopstep.adapters.machine_list_http import HttpMachineList
from hopstep.adapters.peer_codec import PeerCodec
from hopstep.adapters.peer_http import HttpPeerConfiguration
from hopstep.adapters.peer_keys import PeerKeys
from hopstep.bounded_protocol import MAX_INFORMATIONAL_RESPONSES
from hopstep.domain.store_position import ABSENT
from hopstep.exceptions import EngineError, PeerMessageError, StoreError, StoreOutcomeUnknownError
from hopstep.ports.engine import EngineOrder
from tests.contract.engine_contract import REQUEST
from tests.platform.endless_peers import (
    LONGEST_STEP_SECONDS,
    EndlessServer,
    longest_step,
    traced_peak,
)
from tests.platform.test_instances import RawServer

MEBIBYTE = 1 << 20
SECONDS = 0.3
MARGIN_SECONDS = 0.7

CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
REFUSED = b"HTTP/1.1 500 X\r\nTransfer-Encoding: chunked\r\n\r\n"
LARGE = b"4000\r\n" + b"x" * 0x4000 + b"\r\n"
SMALL = b"1\r\nx\r\n"
INFORMATIONAL = b"HTTP/1.1 100 Continue\r\n\r\n"
HEADS = {
    "garbage": (b"", b"\x00"),
    "lines that are no head": (b"", b"garbage\r\n"),
    "a status line": (b"HTTP/1.1 200 ", b"x"),
    "lines of a head": (b"HTTP/1.1 200 OK\r\n", b"X-A: b\r\n"),
    "one header": (b"HTTP/1.1 200 OK\r\nX-A: ", b"b"),
    "a chunk's extension": (CHUNKED + b"1;a=", b"b"),
    "lines of a trailer": (CHUNKED + b"1\r\nx\r\n0\r\n", b"X-A: b\r\n"),
    "informational responses": (b"", INFORMATIONAL),
}
# Made once: a client makes a context of its own without one, for 40 ms.
TLS = ssl.create_default_context()


def engine_call(method, *arguments):
    async def call(address):
        async with contextlib.aclosing(HttpEngine(call_timeout_seconds=SECONDS)) as engine:
            await getattr(engine, method)(address, *arguments)

    return call


async def engine_stream(address):
    engine = HttpEngine(call_timeout_seconds=SECONDS)
    async with contextlib.aclosing(engine), engine.generate(address, REQUEST) as frames:
        async for _frame in frames:
            pass


async def key_value_get(address):
    async with make_client(TLS) as client:
        await HttpKeyValueStore(address, client, SECONDS).get("k")


async def key_value_write(address):
    async with make_client(TLS) as client:
        await HttpKeyValueStore(address, client, SECONDS).compare_and_swap("k", ABSENT, b"")


async def machine_list(address):
    async with make_client(TLS) as client:
        await HttpMachineList(address, client, SECONDS).machines()


async def peer_configuration(address):
    codec = PeerCodec("c", "a", 1, PeerKeys({"k": bytes(32)}), lambda: 1_000.0)
    async with make_client(TLS) as client:
        await HttpPeerConfiguration(client, codec, lambda _: f"http://{address}").fetch("b", 6)


# Call, beginning of the answer, error, name of the call in the log and most bytes held.
CALLS = {
    "facts": (engine_call("probe"), CHUNKED, EngineError, "control", MEBIBYTE),
    "cancel": (engine_call("cancel", "n", "i"), CHUNKED, EngineError, "control", MEBIBYTE),
    "order": (
        engine_call("order", EngineOrder(1, {})),
        CHUNKED,
        EngineError,
        "control",
        MEBIBYTE,
    ),
    "a refusal": (engine_call("probe"), REFUSED, EngineError, "control", MEBIBYTE),
    "a refused stream": (engine_stream, REFUSED, EngineError, "control", MEBIBYTE),
    "cache events": (
        engine_call("cache_events", "i", 0),
        CHUNKED,
        EngineError,
        "cache_events",
        5 * MEBIBYTE,
    ),
    "key-value read": (key_value_get, CHUNKED, StoreError, "store", 140 * MEBIBYTE),
    "key-value write": (
        key_value_write,
        CHUNKED,
        StoreOutcomeUnknownError,
        "store",
        140 * MEBIBYTE,
    ),
    "machine list": (machine_list, CHUNKED, StoreError, "machine_list", 10 * MEBIBYTE),
    "peer": (peer_configuration, CHUNKED, PeerMessageError, "peer", 140 * MEBIBYTE),
}


class EndlessAnswerCase(unittest.TestCase):
    """Calls stand-ins that answer without end; has no tests of its own."""

    def setUp(self):
        self.enterContext(mock.patch.object(peer_http, "ANSWER_SECONDS", 2 * SECONDS))
        make = "httpx._transports.default.create_ssl_context"
        self.enterContext(mock.patch(make, return_value=TLS))

    def call(self, server, ask, error, instruments=()):
        """Return the lines that say which bound was exceeded, once the call has failed."""

        async def main():
            async with trio.open_nursery() as nursery:
                listeners = await nursery.start(trio.serve_tcp, server.handle, 0)
                with self.assertRaises(error):
                    await ask(f"127.0.0.1:{listeners[0].socket.getsockname()[1]}")
                nursery.cancel_scope.cancel()

        with structlog.testing.capture_logs() as lines:
            trio.run(main, instruments=instruments)
        return [
            (line["call"], line["bound"])
            for line in lines
            if line["event"] == "answer_bound_exceeded"
        ]


class HeadsWithoutEndTest(EndlessAnswerCase):
    def test_a_head_without_end_is_no_answer(self):
        """Guards against 97 ms for which all tasks wait, and memory that grows, for one head."""
        for call, (ask, _beginning, error, _call, _max_bytes) in CALLS.items():
            for name, (beginning, repeated) in HEADS.items():
                server = EndlessServer(beginning, repeated)

                def run(step, server=server, ask=ask, error=error):
                    self.call(server, ask, error, [step])

                with self.subTest(call=call, head=name):
                    began_at = time.monotonic()
                    with traced_peak() as peak:
                        self.call(server, ask, error)
                        self.assertLess(peak(), MEBIBYTE)
                    self.assertLess(time.monotonic() - began_at, SECONDS)
                    self.assertLess(longest_step(run), LONGEST_STEP_SECONDS)

    def test_a_few_informational_responses_precede_each_answer(self):
        """Guards against answers that are refused for those before earlier ones."""
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        few = RawServer(INFORMATIONAL * MAX_INFORMATIONAL_RESPONSES + answer, keep_open=True)
        many = RawServer(INFORMATIONAL * (MAX_INFORMATIONAL_RESPONSES + 1) + answer)

        async def main():
            async with trio.open_nursery() as nursery, make_client(TLS) as client:
                for server in (few, many):
                    listeners = await nursery.start(trio.serve_tcp, server.handle, 0)
                    url = f"http://127.0.0.1:{listeners[0].socket.getsockname()[1]}/"
                    if server is many:
                        with self.assertRaises(httpx.RemoteProtocolError):
                            await client.get(url)
                        continue
                    for _ in range(3):
                        self.assertEqual((await client.get(url)).content, b"ok")
                nursery.cancel_scope.cancel()

        trio.run(main)
        self.assertEqual(few.connections, 1)


class AnswersWithoutEndTest(EndlessAnswerCase):
    def test_a_body_without_end_is_read_up_to_a_bound(self):
        """Guards against a router whose memory grows while one answer doesn't end."""
        for name, (ask, beginning, error, call, max_bytes) in CALLS.items():
            with self.subTest(name), traced_peak() as peak:
                exceeded = self.call(EndlessServer(beginning, LARGE), ask, error)
                self.assertEqual([line[0] for line in exceeded], [call])
                self.assertLess(peak(), max_bytes)

    def test_small_chunks_without_end_do_not_stop_the_loop(self):
        """Guards against requests that wait while one answer's chunks are read."""
        for name, (ask, beginning, error, _call, _max_bytes) in CALLS.items():

            def run(step, ask=ask, beginning=beginning, error=error):
                self.call(EndlessServer(beginning, SMALL), ask, error, [step])

            with self.subTest(name):
                self.assertLess(longest_step(run), LONGEST_STEP_SECONDS)

    def test_a_body_that_drips_ends_with_the_time_of_its_call(self):
        """Guards against a call that lasts as long as its peer sends a byte now and then."""
        for name, (ask, beginning, error, call, _max_bytes) in CALLS.items():
            with self.subTest(name):
                began_at = time.monotonic()
                exceeded = self.call(EndlessServer(beginning, SMALL, drips=True), ask, error)
                self.assertEqual(exceeded, [(call, "seconds")])
                self.assertLess(time.monotonic() - began_at, 2 * SECONDS + MARGIN_SECONDS)

    def test_an_encoded_answer_is_not_decoded(self):
        """Guards against some kilobytes that decode to as many megabytes at once."""
        body = gzip.compress(bytes(32 * MEBIBYTE))
        head = b"HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\nContent-Length: %d\r\n\r\n"
        for name, (ask, _beginning, error, _call, _max_bytes) in CALLS.items():
            with self.subTest(name), traced_peak() as peak:
                self.call(EndlessServer(head % len(body) + body, b"x"), ask, error)
                self.assertLess(peak(), MEBIBYTE)

    def test_a_line_without_end_interrupts_its_stream(self):
        """Guards against a stream whose line is kept without bound."""

        def run(step):
            self.call(EndlessServer(CHUNKED, SMALL), engine_stream, EngineError, [step])

        with traced_peak() as peak:
            self.call(EndlessServer(CHUNKED, LARGE), engine_stream, EngineError)
            self.assertLess(peak(), 4 * MEBIBYTE)
        self.assertLess(longest_step(run), LONGEST_STEP_SECONDS)

    def test_a_long_line_in_small_parts_is_not_copied_for_each(self):
        """Guards against a line without end whose parts each copy all before them."""
        decoder = StreamDecoder("n", "e")
        began_at = time.process_time()
        for _ in range(MAX_LINE_BYTES // 16):
            self.assertEqual(decoder.feed(b"x" * 16), [])
        with self.assertRaises(EngineError):
            decoder.feed(b"x")
        self.assertLess(time.process_time() - began_at, 1.0)
