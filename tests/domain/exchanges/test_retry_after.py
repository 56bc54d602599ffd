"""When refused clients should retry, by what a node observes."""

import unittest

from hopstep.domain.exchanges.retry_after import (
    AT_ONCE_SECONDS,
    DEFAULT_SECONDS,
    MAX_SECONDS,
    QueueReturn,
    RefusalFacts,
    RetryReason,
    advise,
)
from hopstep.exceptions import ErrorCode


class RetryAfterTest(unittest.TestCase):
    def advice(self, code, draw=0.0, **facts):
        return advise(RefusalFacts(code, **facts), draw)

    def test_clients_of_a_stopping_or_isolated_node_go_to_another_node_at_once(self):
        for facts in (
            {"code": ErrorCode.STOPPING},
            {"code": ErrorCode.ISOLATED, "store_silence_seconds": 5.0},
            {"code": ErrorCode.NOT_READY},
        ):
            found = self.advice(**facts)
            self.assertEqual((found.reason, found.seconds), (RetryReason.OTHER_NODE, 0.03))

    def test_the_wait_in_a_store_outage_for_all_nodes_grows_with_its_duration(self):
        waits = [
            self.advice(
                ErrorCode.ISOLATED, others_answer=True, store_silence_seconds=silence
            ).seconds
            for silence in (1.0, 4.0, 100.0)
        ]
        self.assertEqual(waits, [DEFAULT_SECONDS, 1.0, MAX_SECONDS])

    def test_another_instance_that_is_free_goes_before_one_that_loads(self):
        found = self.advice(ErrorCode.OVERLOADED, other_instance=True, loading_seconds=0.7)
        self.assertEqual(found.reason, RetryReason.OTHER_INSTANCE)
        self.assertEqual(found.seconds, AT_ONCE_SECONDS)

    def test_the_end_of_a_load_is_waited_for(self):
        found = self.advice(ErrorCode.OVERLOADED, loading_seconds=0.7)
        self.assertEqual((found.reason, found.seconds), (RetryReason.LOADING, 0.7))

    def test_the_wait_for_expired_entries_is_short(self):
        for left, seconds in ((2.0, DEFAULT_SECONDS), (0.1, 0.1)):
            found = self.advice(ErrorCode.OVERLOADED, relisting_seconds=left)
            self.assertEqual((found.reason, found.seconds), (RetryReason.RELISTING, seconds))

    def test_without_any_observation_there_is_a_fixed_wait(self):
        self.assertEqual(self.advice(ErrorCode.OVERLOADED).seconds, DEFAULT_SECONDS)

    def test_clients_are_spread_more_after_more_equal_refusals(self):
        widths = [
            self.advice(ErrorCode.OVERLOADED, draw=1.0, recent_refusals=count).seconds
            - DEFAULT_SECONDS
            for count in (0, 5, 500)
        ]
        self.assertLess(widths[0], widths[1])
        self.assertLess(widths[1], widths[2])
        self.assertLessEqual(DEFAULT_SECONDS + widths[2], 2 * DEFAULT_SECONDS)

    def test_waits_stay_in_their_bounds(self):
        for code in ErrorCode:
            for draw in (0.0, 0.5, 1.0):
                for loading in (None, 0.0, 0.01, 9.0):
                    found = self.advice(code, draw, loading_seconds=loading, recent_refusals=50)
                    self.assertGreaterEqual(found.seconds, AT_ONCE_SECONDS)
                    self.assertLessEqual(found.seconds, MAX_SECONDS)

    def test_clients_of_a_full_queue_return_when_it_has_drained(self):
        for draw, seconds in ((0.0, 1.0), (1.0, 1.25)):
            found = self.advice(
                ErrorCode.OVERLOADED, draw, other_instance=True, queue_return=QueueReturn(1.0, 9.0)
            )
            self.assertEqual((found.reason, found.seconds), (RetryReason.QUEUE_FULL, seconds))

    def test_clients_of_a_full_queue_are_never_told_more_than_they_wait(self):
        for draw in (0.0, 0.5, 1.0):
            found = self.advice(ErrorCode.OVERLOADED, draw, queue_return=QueueReturn(60.0, 6.0))
            self.assertLessEqual(found.seconds, 2.0)
            self.assertGreaterEqual(found.seconds, 1.6)

    def test_a_node_that_stops_sends_clients_of_its_queue_elsewhere(self):
        found = self.advice(ErrorCode.STOPPING, queue_return=QueueReturn(1.0, 9.0))
        self.assertEqual(found.reason, RetryReason.OTHER_NODE)
