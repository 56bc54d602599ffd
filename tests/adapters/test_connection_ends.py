"""How the server ends the connections of its clients, with real sockets."""

import contextlib
import functools
import os
import socket
import unittest
from unittest import mock

import trio
from hypercorn.trio.tcp_server import TCPServer

from hopstep.adapters import http_server
from hopstep.adapters.http1_only import speak_http1_only
from hopstep.adapters.http_server import ServerConfig, serve_app
from hopstep.adapters.tracked_connection import LINGER_SECONDS, track_connections

REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
UPLOAD_HEAD = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n"
NEXT_BYTES = bytes(1_000_000)
"""More than the server reads at once, so that a part of it stays in the buffer of its kernel."""

LONG_BODY_BYTES = 300_000
"""More than the small receive buffer of the client holds."""

SHORT_BODY = b"the answer"
IDLE_SECONDS = 0.3
SETTLED_SECONDS = 0.05
"""Time after which the server's connection is idle again."""

RECEIVE_BUFFER_BYTES = 16_384
READ_BYTES = 16_384
READ_PAUSE_SECONDS = 0.002
TIMEOUT_SECONDS = 5.0


class ServedCase(unittest.TestCase):
    """Runs a script with one connection to a server; has no tests of its own."""

    def run_client(self, script, answer):
        """Return what a script returns that gets a connection, and the event that stops the server.

        Args:
            script: Called with the client's stream and the event that begins the server's stop.
            answer: Called with a request's scope and the server's callables to receive and to send.
        """

        async def serve_request(scope, receive, send):
            if scope["type"] == "lifespan":
                for _ in range(2):
                    message = await receive()
                    await send({"type": f"{message['type']}.complete"})
                return
            await answer(scope, receive, send)

        async def main():
            speak_http1_only()
            stopped = trio.Event()
            serve = functools.partial(
                serve_app,
                serve_request,
                ServerConfig("127.0.0.1:0", None),
                stopped.wait,
                open_connection=track_connections(contextlib.nullcontext),
            )
            with trio.fail_after(2 * TIMEOUT_SECONDS):
                async with trio.open_nursery() as nursery:
                    urls = await nursery.start(serve)
                    stream = await open_slow_stream(int(urls[0].rpartition(":")[2]))
                    async with stream:
                        result = await script(stream, stopped)
                    stopped.set()
            return result

        return trio.run(main)


async def open_slow_stream(port):
    """Return a connection whose receive buffer is small."""
    opened = trio.socket.socket()
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    await opened.connect(("127.0.0.1", port))
    return trio.SocketStream(opened)


async def send_all(stream, data):
    """Send bytes as far as the server takes them."""
    with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
        await stream.send_all(data)


async def send_pieces(stream, head, data):
    """Send a head, and then pieces of a body as long as the server takes them."""
    await send_all(stream, head)
    for start in range(0, len(data), READ_BYTES):
        await send_all(stream, data[start : start + READ_BYTES])
        await trio.sleep(READ_PAUSE_SECONDS)


async def read_slowly(stream):
    """Return the bytes that come until the end of the connection, and whether it was reset."""
    received = b""
    with trio.fail_after(TIMEOUT_SECONDS):
        while True:
            try:
                data = await stream.receive_some(READ_BYTES)
            except trio.BrokenResourceError:
                return received, True
            if not data:
                return received, False
            received += data
            await trio.sleep(READ_PAUSE_SECONDS)


async def take_all(receive):
    """Take what the server has read until the connection ends, as the front end does."""
    while (await receive())["type"] == "http.request":
        pass


async def answer_and_close(_scope, receive, send):
    """Answer with a long body and say that the connection closes."""
    headers = [(b"content-length", str(LONG_BODY_BYTES).encode()), (b"connection", b"close")]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(take_all, receive)
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        await send({"type": "http.response.body", "body": bytes(LONG_BODY_BYTES)})
        nursery.cancel_scope.cancel()


async def answer_long(_scope, receive, send):
    """Answer with a long body, and keep the connection."""
    headers = [(b"content-length", str(LONG_BODY_BYTES).encode())]
    await receive()
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    await send({"type": "http.response.body", "body": bytes(LONG_BODY_BYTES)})


