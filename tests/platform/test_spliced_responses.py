"""Heads that are put together from two responses are rejected."""

import unittest

import h11
import httpcore

from hopstep.platform.spliced_responses import SplicedBodyScanner, require_single_head


def head(headers: list[tuple[str, str]], reason: bytes = b"OK") -> h11.Response:
    return h11.Response(status_code=200, headers=headers, reason=reason)


class ResponseHeadsTest(unittest.TestCase):
    def test_a_head_of_one_response_is_accepted(self):
        require_single_head(head([("Attempt-Id", "r1"), ("Via", "HTTP/1.1 gateway"), ("X", "a")]))

    # Each answer with such a header failed as if it were put together from two.
    def test_an_address_of_a_proxy_in_a_header_is_no_status_line(self):
        for value in ("HTTP/1.1 192.168.4.7:8080 (proxy)", "HTTP/1.1 100host, HTTP/1.0 10.0.0.1"):
            with self.subTest(value):
                require_single_head(head([("Attempt-Id", "r1"), ("Via", value)]))

    def test_a_status_line_without_a_reason_within_a_head_is_rejected(self):
        for value in ("sHTTP/1.1 500", "sHTTP/1.1 500 ", "sHTTP/1.1 500\tX"):
            with self.subTest(value), self.assertRaises(httpcore.RemoteProtocolError):
                require_single_head(h11.Response(status_code=200, headers=[], reason=value))

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


class SplicedBodyScannerTest(unittest.TestCase):
    def is_spliced(self, parts: list[bytes], surplus: bytes) -> bool:
        scanner = SplicedBodyScanner()
        for part in parts:
            scanner.feed(part)
        return scanner.is_spliced(surplus)

    # A body that broke off was completed by the first bytes of the answer behind it.
    def test_a_status_line_that_begins_in_the_body_shows_another_response(self):
        other = b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
        for missing in range(1, len(other)):
            with self.subTest(missing):
                body = b"part" + other[:missing]
                parts = [body[start : start + 5] for start in range(0, len(body), 5)]
                self.assertTrue(self.is_spliced(parts, other[missing:]))

    def test_a_copy_behind_a_whole_body_is_no_part_of_it(self):
        self.assertFalse(self.is_spliced([b"whole"], b"HTTP/1.1 200 OK\r\n\r\n"))

    def test_a_status_line_as_content_is_accepted(self):
        self.assertFalse(self.is_spliced([b"The answer was HTTP/1.1 500", b" X."], b""))
