"""Clients whose heads, bodies or bytes behind a request don't end, at the server for exchanges."""

import contextlib
import unittest
from unittest import mock

import hypercorn.protocol
import structlog.testing
import trio
import trio.testing

from hopstep.adapters.http1_only import Http1OnlyProtocol
from hopstep.adapters.http_server import ServerConfig, serve_app
from hopstep.domain.byte_budget import ByteBudget, ByteShare
from hopstep.domain.exchanges import request_body
from hopstep.domain.exchanges.request_body import RequestBody
from hopstep.exceptions import ErrorCode, ServiceError
from hopstep.platform import front
from hopstep.ports.exchange_front import ExchangeHandler
from hopstep.services.exchanges.requests.intake.incoming_exchange import IncomingExchange
from tests.platform.endless_peers import (
    LONGEST_STEP_SECONDS,
    longest_step,
    receive_to_end,
    send_without_end,
    traced_peak,
)

MEBIBYTE = 1 << 20
LIMIT_BYTES = 100_000
KEEP_ALIVE_SECONDS = 0.4
BODY_SECONDS = 0.4
ANSWER_SECONDS = 3.0
DRIP_SECONDS = 0.05
SETTLE_SECONDS = 0.05

HEAD = b"POST / HTTP/1.1\r\nHost: h\r\nAttempt-Id: r1\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
HEADS = {
    "a request line": (b"POST /", b"x", 431),
    "lines of a head": (HEAD, b"X-A: b\r\n", 431),
    "one header": (HEAD + b"X-A: ", b"b", 431),
    "garbage": (b"", b"\x00", 400),
    "lines that are no head": (b"", b"garbage\r\n", 431),
}
BODIES = {
    "a body with a length": (HEAD + b"Content-Length: 1000000000000\r\n\r\n", b"x", 413),
    "large chunks": (CHUNKED, b"4000\r\n" + b"x" * 0x4000 + b"\r\n", 413),
}
FRAMES = {
    "a chunk's extension": (CHUNKED + b"1;a=", b"b", 431),
    "lines of a trailer": (CHUNKED + b"1\r\nx\r\n0\r\n", b"X-A: b\r\n", 431),
}
SMALL_CHUNKS = (CHUNKED, b"1\r\nx\r\n", 413)


class Handler(ExchangeHandler):
    """Answers each request by what became of its body."""

    def __init__(self):
        self.active = 0

    @contextlib.asynccontextmanager
    async def begin(self, head, connection):
        self.active += 1
        try:
            yield IncomingExchange(head, ByteShare(ByteBudget()), LIMIT_BYTES, self.serve)
        finally:
            self.active -= 1

    async def serve(self, head, body: RequestBody, answer):
        if body.omission is request_body.BodyOmission.TOO_LONG:
            raise ServiceError(ErrorCode.BODY_TOO_LARGE, "too long")
        if body.omission is not None:
            raise ServiceError(ErrorCode.DEADLINE_EXCEEDED, "too slow")
        await answer.start(200, (), 2)
        await answer.send(b"ok")
        await answer.finish()


