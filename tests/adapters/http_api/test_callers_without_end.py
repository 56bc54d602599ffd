"""Callers of the OpenAI-style interface whose heads or bodies don't end, over sockets."""

import unittest

import trio

from hopstep.adapters.http_api.server import serve_api
from tests.adapters.http_api.harness import KEY, Harness
from tests.platform.endless_peers import (
    LONGEST_STEP_SECONDS,
    longest_step,
    receive_to_end,
    send_without_end,
    traced_peak,
)

MEBIBYTE = 1 << 20
ANSWER_SECONDS = 3.0
BODY_SECONDS = 0.4
LONG_BODY_SECONDS = 60.0
"""Time for a body where its size is to decide, however slowly it is read."""

DRIP_SECONDS = 0.05

HEAD = (
    b"POST /v1/completions HTTP/1.1\r\nHost: h\r\n"
    b"Authorization: Bearer " + KEY.encode() + b"\r\nContent-Type: application/json\r\n"
)
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
HEADS = {
    "a request line": (b"POST /", b"x", b"431"),
    "lines of a head": (HEAD, b"X-A: b\r\n", b"431"),
    "one header": (HEAD + b"X-A: ", b"b", b"431"),
    "garbage": (b"", b"\x00", b"400"),
}
BODIES = {
    "a body with a length": (HEAD + b"Content-Length: 1000000000000\r\n\r\n", b"x", b"413"),
    "large chunks": (CHUNKED, b"4000\r\n" + b"x" * 0x4000 + b"\r\n", b"413"),
    "small chunks": (CHUNKED, b"1\r\nx\r\n", b"413"),
}


class CallersWithoutEndTest(unittest.TestCase):
    def run_caller(self, beginning, repeated, *, drips=False, instruments=()):
        """Return the bytes that a caller gets until its connection ends."""
        received = b""

        pause_seconds = DRIP_SECONDS if drips else None

        async def main():
            nonlocal received
            async with trio.open_nursery() as nursery:
                app = Harness(nursery).app
                app.config["BODY_TIMEOUT"] = BODY_SECONDS if drips else LONG_BODY_SECONDS
                urls = await nursery.start(serve_api, app, "127.0.0.1:0", None, trio.sleep_forever)
                stream = await trio.open_tcp_stream("127.0.0.1", int(urls[0].rpartition(":")[2]))
                with trio.fail_after(ANSWER_SECONDS):
                    async with trio.open_nursery() as caller:
                        caller.start_soon(
                            send_without_end, stream, beginning, repeated, pause_seconds
                        )
                        received = await receive_to_end(stream)
                        caller.cancel_scope.cancel()
                await stream.aclose()
                nursery.cancel_scope.cancel()

        trio.run(main, instruments=instruments)
        return received

    def check(self, beginning, repeated, status, **options):
        """Check that the connection ends, with the status unless a reset has lost it."""
        with traced_peak() as peak:
            received = self.run_caller(beginning, repeated, **options)
            self.assertLess(peak(), 2 * MEBIBYTE)
        if received or options:
            self.assertEqual(received[9:12], status)

    def check_steps(self, cases):
        """Check that no step of a task takes long."""
        for name, (beginning, repeated, _status) in cases.items():

            def run(step, beginning=beginning, repeated=repeated):
                self.run_caller(beginning, repeated, instruments=[step])

            with self.subTest(name):
                self.assertLess(longest_step(run), LONGEST_STEP_SECONDS)

    def test_a_head_without_end_is_refused(self):
        """Guards against callers whose heads are kept without bound."""
        for name, case in HEADS.items():
            with self.subTest(name):
                self.check(*case)

    def test_a_head_without_end_does_not_stop_the_loop(self):
        """Guards against requests that wait while one caller's head is read."""
        self.check_steps(HEADS)

    def test_a_body_without_end_is_refused(self):
        """Guards against connections that stay open, and requests that wait, while callers send."""
        for name, case in BODIES.items():
            with self.subTest(name):
                self.check(*case)
        with self.subTest("a body that drips"):
            self.check(CHUNKED, b"1\r\nx\r\n", b"408", drips=True)
        self.check_steps({"steps": BODIES["small chunks"]})