class LastAnswerTest(ServedCase):
    def read_beside(self, send_requests, answer=answer_and_close):
        """Return the bytes of the answer's body that come while the client sends, and a reset."""

        async def script(stream, stopped):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(send_requests, stream, stopped)
                received, is_reset = await read_slowly(stream)
                nursery.cancel_scope.cancel()
            return len(received.partition(b"\r\n\r\n")[2]), is_reset

        return self.run_client(script, answer)

    def test_a_next_request_that_comes_before_the_close_destroys_no_answer(self):
        # Closing with unread bytes resets the connection, and what the client hasn't read is lost.
        async def send_both(stream, _stopped):
            await send_all(stream, REQUEST + UPLOAD_HEAD + NEXT_BYTES)

        self.assertEqual(self.read_beside(send_both), (LONG_BODY_BYTES, False))

    def test_an_answer_before_the_end_of_its_requests_body_arrives_whole(self):
        # A refusal closed the connection while the client was still sending.
        async def send_body(stream, _stopped):
            await send_pieces(stream, UPLOAD_HEAD, NEXT_BYTES)

        self.assertEqual(self.read_beside(send_body), (LONG_BODY_BYTES, False))

    def test_the_end_of_a_stop_destroys_no_answer_that_is_still_read(self):
        # The connection counted as idle, as its answer was in the buffer of the kernel.
        async def send_behind(stream, stopped):
            await send_all(stream, REQUEST)
            await trio.sleep(READ_PAUSE_SECONDS)
            stopped.set()
            await send_pieces(stream, UPLOAD_HEAD, NEXT_BYTES)

        self.assertEqual(self.read_beside(send_behind, answer_long), (LONG_BODY_BYTES, False))

    def test_a_client_that_does_not_close_is_closed_after_the_linger_time(self):
        async def script(stream, _stopped):
            await stream.send_all(REQUEST)
            await read_slowly(stream)
            ended_at = trio.current_time()
            with contextlib.suppress(trio.BrokenResourceError):
                while True:
                    await stream.send_all(b"more")
                    await trio.sleep(READ_PAUSE_SECONDS)
            return trio.current_time() - ended_at

        seconds = self.run_client(script, answer_and_close)
        self.assertLess(seconds, 2 * LINGER_SECONDS)
        self.assertGreater(seconds, LINGER_SECONDS / 2)


async def answer_short(_scope, receive, send):
    """Answer at once, and keep the connection."""
    await receive()
    headers = [(b"content-length", str(len(SHORT_BODY)).encode())]
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    await send({"type": "http.response.body", "body": SHORT_BODY})


class IdleCloseTest(ServedCase):
    def read_when_closed(self, late_bytes, keep_alive_seconds):
        """Return what comes when bytes arrive just before the server closes an idle connection."""

        async def script(stream, stopped):
            close = TCPServer._initiate_server_close
            is_sent = False

            async def close_late(server):
                nonlocal is_sent
                if not is_sent:
                    is_sent = True
                    os.write(stream.socket.fileno(), late_bytes)
                await close(server)

            with mock.patch.object(TCPServer, "_initiate_server_close", close_late):
                await stream.send_all(REQUEST)
                received = await stream.receive_some()
                await trio.sleep(SETTLED_SECONDS)
                if keep_alive_seconds is None:
                    stopped.set()
                rest, is_reset = await read_slowly(stream)
            self.assertTrue(is_sent)
            return (received + rest).count(SHORT_BODY), is_reset

        with mock.patch.object(http_server, "KEEP_ALIVE_SECONDS", keep_alive_seconds or 60.0):
            return self.run_client(script, answer_short)

    def test_a_request_that_comes_as_a_stop_closes_its_connection_is_answered(self):
        # It was in the buffer of the kernel, unread, and no line of the log named it.
        self.assertEqual(self.read_when_closed(REQUEST, None), (2, False))

    def test_a_request_that_comes_as_the_idle_time_ends_is_answered(self):
        # The same as at a stop, at any time of a node's life.
        self.assertEqual(self.read_when_closed(REQUEST, IDLE_SECONDS), (2, False))

    def test_a_head_that_begins_as_the_idle_time_ends_keeps_no_connection_open(self):
        # A connection that isn't closed for its unread bytes has to get its idle timer again.
        self.assertEqual(self.read_when_closed(REQUEST[:9], IDLE_SECONDS)[0], 1)


if __name__ == "__main__":
    unittest.main()
