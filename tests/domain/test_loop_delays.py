"""The loop's delays are remembered for as long as a request may last, and small ones not at all."""

import unittest

from hopstep.domain.loop_delays import MIN_DELAY_SECONDS, REMEMBERED_SECONDS, LoopDelays


class LoopDelaysTest(unittest.TestCase):
    def test_the_longest_delay_that_ended_after_a_time_is_told(self):
        delays = LoopDelays()
        delays.note(1.0, 2.5)
        delays.note(3.0, 3.25)
        self.assertEqual(delays.longest_since(0.0), 1.5)
        self.assertEqual(delays.longest_since(2.5), 0.25)
        self.assertEqual(delays.longest_since(3.25), 0.0)

    def test_small_and_old_delays_are_not_remembered(self):
        delays = LoopDelays()
        delays.note(1.0, 1.0 + MIN_DELAY_SECONDS / 2)
        self.assertEqual(delays.longest_since(0.0), 0.0)
        delays.note(1.0, 2.0)
        delays.note(0.0, 2.0 + REMEMBERED_SECONDS)
        self.assertEqual(delays.longest_since(1.9), 2.0 + REMEMBERED_SECONDS)
        delays.note(3.0 + REMEMBERED_SECONDS, 3.0 + REMEMBERED_SECONDS)
        self.assertEqual(len(delays._delays), 1)
