"""Requests as they are sent over a connection to an instance."""

import unittest

import httpcore

from hopstep.domain.connection_reuse import SentIdentifiers
from hopstep.platform.http_call import HttpCall
from hopstep.platform.http_protocol import HttpProtocol


class EncodeRequestTest(unittest.TestCase):
    # A node held each long body twice while it was sent.
    def test_a_body_is_sent_without_a_copy(self):
        body = b"x" * 100_000
        headers = [(b"host", b"h"), (b"content-length", b"%d" % len(body))]
        protocol = HttpProtocol(lambda _seconds: None, SentIdentifiers(), lambda: None)
        call = HttpCall("10.0.0.1:80", b"POST", b"/a", tuple(headers), body)
        request = httpcore.Request(b"POST", "http://10.0.0.1/a", headers=headers)
        head, sent = protocol.encode_request(request, call)
        self.assertTrue(head.startswith(b"POST /a HTTP/1.1\r\n"))
        self.assertIs(sent, body)
