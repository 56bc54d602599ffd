"""Clients that close their sending side, or all, after their request, with real sockets."""

import contextlib
import functools
import unittest

import trio

from hopstep.adapters.http1_only import speak_http1_only
from hopstep.adapters.http_server import ServerConfig, serve_app
from hopstep.adapters.tracked_connection import track_connections

STREAM_REQUEST = b"GET /stream HTTP/1.1\r\nHost: h\r\n\r\n"
STREAM_END = b"0\r\n\r\n"
REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
OLD_REQUEST = b"GET / HTTP/1.0\r\nHost: h\r\n\r\n"
PARTIAL_BODY = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nhalf"
INTERIM = b"HTTP/1.1 100 "
BODY = b"the answer"
WORK_SECONDS = 0.6
NOTICED_SECONDS = 0.2
PIECES = 6
PIECE_SECONDS = 0.1
LATE_SECONDS = 1.2
"""Time after which the first, frequent probes have ended."""

CANCEL_SECONDS = 0.5
"""Latest time after a client has left at which its request has to be cancelled."""

MAX_INTERIM = 5
"""Interim responses that widespread clients accept."""


class Application:
    """Answers after some time; notes which requests were answered or disconnected, and when."""

    def __init__(self, pieces=0, work_seconds=WORK_SECONDS):
        self.work_seconds = work_seconds
        self.answered = 0
        self.disconnected = []
        self.pieces = pieces

    async def __call__(self, scope, receive, send):
        if scope["type"] == "lifespan":
            for _ in range(2):
                message = await receive()
                await send({"type": f"{message['type']}.complete"})
            return
        message = await receive()
        while message.get("more_body"):
            message = await receive()
        if message["type"] == "http.disconnect":
            return
        before = len(self.disconnected)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.watch, receive, nursery.cancel_scope)
            if scope["path"] == "/stream":
                await self.stream(send)
            else:
                await trio.sleep(self.work_seconds)
            nursery.cancel_scope.cancel()
        if scope["path"] == "/stream":
            return
        if len(self.disconnected) == before:
            headers = [(b"content-length", str(len(BODY)).encode())]
            await send({"type": "http.response.start", "status": 200, "headers": headers})
            self.answered += 1
            await send({"type": "http.response.body", "body": BODY})

    async def stream(self, send):
        """Answer in pieces, after the last of which the stream is silent."""
        await send({"type": "http.response.start", "status": 200, "headers": []})
        for _ in range(self.pieces):
            await send({"type": "http.response.body", "body": BODY, "more_body": True})
            await trio.sleep(PIECE_SECONDS)
        if self.pieces < PIECES:
            await trio.sleep(2 * CANCEL_SECONDS)
        self.answered += 1
        await send({"type": "http.response.body", "body": b"", "more_body": False})

    async def watch(self, receive, scope):
        message = await receive()
        if message["type"] == "http.disconnect":
            self.disconnected.append(trio.current_time())
            scope.cancel()


