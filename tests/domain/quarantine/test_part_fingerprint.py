import unittest

from hopstep.domain.quarantine.fingerprint import (
    is_part,
    part_fingerprint,
    request_fingerprint,
)


class PartFingerprintTest(unittest.TestCase):
    def test_equal_parts_of_one_group_have_the_same_and_others_another(self):
        digest = part_fingerprint("g", "a1")
        self.assertTrue(is_part(digest))
        self.assertFalse(is_part(request_fingerprint("g", b"a1", b"")))
        self.assertEqual(digest, part_fingerprint("g", "a1"))
        others = [
            part_fingerprint("", "a1"),
            part_fingerprint("g", "a2"),
            part_fingerprint("ga", "1"),
        ]
        self.assertEqual(len({digest, *others}), 4)
