"""The parsed backoff of each kind of ``Retry-After`` value."""

import unittest

from hopstep.domain.retry_after_header import MAX_BACKOFF_SECONDS, backoff_seconds

DATE = "Thu, 03 Dec 2026 04:00:00 GMT"

CASES = (
    ("whole seconds", ["3"], 3.0),
    ("a fraction", ["0.25"], 0.25),
    ("a fraction without a digit before it", [".5"], 0.5),
    ("zero", ["0"], 0.0),
    ("negative", ["-3"], 0.0),
    ("empty", [""], 0.0),
    ("a word", ["soon"], 0.0),
    ("not a number", ["nan"], 0.0),
    ("infinite", ["inf"], 0.0),
    ("an exponent", ["1e3"], 0.0),
    ("very long", ["9" * 400], MAX_BACKOFF_SECONDS),
    ("longer than the bound", ["86400"], MAX_BACKOFF_SECONDS),
    ("two fields", ["2", "5"], 5.0),
    ("two fields, one invalid", ["x", "5"], 5.0),
    ("two values in one field", ["2, 5"], 5.0),
    ("a date", ["Thu, 03 Dec 2026 04:00:07 GMT"], 7.0),
    ("a date that is past", ["Thu, 03 Dec 2026 03:59:00 GMT"], 0.0),
    ("a date that isn't one", ["Thu, 99 Dec 2026 04:00:07 GMT"], 0.0),
    ("none", [], 0.0),
)


class BackoffSecondsTest(unittest.TestCase):
    def test_each_value_has_one_meaning(self):
        for name, values, expected in CASES:
            with self.subTest(name):
                self.assertAlmostEqual(backoff_seconds(values, DATE), expected)

    def test_a_date_without_the_date_of_its_response_is_ignored(self):
        self.assertEqual(backoff_seconds(["Thu, 03 Dec 2026 04:00:07 GMT"]), 0.0)

    def test_a_date_with_an_invalid_date_of_its_response_is_ignored(self):
        self.assertEqual(backoff_seconds(["Thu, 03 Dec 2026 04:00:07 GMT"], "today"), 0.0)
