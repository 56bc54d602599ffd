import unittest

from hopstep.domain.quarantine.fingerprint import FINGERPRINT_BYTES, request_fingerprint


class RequestFingerprintTest(unittest.TestCase):
    def test_equal_requests_of_one_caller_share_it(self):
        first = request_fingerprint("t1", b"/a/x?q=1", b"body")
        self.assertEqual(first, request_fingerprint("t1", b"/a/x?q=1", b"body"))
        self.assertEqual(len(first), FINGERPRINT_BYTES)

    def test_another_caller_path_or_body_makes_another_one(self):
        requests = [
            ("t1", b"/a/x", b"body"),
            ("t2", b"/a/x", b"body"),
            ("", b"/a/x", b"body"),
            ("t1", b"/a/x?q", b"body"),
            ("t1", b"/a/xb", b"ody"),
            ("t1/a", b"/x", b"body"),
            ("t1", b"/a/x", b""),
        ]
        self.assertEqual(len({request_fingerprint(*request) for request in requests}), 7)
