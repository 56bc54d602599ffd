"""Any value of any header of the OpenAI-style interface is read, or refused by a client's error."""

import unittest

import hypothesis
import trio
from hypothesis import strategies

from emulator.virtual_time import run_in_virtual_time
from tests import fuzz_settings
from tests.adapters.http_api.harness import KEY, Harness

FIRST_SERVER_ERROR = 500
HEADERS = (
    b"authorization",
    b"content-length",
    b"content-type",
    b"idempotency-key",
    b"x-hopstep-class",
    b"call-id",
    b"expect",
    b"host",
)
BODY = b'{"model": "small", "prompt": "hello"}'
DIGITS = (1, 10, 20, 21, 400, 4_300, 4_301, 16_000)
"""Digits of numbers, at and beyond what floats and conversion to integers take."""

WORDS = (b"nan", b"-inf", b"inf", b"1e308", b"1_000", b"-5", b"+5", b"0x1f", b"\xb2", b"\xa05")

numbers = strategies.sampled_from(DIGITS).map(lambda digits: b"9" * digits)
texts = strategies.binary(max_size=200).map(lambda data: data.translate(None, b"\x00\r\n"))
values = strategies.one_of(numbers, texts, strategies.sampled_from(WORDS))
fields = strategies.tuples(strategies.sampled_from(HEADERS), values)
heads = strategies.one_of(
    strategies.lists(fields, min_size=1, max_size=1), strategies.lists(fields, max_size=3)
)


async def ask(harness, headers):
    """Return the status of the answer to a request with more headers."""
    sent = []
    messages = [{"type": "http.request", "body": BODY, "more_body": False}]

    async def receive():
        if not messages:
            await trio.sleep_forever()
        return messages.pop()

    async def send(message):
        sent.append(message)

    scope = {
        "type": "http",
        "asgi": {"version": "3.0"},
        "http_version": "1.1",
        "method": "POST",
        "scheme": "http",
        "path": "/v1/completions",
        "raw_path": b"/v1/completions",
        "query_string": b"",
        "root_path": "",
        "client": ("127.0.0.1", 5),
        "server": ("127.0.0.1", 6),
        "headers": [
            (b"host", b"h"),
            (b"authorization", b"Bearer " + KEY.encode()),
            (b"content-type", b"application/json"),
            *headers,
        ],
    }
    await harness.app.asgi_app(scope, receive, send)
    return sent[0]["status"]


class HeadsOfCallersFuzzTest(unittest.TestCase):
    def test_no_head_escapes_but_as_a_refusal(self):
        # A length of thousands of digits raised ValueError.
        @fuzz_settings.settings(base_examples=200)
        @hypothesis.given(heads)
        def check(headers):
            statuses = []

            async def main():
                async with trio.open_nursery() as nursery:
                    statuses.append(await ask(Harness(nursery), headers))
                    nursery.cancel_scope.cancel()

            run_in_virtual_time(main)
            self.assertLess(statuses[0], FIRST_SERVER_ERROR)

        check()


if __name__ == "__main__":
    unittest.main()
