"""Sums of usage reports: a relay has to see all that the nodes of its group want."""

import unittest

from hopstep.domain.limits.fleet_usage import (
    MAX_FRESH_AGE_SECONDS,
    NodeProcess,
    Usage,
    UsageReport,
    UsageReports,
)


class UsageReportsTest(unittest.TestCase):
    def test_the_sum_has_expected_requests_while_their_reports_are_fresh(self):
        """Otherwise nodes that only expect requests get no permits for a limited instance."""
        reports = UsageReports(window_seconds=4.0)
        for node, expected in (("a", 1), ("b", 2)):
            report = UsageReport((Usage("i", 5, 0, expected),))
            reports.take(NodeProcess(node, b"k"), report, 0.0)
        self.assertEqual(reports.sum(0.1).usage, (Usage("i", 10, 0, 3),))
        later = reports.sum(MAX_FRESH_AGE_SECONDS + 0.2)
        self.assertEqual((later.usage, later.nodes), ((Usage("i", 10, 0, 0),), 0))
