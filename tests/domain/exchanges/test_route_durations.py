"""The expected duration of a request follows from the longest one of the last minute."""

import math
import unittest

from hopstep.domain.exchanges.route_durations import (
    MIN_EXPECTED_SECONDS,
    PERIOD_SECONDS,
    SAFETY_FACTOR,
    RouteDurations,
)


class RouteDurationsTest(unittest.TestCase):
    def test_nothing_is_expected_of_a_route_without_requests(self):
        durations = RouteDurations()
        durations.note("other", 1.0, 0.0)
        self.assertEqual(durations.expected_seconds("r", 0.0), math.inf)

    def test_the_longest_duration_counts_through_this_period_and_the_next(self):
        durations = RouteDurations()
        durations.note("r", 2.0, 0.0)
        durations.note("r", 1.0, 1.0)
        for now in (1.0, PERIOD_SECONDS, 2 * PERIOD_SECONDS - 1):
            self.assertEqual(durations.expected_seconds("r", now), SAFETY_FACTOR * 2.0)
        self.assertEqual(durations.expected_seconds("r", 2 * PERIOD_SECONDS), math.inf)

    def test_a_shorter_one_counts_once_the_longest_is_old(self):
        durations = RouteDurations()
        durations.note("r", 5.0, 0.0)
        durations.note("r", 1.0, PERIOD_SECONDS + 1)
        self.assertEqual(durations.expected_seconds("r", PERIOD_SECONDS + 2), SAFETY_FACTOR * 5.0)
        later = 2 * PERIOD_SECONDS + 1
        self.assertEqual(durations.expected_seconds("r", later), SAFETY_FACTOR * 1.0)

    def test_very_short_requests_are_given_some_time(self):
        durations = RouteDurations()
        durations.note("r", 0.001, 0.0)
        self.assertEqual(durations.expected_seconds("r", 0.0), MIN_EXPECTED_SECONDS)
