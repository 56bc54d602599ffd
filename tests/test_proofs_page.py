"""The page of proofs names tests that exist."""

import re
import unittest
from pathlib import Path

PAGE = Path(__file__).resolve().parent.parent / "docs" / "PROOFS.md"
NAME = re.compile(r"`(tests\.[\w.]+)`")


def count_tests(name):
    loader = unittest.TestLoader()
    suite = loader.loadTestsFromName(name)
    return 0 if loader.errors else suite.countTestCases()


class ProofsPageTest(unittest.TestCase):
    def test_every_named_test_exists(self):
        names = [name for name in NAME.findall(PAGE.read_text()) if name.count(".") > 1]
        self.assertGreater(len(names), 30)
        for name in names:
            with self.subTest(name=name):
                self.assertGreater(count_tests(name), 0)

    def test_a_name_that_does_not_exist_is_seen(self):
        self.assertEqual(
            count_tests("tests.domain.limits.test_limits_stateful.LimitsTest.test_no"), 0
        )
