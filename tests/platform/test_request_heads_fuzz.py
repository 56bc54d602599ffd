"""Any value of any header that clients of a node's door send is read, or refused by its name."""

import gc
import time
import unittest

import hypothesis
from hypothesis import strategies

from hopstep.domain.head_numbers import MAX_EVENT_NUMBER, MAX_TOKENS, whole_number
from hopstep.exceptions import ErrorCode, ValidationError
from hopstep.platform import names
from hopstep.platform.request_heads import read_head
from tests import fuzz_settings

LONGEST_SECONDS = 0.01
TRIES = 3
"""Tries of one example: a value that takes long does so each time, a machine under load doesn't."""

MAX_HEAD_BYTES = 16 * 1024
HEADERS = (
    names.REQUEST_ID,
    names.DEADLINE,
    names.PROMPT_SEGMENTS,
    names.LAST_EVENT,
    names.RESUMES,
    names.MODEL,
    names.TOKEN_USAGE,
    names.LENGTH_HINT,
    names.API_KEY,
    b"connection",
    b"content-length",
    b"host",
)
REFUSED_BY_NAME = {"Attempt-Id", "Deadline-Ms", "Prompt-Prefix", "Last-Event-Id", "Token-Usage"}
DIGITS = (1, 10, 20, 21, 400, 4_300, 4_301, 16_000)
"""Digits of numbers, at and beyond what floats and conversion to integers take."""

WORDS = (b"nan", b"-inf", b"inf", b"1e308", b"1_000", b"-5", b"+5", b"0x1f", b"\xb2", b"\xa05")

numbers = strategies.sampled_from(DIGITS).map(lambda digits: b"9" * digits)
ordinary = strategies.integers(min_value=-1, max_value=MAX_TOKENS + 1).map(lambda n: b"%d" % n)
texts = strategies.binary(max_size=200).map(lambda data: data.translate(None, b"\x00\r\n"))
elements = strategies.one_of(numbers, ordinary, texts, strategies.sampled_from(WORDS))
segments = strategies.builds(lambda name, size: name + b":" + size, texts, elements)
lists = strategies.lists(strategies.one_of(elements, segments), max_size=50).map(b",".join)
values = strategies.one_of(elements, segments, lists).map(lambda value: value[:MAX_HEAD_BYTES])
heads = strategies.lists(strategies.tuples(strategies.sampled_from(HEADERS), values), max_size=8)


def read(headers):
    """Return the head of a request and the least processor time in which it was read."""
    scope = {
        "type": "http",
        "method": "POST",
        "raw_path": b"/p/x",
        "query_string": b"",
        "headers": headers,
    }
    least = float("inf")
    for _ in range(TRIES):
        began_at = time.thread_time()
        head = read_head(scope, 0.0)
        least = min(least, time.thread_time() - began_at)
        if least < LONGEST_SECONDS:
            break
    return head, least


class RequestHeadsFuzzTest(unittest.TestCase):
    def setUp(self):
        gc.disable()
        self.addCleanup(gc.enable)

    def check(self, headers):
        """Check that a head is read in time, and what it holds if it isn't refused."""
        head, seconds = read(headers)
        self.assertLess(seconds, LONGEST_SECONDS)
        if head.error is not None:
            self.assertIsInstance(head.error, ValidationError)
            self.assertEqual(head.error.code, ErrorCode.MALFORMED_REQUEST)
            self.assertIn(head.error.field, REFUSED_BY_NAME)
            return
        self.assertTrue(head.request_id)
        timeout = head.client_timeout_seconds
        self.assertTrue(timeout is None or timeout - timeout == 0, timeout)
        self.assertLessEqual(head.usage_tokens or 0, 2 * MAX_TOKENS)
        if head.prompt is not None:
            self.assertLessEqual(head.prompt.expected_answer_tokens, MAX_TOKENS)
            for segment in head.prompt.segments:
                self.assertTrue(0 <= segment.tokens <= MAX_TOKENS)
        if head.resume_after.isdecimal():
            self.assertIsNotNone(whole_number(head.resume_after, MAX_EVENT_NUMBER))

    def test_no_head_escapes_but_as_a_refusal(self):
        # Numbers of thousands of digits, "nan" and the like ended the request with 500 or 502.
        @fuzz_settings.settings(base_examples=300)
        @hypothesis.given(heads)
        def check(headers):
            self.check([(b"attempt-id", b"r1"), *headers])

        check()

    def test_no_value_of_one_header_escapes_but_as_a_refusal(self):
        # A header that is refused hides the ones behind it, so that each is also tried alone.
        @fuzz_settings.settings(base_examples=300)
        @hypothesis.given(strategies.sampled_from(HEADERS[1:]), values)
        def check(name, value):
            self.check([(b"attempt-id", b"r1"), (b"model", b"m"), (name, value)])

        check()


if __name__ == "__main__":
    unittest.main()
