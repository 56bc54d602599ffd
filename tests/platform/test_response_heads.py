"""Heads that are put together from two responses are rejected."""

import unittest

import h11
import httpcore

from hopstep.platform.response_heads import require_single_head


def head(headers: list[tuple[str, str]], reason: bytes = b"OK") -> h11.Response:
    return h11.Response(status_code=200, headers=headers, reason=reason)


class ResponseHeadsTest(unittest.TestCase):
    def test_a_head_of_one_response_is_accepted(self):
        require_single_head(head([("Attempt-Id", "r1"), ("Via", "HTTP/1.1 gateway"), ("X", "a")]))

    # An instance that began its answer again made a success of the failure that followed.
    def test_a_status_line_within_a_head_is_rejected(self):
        for response in (
            head([], reason=b"OHTTP/1.1 500 Internal Server Error"),
            head([("Attempt-Id", "r1"), ("Response-Stamp", "sHTTP/1.1 200 OK")]),
        ):
            with self.assertRaises(httpcore.RemoteProtocolError):
                require_single_head(response)

    # The last of two ids decided to which request the head belonged.
    def test_two_ids_or_signatures_are_rejected(self):
        for name in ("attempt-id", "Response-Stamp", "Not-Executed"):
            with self.subTest(name), self.assertRaises(httpcore.RemoteProtocolError):
                require_single_head(head([(name, "1"), (name.upper(), "2")]))