class ClientsWithoutEndTest(unittest.TestCase):
    def setUp(self):
        self.sent_bytes = 0
        self.enterContext(mock.patch.object(front, "MAX_BODY_SECONDS", BODY_SECONDS))
        self.enterContext(mock.patch.object(request_body, "MAX_DISCARDED_BYTES", LIMIT_BYTES))
        protocol = mock.patch.object(hypercorn.protocol, "H11Protocol", Http1OnlyProtocol)
        self.enterContext(protocol)

    def run_client(self, beginning, repeated, *, drips=False, instruments=()):
        """Return the bytes that a client gets until its connection ends."""
        handler = Handler()
        received = b""
        pause_seconds = DRIP_SECONDS if drips else None

        def count(size):
            self.sent_bytes += size

        async def application(scope, receive_message, send_message):
            if scope["type"] == "lifespan":
                for _ in range(2):
                    message = await receive_message()
                    await send_message({"type": f"{message['type']}.complete"})
                return
            await front.ExchangeFront(handler, lambda: False)(scope, receive_message, send_message)

        async def main():
            nonlocal received
            config = ServerConfig("127.0.0.1:0", None)
            config.keep_alive_timeout = KEEP_ALIVE_SECONDS
            async with trio.open_nursery() as nursery:
                urls = await nursery.start(serve_app, application, config, trio.sleep_forever)
                await trio.testing.wait_all_tasks_blocked(SETTLE_SECONDS)
                tasks = trio.lowlevel.current_statistics().tasks_living
                stream = await trio.open_tcp_stream("127.0.0.1", int(urls[0].rpartition(":")[2]))
                with trio.fail_after(ANSWER_SECONDS):
                    async with trio.open_nursery() as client:
                        client.start_soon(
                            send_without_end, stream, beginning, repeated, pause_seconds, count
                        )
                        received = await receive_to_end(stream)
                        client.cancel_scope.cancel()
                    await stream.aclose()
                # The server watches for an idle connection after it has closed, too.
                await trio.sleep(KEEP_ALIVE_SECONDS)
                await trio.testing.wait_all_tasks_blocked(SETTLE_SECONDS)
                self.assertEqual(trio.lowlevel.current_statistics().tasks_living, tasks)
                self.assertEqual(handler.active, 0)
                nursery.cancel_scope.cancel()

        trio.run(main, instruments=instruments)
        return received

    def check(self, beginning, repeated, status, max_bytes=MEBIBYTE, **options):
        """Check that a client's connection ends, with the status unless a reset has lost it."""
        with traced_peak() as peak:
            received = self.run_client(beginning, repeated, **options)
            self.assertLess(peak(), max_bytes)
        if received or options:
            self.assertEqual(received[9:12], b"%d" % status)

    def test_a_head_without_end_is_refused(self):
        """Guards against clients whose heads are kept without bound, and that no log names."""
        for name, (beginning, repeated, status) in HEADS.items():
            with self.subTest(name), structlog.testing.capture_logs() as lines:
                self.check(beginning, repeated, status)
                statuses = [each["status"] for each in lines if each["event"] == "bytes_rejected"]
                self.assertEqual(statuses, [status])

    def test_a_body_without_end_is_refused(self):
        """Guards against clients whose refused bodies are read for as long as they send."""
        for name, (beginning, repeated, status) in {**BODIES, **FRAMES}.items():
            with self.subTest(name):
                self.check(beginning, repeated, status, 2 * MEBIBYTE)

    def test_a_body_that_drips_is_refused(self):
        """Guards against requests that stay open while their clients send a byte now and then."""
        self.check(CHUNKED, b"1\r\nx\r\n", 503, drips=True)

    def test_a_head_that_drips_ends_with_its_connection(self):
        """Guards against connections that stay open while their clients send a byte at times."""
        self.assertEqual(self.run_client(HEAD + b"X-A: ", b"b", drips=True), b"")

    def test_small_chunks_without_end_do_not_stop_the_loop(self):
        """Guards against requests that wait while one client's chunks are read."""
        beginning, repeated, _status = SMALL_CHUNKS

        def run(step):
            self.run_client(beginning, repeated, instruments=[step])

        self.assertLess(longest_step(run), LONGEST_STEP_SECONDS)

    def test_bytes_behind_a_request_are_refused_after_its_answer(self):
        """Guards against bytes that are kept without bound while a request is served."""
        beginning = HEAD + b"Content-Length: 1\r\n\r\nx"
        with traced_peak() as peak:
            received = self.run_client(beginning, b"garbage\r\n")
            self.assertLess(peak(), MEBIBYTE)
        self.assertEqual(received[9:12], b"200")
        self.assertIn(b"HTTP/1.1 431", received)
