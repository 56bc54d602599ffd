"""The limits on time without answers leave enough of the bound for a change to arrive."""

import unittest

from hopstep.domain.exchanges.freshness import (
    ANSWER_SLACK_SECONDS,
    MAX_ANSWER_INTERVAL_SECONDS,
    freshness_limits,
)

BOUNDS = (2.0, 3.0, 4.0, 30.0)
CALL_SECONDS = 0.25
"""Time for a check of the last answer, a new connection and an answer of the store."""


class FreshnessLimitsTest(unittest.TestCase):
    def test_a_call_after_the_last_limit_is_answered_within_the_bound(self):
        for bound in BOUNDS:
            self.assertLess(freshness_limits(bound).own_reading + CALL_SECONDS, bound)

    def test_a_loss_is_noticed_before_a_node_stops_relying_on_others(self):
        for bound in BOUNDS:
            limits = freshness_limits(bound)
            self.assertLess(limits.answer_interval + ANSWER_SLACK_SECONDS / 2, limits.silence)
            self.assertLess(limits.silence, limits.own_reading)

    def test_a_looser_bound_makes_nothing_tighter(self):
        limits = [freshness_limits(bound) for bound in BOUNDS]
        for tight, loose in zip(limits, limits[1:], strict=False):
            self.assertLessEqual(tight.answer_interval, loose.answer_interval)
            self.assertLessEqual(tight.silence, loose.silence)
            self.assertLess(tight.own_reading, loose.own_reading)

    def test_a_view_is_recent_enough_for_sending_unless_a_reading_is_missed(self):
        for bound in BOUNDS:
            limits = freshness_limits(bound)
            self.assertLess(2 * limits.answer_interval + CALL_SECONDS, limits.sending_age)
            self.assertLess(limits.sending_age, bound)

    def test_keys_age_by_the_interval_and_so_it_is_bounded(self):
        self.assertEqual(freshness_limits(30.0).answer_interval, MAX_ANSWER_INTERVAL_SECONDS)
