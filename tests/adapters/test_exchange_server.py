"""Tracked connections of the server for clients, with real sockets."""

import contextlib
import functools
import unittest
from unittest import mock

import hypercorn.protocol
import trio

from hopstep.adapters.exchange_server import (
    ListenerSwitch,
    OperatorListeners,
    track_connections,
)
from hopstep.adapters.http1_only import Http1OnlyProtocol
from hopstep.adapters.http_server import ServerConfig, serve_app
from hopstep.ports.exchange_front import CONNECTION_STATE

LONG_RESPONSE = b"x" * 20_000_000
LENGTH_HEADERS = [(b"content-length", b"2")]
BODY_BYTES = 1_000_000
FILLED_SECONDS = 5.0
"""Time in which the kernel's buffers are full; bounds failures only."""

QUIET_SECONDS = 0.11
READ_BYTES = 65_536
"""Bytes that the server reads at a time."""


class TrackedConnectionTest(unittest.TestCase):
    async def wait_quiet(self, connection):
        """Wait until a write has made no progress for a while."""
        while True:
            quiet_at = connection.last_progress_at + QUIET_SECONDS
            if trio.current_time() >= quiet_at:
                return
            await trio.sleep_until(quiet_at)

    def test_disconnecting_ends_a_write_that_waits_for_its_client(self):
        """Guards against a client that reads nothing and holds a response for ever."""
        connections = []

        async def app(scope, receive, send):
            if scope["type"] == "lifespan":
                for _ in range(2):
                    message = await receive()
                    await send({"type": f"{message['type']}.complete"})
                return
            connections.append(scope["state"][CONNECTION_STATE])
            await send({"type": "http.response.start", "status": 200, "headers": []})
            await send({"type": "http.response.body", "body": LONG_RESPONSE})
            written.set()

        async def main():
            serve = functools.partial(
                serve_app, app, ServerConfig("127.0.0.1:0", None), stopped.wait
            )
            async with trio.open_nursery() as nursery:
                open_connection = track_connections(contextlib.nullcontext)
                serving = functools.partial(serve, open_connection=open_connection)
                urls = await nursery.start(serving)
                try:
                    stream = await trio.open_tcp_stream(
                        "127.0.0.1", int(urls[0].rpartition(":")[2])
                    )
                    await stream.send_all(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
                    await trio.sleep(0.3)
                    (connection,) = connections
                    with trio.fail_after(FILLED_SECONDS):
                        await self.wait_quiet(connection)
                    self.assertTrue(connection.is_writing and not written.is_set())
                    before = connection.last_progress_at
                    self.assertLess(before, trio.current_time() - 0.1)
                    await stream.receive_some(1_000_000)
                    await trio.sleep(0.1)
                    self.assertGreater(connection.last_progress_at, before)
                    connection.disconnect()
                    with trio.fail_after(1.0):
                        await written.wait()
                        with self.assertRaises(trio.BrokenResourceError):
                            while await stream.receive_some():
                                pass
                finally:
                    # A write that waits for its client outlasts a cancellation.
                    for connection in connections:
                        connection.disconnect()
                stopped.set()

        async def run():
            nonlocal written, stopped
            written, stopped = trio.Event(), trio.Event()
            await main()

        written = stopped = None
        trio.run(run)


class CountedHeadsTest(unittest.TestCase):
    """Guards against a drain that ends while the head of a request arrives."""

    def run_server(self, script):
        """Serve while ``script(stream)`` uses one connection; requests count by themselves."""

        async def app(scope, receive, send):
            self.served.append(scope["path"])
            self.began_at.append(scope["state"][CONNECTION_STATE].request_began_at)
            while (await receive())["more_body"]:
                pass
            await send({"type": "http.response.start", "status": 200, "headers": LENGTH_HEADERS})
            await send({"type": "http.response.body", "body": b"ok"})
            await self.linger.wait()

        async def main():
            self.linger = trio.Event()
            self.linger.set()
            operators = OperatorListeners("127.0.0.1:1", "", lambda: True, lambda: b"")
            serve = functools.partial(
                serve_app, ListenerSwitch(app, operators), ServerConfig("127.0.0.1:0", None)
            )
            open_connection = track_connections(self.count)
            async with trio.open_nursery() as nursery:
                urls = await nursery.start(
                    functools.partial(serve, trio.sleep_forever, open_connection=open_connection)
                )
                port = int(urls[0].rpartition(":")[2])
                with trio.fail_after(5.0):
                    async with await trio.open_tcp_stream("127.0.0.1", port) as stream:
                        await script(stream)
                    await self.settle(0)
                nursery.cancel_scope.cancel()

        self.active, self.served, self.began_at = 0, [], []
        trio.run(main)

    @contextlib.contextmanager
    def count(self):
        self.active += 1
        try:
            yield
        finally:
            self.active -= 1

    async def settle(self, active):
        """Wait until so many heads are counted."""
        while True:
            if self.active == active:
                return
            await trio.sleep(0.01)

    async def read_answer(self, stream):
        answer = b""
        while not answer.endswith(b"ok"):
            answer += await stream.receive_some()

    def test_a_head_counts_from_its_first_byte_until_it_is_read_or_its_connection_ends(self):
        async def script(stream):
            for _ in range(2):
                await stream.send_all(b"POST /a HTTP/1.1\r\n")
                await self.settle(1)
                await stream.send_all(b"Host: h\r\nContent-Length: 2\r\n\r\n")
                await self.settle(0)
                await stream.send_all(b"xy")
                await self.read_answer(stream)
                self.assertEqual(self.active, 0)
            await stream.send_all(b"POST /b")
            await self.settle(1)

        self.run_server(script)
        self.assertEqual(self.served, ["/a", "/a"])

    def test_a_request_begins_with_the_first_byte_of_its_head(self):
        """Guards against deadlines that count from the end of a head that came slowly."""

        async def script(stream):
            for _ in range(2):
                began_at = trio.current_time()
                await stream.send_all(b"GET /a HTTP/1.1\r\n")
                await trio.sleep(0.2)
                await stream.send_all(b"Host: h\r\n\r\n")
                await self.read_answer(stream)
                self.assertLess(self.began_at[-1] - began_at, 0.1)
                await trio.sleep(0.2)

        self.run_server(script)
        self.assertEqual(self.served, ["/a", "/a"])

    def test_a_request_that_comes_before_the_last_one_is_left_counts_nothing_twice(self):
        async def script(stream):
            self.linger = trio.Event()
            head = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n"
            for body in (b"xy", b"x"):
                await stream.send_all(head + body)
                if body == b"xy":
                    await self.read_answer(stream)
            await trio.sleep(0.1)
            self.assertEqual(self.served, ["/a", "/a"])
            self.linger.set()
            await trio.sleep(0.05)
            await stream.send_all(b"y")
            await self.read_answer(stream)
            self.assertEqual(self.active, 0)

        self.run_server(script)

    def test_bytes_that_are_no_request_count_until_their_connection_ends(self):
        async def script(stream):
            await stream.send_all(b"no request\r\n\r\n")
            while await stream.receive_some():
                pass
            await self.settle(0)

        self.run_server(script)
        self.assertEqual(self.served, [])


class HeadLimitTest(unittest.TestCase):
    def test_a_limit_on_heads_is_followed_on_open_connections_too(self):
        """Guards against heads that are refused above the library's own limit, or allowed."""
        limits, statuses = [16_384], []

        async def app(scope, receive, send):
            if scope["type"] == "lifespan":
                for _ in range(2):
                    message = await receive()
                    await send({"type": f"{message['type']}.complete"})
                return
            while (await receive())["more_body"]:
                pass
            await send({"type": "http.response.start", "status": 200, "headers": LENGTH_HEADERS})
            await send({"type": "http.response.body", "body": b"ok"})

        async def send_head(stream, size):
            await stream.send_all(b"GET / HTTP/1.1\r\nHost: h\r\nX-Long: ")
            for _ in range(4):
                await stream.send_all(b"x" * (size // 4))
                await trio.sleep(0.02)
            if size < limits[-1]:
                await stream.send_all(b"\r\n\r\n")
            answer = await stream.receive_some()
            while answer.startswith(b"HTTP/1.1 200") and not answer.endswith(b"ok"):
                answer += await stream.receive_some()
            statuses.append(int(answer[9:12]))

        async def main():
            config = ServerConfig("127.0.0.1:0", None, lambda: limits[-1])
            async with trio.open_nursery() as nursery:
                urls = await nursery.start(serve_app, app, config, trio.sleep_forever)
                port = int(urls[0].rpartition(":")[2])
                with trio.fail_after(5.0):
                    async with await trio.open_tcp_stream("127.0.0.1", port) as stream:
                        for limit, size in ((16_384, 12_000), (40_000, 30_000), (10_000, 12_000)):
                            limits.append(limit)
                            await send_head(stream, size)
                nursery.cancel_scope.cancel()

        with mock.patch.object(hypercorn.protocol, "H11Protocol", Http1OnlyProtocol):
            trio.run(main)
        self.assertEqual(statuses, [200, 200, 431])


class CountedStream:
    """A connection's stream that counts what was read from it."""

    def __init__(self, stream):
        self._stream, self.received = stream, 0

    async def receive_some(self, max_bytes):
        data = await self._stream.receive_some(max_bytes)
        self.received += len(data)
        return data

    def __getattr__(self, name):
        return getattr(self._stream, name)


class UnreadBodyTest(unittest.TestCase):
    def test_a_body_that_nobody_takes_yet_stays_with_its_client(self):
        """Guards against bodies that are held uncounted until the node's first reading."""
        streams, read = [], []

        async def app(scope, receive, send):
            if scope["type"] == "lifespan":
                for _ in range(2):
                    message = await receive()
                    await send({"type": f"{message['type']}.complete"})
                return
            await may_read.wait()
            message = await receive()
            while message["more_body"]:
                read.append(len(message["body"]))
                message = await receive()
            await send({"type": "http.response.start", "status": 200, "headers": LENGTH_HEADERS})
            await send({"type": "http.response.body", "body": b"ok"})

        def open_connection(stream, _state):
            streams.append(CountedStream(stream))
            return contextlib.nullcontext(streams[-1])

        async def main():
            nonlocal may_read
            may_read = trio.Event()
            config = ServerConfig("127.0.0.1:0", None)
            serve = functools.partial(serve_app, open_connection=open_connection)
            async with trio.open_nursery() as nursery:
                urls = await nursery.start(serve, app, config, trio.sleep_forever)
                stream = await trio.open_tcp_stream("127.0.0.1", int(urls[0].rpartition(":")[2]))
                head = f"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
                nursery.start_soon(stream.send_all, head.encode() + b"x" * BODY_BYTES)
                await trio.sleep(0.3)
                self.assertLessEqual(streams[0].received, 3 * READ_BYTES)
                may_read.set()
                with trio.fail_after(5.0):
                    self.assertTrue((await stream.receive_some()).startswith(b"HTTP/1.1 200"))
                nursery.cancel_scope.cancel()

        may_read = None
        trio.run(main)
        self.assertEqual(sum(read), BODY_BYTES)


if __name__ == "__main__":
    unittest.main()
