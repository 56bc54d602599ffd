"""The parsed limit of each kind of header value."""

import unittest

from hopstep.domain.limit_header import MAX_PER_SECOND, limit_per_second

MEANINGS = (
    (("1.5",), 1.5),
    (("0",), 0.0),
    (("0.0",), 0.0),
    ((".3",), 0.3),
    (("7.",), 7.0),
    (("9" * 400,), MAX_PER_SECOND),
    (("4", "1.5"), 1.5),
    (("4, 1.5",), 1.5),
    (("-1",), None),
    (("+1",), None),
    (("1e3",), None),
    (("nan",), None),
    (("inf",), None),
    (("",), None),
    (("4,",), None),
    (("two",), None),
    (("1.5 per second",), None),
    (("4", "two"), None),
    (("\u0661",), None),
)


class LimitHeaderTest(unittest.TestCase):
    def test_each_value_has_one_meaning(self):
        for values, expected in MEANINGS:
            with self.subTest(values=values):
                self.assertEqual(limit_per_second(values), expected)
