"""Numbers in the heads of callers of the OpenAI-style interface, over sockets."""

import unittest

import trio

from hopstep.adapters.http_api.server import serve_api
from tests.adapters.http_api.harness import KEY, MAX_BODY_BYTES, Harness, with_harness

ANSWER_SECONDS = 3.0
LONG_NUMBER = b"9" * 5_000
"""More digits than Python converts to an integer."""

BODY = b'{"model": "small", "prompt": "hello"}'


class HeadsOfCallersTest(unittest.TestCase):
    def send(self, *lengths):
        """Return the beginnings of the answers to requests that state these lengths."""
        answers = []

        async def main():
            async with trio.open_nursery() as nursery:
                app = Harness(nursery).app
                urls = await nursery.start(serve_api, app, "127.0.0.1:0", None, trio.sleep_forever)
                for length in lengths:
                    answers.append(await self.exchange(urls[0], length))
                nursery.cancel_scope.cancel()

        trio.run(main)
        return answers

    async def exchange(self, url, length):
        """Send a request that states a length, and return the beginning of its answer."""
        stream = await trio.open_tcp_stream("127.0.0.1", int(url.rpartition(":")[2]))
        async with stream:
            await stream.send_all(
                b"POST /v1/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer "
                + KEY.encode()
                + b"\r\nContent-Type: application/json\r\nContent-Length: "
                + length
                + b"\r\n\r\n"
                + BODY
            )
            with trio.fail_after(ANSWER_SECONDS):
                return bytes(await stream.receive_some())

    def test_a_length_that_cannot_be_meant_ends_nothing_but_its_connection(self):
        # Guards against lengths that end the task of a connection in place of being refused.
        odd = (LONG_NUMBER, b"9" * 400, b"0" * 5_000 + b"5", b"nan", b"-5", b"1_0")
        *refused, answered = self.send(*odd, str(len(BODY)).encode())
        for length, answer in zip(odd, refused, strict=True):
            with self.subTest(length[:20]):
                self.assertTrue(answer.startswith(b"HTTP/1.1 400"), answer)
        self.assertTrue(answered.startswith(b"HTTP/1.1 200"), answered)

    @with_harness
    async def test_a_length_of_thousands_of_digits_is_too_long_for_the_gate(self, harness):
        # The gate raised ValueError, which its server, another than the node's, might not expect.
        for length in (LONG_NUMBER, b"9" * 400, str(MAX_BODY_BYTES + 1).encode()):
            sent = []

            async def send(message, sent=sent):
                sent.append(message)

            headers = [
                (b"authorization", b"Bearer " + KEY.encode()),
                (b"content-length", length),
            ]
            scope = {"type": "http", "path": "/v1/completions", "headers": headers}
            await harness.app.asgi_app(scope, trio.sleep_forever, send)
            self.assertEqual(sent[0]["status"], 413)


if __name__ == "__main__":
    unittest.main()
