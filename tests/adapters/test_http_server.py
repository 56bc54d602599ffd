"""A connection that fails ends alone: over real sockets, beside other requests and with a stop."""

import contextlib
import unittest

import structlog
import trio

from hopstep.adapters.http_server import serve_http

HEAD = {"type": "http.response.start", "status": 200, "headers": [(b"content-length", b"2")]}
BODY = {"type": "http.response.body", "body": b"ok", "more_body": False}
REQUEST = b"GET /%b HTTP/1.1\r\nHost: h\r\n\r\n"
PATIENCE_SECONDS = 5.0


class HttpServerTest(unittest.TestCase):
    def run_server(self, script):
        """Serve on a free port beside ``script(port)``; return the log."""

        async def main():
            self.go_on = trio.Event()
            self.stop = trio.Event()
            async with trio.open_nursery() as nursery:
                bound = await nursery.start(
                    serve_http, self.answer, "127.0.0.1:0", None, self.stop.wait
                )
                with trio.fail_after(PATIENCE_SECONDS):
                    await script(int(bound[0].rpartition(":")[2]))
                nursery.cancel_scope.cancel()

        with structlog.testing.capture_logs() as lines:
            trio.run(main)
        return lines

    async def answer(self, scope, receive, send):
        if scope["type"] == "lifespan":
            for kind in ("startup", "shutdown"):
                await receive()
                await send({"type": f"lifespan.{kind}.complete"})
            return
        match scope["path"]:
            case "/head-cancelled":
                await self.send_cancelled(send, HEAD)
            case "/body-cancelled":
                await send(HEAD)
                await self.send_cancelled(send, BODY)
            case "/raises":
                raise RuntimeError("a fault of the application")
            case "/slow":
                await self.go_on.wait()
                await self.send_whole(send)
            case _:
                await self.send_whole(send)

    async def send_whole(self, send):
        await send(HEAD)
        await send(BODY)

    async def send_cancelled(self, send, message):
        """Cancel the server's own step, after it has counted the message as sent."""
        with trio.CancelScope() as scope:
            scope.cancel()
            await send(message)

    async def ask(self, port, path):
        """Return all that comes back on a new connection until it ends or is whole."""
        stream = await trio.open_tcp_stream("127.0.0.1", port)
        received = b""
        async with stream:
            await stream.send_all(REQUEST % path)
            with contextlib.suppress(trio.BrokenResourceError):
                while not received.endswith(b"ok"):
                    data = await stream.receive_some()
                    if not data:
                        break
                    received += bytes(data)
        return received

    def check_alone(self, path):
        """Let one request fail; another under way, and later ones, must be served."""
        answers = {}

        async def script(port):
            async def slow():
                answers["slow"] = await self.ask(port, b"slow")

            async with trio.open_nursery() as nursery:
                nursery.start_soon(slow)
                await trio.sleep(0.05)
                answers["failed"] = await self.ask(port, path)
                answers["later"] = await self.ask(port, b"")
                self.go_on.set()

        lines = self.run_server(script)
        for name in ("slow", "later"):
            self.assertTrue(answers[name].endswith(b"ok"), name)
        self.assertFalse(answers["failed"].endswith(b"ok"))
        return lines

    def test_a_head_that_was_counted_and_not_sent_ends_its_own_connection_only(self):
        lines = self.check_alone(b"head-cancelled")
        failed = [line for line in lines if line["number"] == "HS2006"]
        self.assertEqual([line["error_type"] for line in failed], ["LocalProtocolError"])
        self.assertTrue(failed[0]["location"])

    def test_a_piece_that_was_counted_and_not_sent_ends_its_own_connection_only(self):
        self.check_alone(b"body-cancelled")

    def test_a_fault_of_the_application_ends_its_own_connection_only(self):
        self.check_alone(b"raises")

    def test_a_stop_lets_requests_end_and_closes_idle_connections(self):
        async def script(port):
            idle = await trio.open_tcp_stream("127.0.0.1", port)
            await idle.send_all(REQUEST % b"")
            received = b""
            while not received.endswith(b"ok"):
                received += bytes(await idle.receive_some())
            self.stop.set()
            self.assertEqual(await idle.receive_some(), b"")
            with self.assertRaises(OSError):
                await trio.open_tcp_stream("127.0.0.1", port)

        self.run_server(script)
