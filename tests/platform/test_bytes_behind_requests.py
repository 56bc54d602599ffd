"""Clients that send bytes behind a request while it is served, over real sockets."""

import contextlib
import functools
import unittest
from unittest import mock

import hypercorn.protocol
import trio

from hopstep.adapters.exchange_server import ListenerSwitch, OperatorListeners, track_connections
from hopstep.adapters.http1_only import Http1OnlyProtocol
from hopstep.adapters.http_server import ServerConfig, serve_app
from hopstep.domain.byte_budget import ByteBudget, ByteShare
from hopstep.domain.exchanges.request_body import RequestBody
from hopstep.platform.front import ExchangeFront
from hopstep.ports.exchange_front import ExchangeHandler
from hopstep.services.exchanges.requests.intake.incoming_exchange import IncomingExchange

PART = b"x" * 4_000
PARTS = 6
PAUSE_SECONDS = 0.02
SETTLE_SECONDS = 0.1
LAST_REQUESTS = (b"GET /r1 HTTP/1.0", b"GET /r1 HTTP/1.1\r\nConnection: close")
SURPLUS = (b"\r\n", b"x", b"GET /r2 HTTP/1.0\r\n\r\n")
NEXT = b"GET /r2 HTTP/1.1\r\nHost: h\r\n\r\n"


class Handler(ExchangeHandler):
    """Answers without a length, in parts."""

    def __init__(self, cut_after):
        self.cut_after = cut_after

    @contextlib.asynccontextmanager
    async def begin(self, head, connection):
        yield IncomingExchange(head, ByteShare(ByteBudget()), 1_000, self.serve)

    async def serve(self, head, body: RequestBody, answer):
        await trio.sleep(PAUSE_SECONDS)
        await answer.start(200, (), None)
        for number in range(PARTS):
            if number == self.cut_after:
                return
            await answer.send(PART)
            await trio.sleep(PAUSE_SECONDS)
        await answer.finish()


class BytesBehindRequestsTest(unittest.TestCase):
    def setUp(self):
        protocol = mock.patch.object(hypercorn.protocol, "H11Protocol", Http1OnlyProtocol)
        self.enterContext(protocol)

    def exchange(self, head, behind, *, delay=0.0, cut_after=PARTS):
        """Return what a client receives, whether its connection was reset, and tasks left."""

        async def main():
            operators = OperatorListeners("127.0.0.1:1", "", lambda: True, lambda: b"")
            app = ListenerSwitch(ExchangeFront(Handler(cut_after), lambda: False), operators)
            serve = functools.partial(
                serve_app,
                app,
                ServerConfig("127.0.0.1:0", None),
                trio.sleep_forever,
                open_connection=track_connections(contextlib.nullcontext),
            )
            async with trio.open_nursery() as nursery:
                urls = await nursery.start(serve)
                await trio.sleep(SETTLE_SECONDS)
                before = trio.lowlevel.current_statistics().tasks_living
                stream = await trio.open_tcp_stream("127.0.0.1", int(urls[0].rpartition(":")[2]))
                request = head + b"\r\nHost: h\r\nAttempt-Id: r1\r\n\r\n"
                received, is_reset = b"", False
                with trio.fail_after(3.0):
                    await stream.send_all(request if delay else request + behind)
                    if delay:
                        await trio.sleep(delay)
                        await stream.send_all(behind)
                    try:
                        while data := await stream.receive_some():
                            received += data
                    except trio.BrokenResourceError:
                        is_reset = True
                await stream.aclose()
                await trio.sleep(SETTLE_SECONDS)
                left = trio.lowlevel.current_statistics().tasks_living - before
                nursery.cancel_scope.cancel()
            return received, is_reset, left

        return trio.run(main)

    # The task of a connection stayed for ever: it waited for the end of an answer that was cut off.
    def test_no_task_is_left_by_a_cut_answer_to_a_client_that_has_sent_its_next_request(self):
        received, _, left = self.exchange(b"GET /r1 HTTP/1.1", NEXT, cut_after=3)
        self.assertFalse(received.endswith(b"0\r\n\r\n"))
        self.assertEqual(left, 0)

    # A client got a success whose body was cut short and ended as a whole one of HTTP/1.0 does.
    def test_an_answer_is_whole_or_reset_if_its_client_sends_bytes_while_it_is_sent(self):
        for behind in SURPLUS:
            for cut_after in (PARTS, 3):
                with self.subTest(behind=behind, cut_after=cut_after):
                    received, is_reset, left = self.exchange(
                        LAST_REQUESTS[0], behind, delay=3 * PAUSE_SECONDS, cut_after=cut_after
                    )
                    is_whole = received.endswith(b"\r\n\r\n" + PART * PARTS)
                    self.assertEqual((is_whole, is_reset), (cut_after == PARTS, cut_after != PARTS))
                    self.assertEqual(left, 0)

    # A client got 400 as the answer to its last request, which was run.
    def test_the_last_request_of_a_connection_gets_its_own_answer_whatever_comes_behind_it(self):
        for head in LAST_REQUESTS:
            for behind in SURPLUS:
                with self.subTest(head=head, behind=behind):
                    received, is_reset, left = self.exchange(head, behind)
                    self.assertEqual(received[9:12], b"200")
                    self.assertEqual(received.count(PART), PARTS)
                    self.assertEqual((is_reset, left), (False, 0))