class HalfClosedClientsTest(unittest.TestCase):
    def run_client(self, script, pieces=0, work_seconds=WORK_SECONDS):
        """Run a script with a client's connection; return the application and what it returns.

        Args:
            script: Called with the client's stream and the application.
            work_seconds: Time that each answer takes.
            pieces: Pieces of a stream before it is silent; it ends after all of them.
        """
        application = Application(pieces, work_seconds)

        async def main():
            speak_http1_only()
            stopped = trio.Event()
            serve = functools.partial(
                serve_app,
                application,
                ServerConfig("127.0.0.1:0", None),
                stopped.wait,
                open_connection=track_connections(contextlib.nullcontext),
            )
            async with trio.open_nursery() as nursery:
                urls = await nursery.start(serve)
                port = int(urls[0].rpartition(":")[2])
                async with await trio.open_tcp_stream("127.0.0.1", port) as stream:
                    result = await script(stream, application)
                stopped.set()
            return result

        return application, trio.run(main)

    async def read_all(self, stream):
        received = b""
        with trio.fail_after(2 * WORK_SECONDS + 1.0):
            while data := await stream.receive_some():
                received += data
        return received

    def test_a_half_closed_client_gets_its_answer_behind_few_interim_ones(self):
        async def script(stream, _application):
            await stream.send_all(REQUEST)
            await stream.send_eof()
            return await self.read_all(stream)

        _application, received = self.run_client(script)
        self.assertTrue(received.endswith(BODY), received)
        self.assertLessEqual(received.count(INTERIM), MAX_INTERIM)

    def test_two_requests_before_the_sending_side_closes_are_both_answered(self):
        async def script(stream, _application):
            await stream.send_all(2 * REQUEST)
            await stream.send_eof()
            return await self.read_all(stream)

        _application, received = self.run_client(script)
        self.assertEqual(received.count(BODY), 2)

    def test_a_client_that_closes_is_noticed_at_once(self):
        async def script(stream, application):
            await stream.send_all(REQUEST)
            await trio.sleep(NOTICED_SECONDS)
            await stream.aclose()
            closed_at = trio.current_time()
            await trio.sleep(NOTICED_SECONDS)
            return [at - closed_at for at in application.disconnected]

        application, delays = self.run_client(script)
        self.assertEqual(application.answered, 0)
        self.assertEqual(len(delays), 1)

    def test_a_client_that_half_closes_while_it_is_answered_gets_the_whole_answer(self):
        # Once the answer had begun, such a client was taken for one that has left.
        async def script(stream, _application):
            await stream.send_all(STREAM_REQUEST)
            received = await stream.receive_some()
            await stream.send_eof()
            return received + await self.read_all(stream)

        application, received = self.run_client(script, PIECES)
        self.assertTrue(received.endswith(STREAM_END), received)
        self.assertEqual((received.count(BODY), application.answered), (PIECES, 1))

    def test_a_client_that_closes_while_it_is_answered_is_noticed_in_time(self):
        # The answer's own writes tell of it, or a silence of them.
        async def script(stream, application):
            await stream.send_all(STREAM_REQUEST)
            await stream.receive_some()
            await trio.sleep(PIECE_SECONDS / 2)
            with trio.move_on_after(PIECE_SECONDS):
                await stream.receive_some()
            await stream.aclose()
            closed_at = trio.current_time()
            await trio.sleep(CANCEL_SECONDS)
            return [at - closed_at for at in application.disconnected]

        for pieces in (1, 2, 3, PIECES):
            with self.subTest(pieces=pieces):
                application, delays = self.run_client(script, pieces)
                self.assertEqual((application.answered, len(delays)), (0, 1))

    def check_noticed_late(self, reads_interim):
        """Check that a client that leaves long after its half-close is noticed."""

        async def script(stream, application):
            await stream.send_all(REQUEST)
            await stream.send_eof()
            with trio.move_on_after(LATE_SECONDS):
                while reads_interim:
                    await stream.receive_some()
                await trio.sleep_forever()
            await stream.aclose()
            closed_at = trio.current_time()
            await trio.sleep(CANCEL_SECONDS)
            return [at - closed_at for at in application.disconnected]

        application, delays = self.run_client(script, work_seconds=2.0 * LATE_SECONDS)
        self.assertEqual(application.answered, 0)
        self.assertEqual(len(delays), 1)

    def test_a_client_that_closes_some_time_after_its_sending_side_is_noticed(self):
        # No probe was sent by then, and nobody noticed the reset that arrived.
        self.check_noticed_late(reads_interim=False)

    def test_a_client_that_has_read_all_interim_answers_and_closes_is_noticed(self):
        # Its close sends no reset, so that its request went on to its end.
        self.check_noticed_late(reads_interim=True)

    def test_a_client_that_closes_behind_its_next_request_is_noticed_in_time(self):
        # Nothing is read behind a next request, so its client's end showed with the answer only.
        for request in (REQUEST, STREAM_REQUEST):

            async def script(stream, application, request=request):
                await stream.send_all(2 * request)
                if request == STREAM_REQUEST:
                    await stream.receive_some()
                    with trio.move_on_after(PIECE_SECONDS):
                        await stream.receive_some()
                await trio.sleep(PIECE_SECONDS / 2)
                await stream.aclose()
                await trio.sleep(CANCEL_SECONDS)
                return len(application.disconnected), application.answered

            with self.subTest(request=request):
                _application, found = self.run_client(script, pieces=1)
                self.assertEqual(found, (1, 0))

    def test_an_old_client_gets_no_interim_answer(self):
        # HTTP/1.0 has none, so such a client counts as one that has left.
        async def script(stream, application):
            await stream.send_all(OLD_REQUEST)
            await stream.send_eof()
            return await self.read_all(stream)

        application, received = self.run_client(script)
        self.assertEqual((received, application.answered), (b"", 0))

    def test_a_body_that_stops_midway_ends_its_request(self):
        async def script(stream, application):
            await stream.send_all(PARTIAL_BODY)
            await stream.send_eof()
            return await self.read_all(stream)

        application, _received = self.run_client(script)
        self.assertEqual(application.answered, 0)


if __name__ == "__main__":
    unittest.main()
