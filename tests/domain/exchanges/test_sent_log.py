"""Each reader gets the items of others once; the newest are kept."""

import unittest

from hopstep.domain.exchanges.sent_log import MAX_KEPT, SentLog


class SentLogTest(unittest.TestCase):
    def test_a_reader_gets_the_items_of_others_since_its_position(self):
        log = SentLog("l")
        _, position = log.after("", 0, "a", 10)
        for origin, item in (("a", 1), ("b", 2), ("c", 3)):
            log.append(origin, item)
        items, position = log.after("l", position, "a", 10)
        self.assertEqual(items, (2, 3))
        self.assertEqual(log.after("l", position, "a", 10)[0], ())

    def test_positions_of_another_log_are_ignored(self):
        log = SentLog("l")
        log.append("b", 1)
        self.assertEqual(log.after("other", 0, "a", 10), ((), 1))

    def test_the_newest_are_returned_when_there_are_too_many(self):
        log = SentLog("l")
        for number in range(MAX_KEPT + 50):
            log.append("b", number)
        items, position = log.after("l", 0, "a", 5)
        self.assertEqual(items, tuple(range(MAX_KEPT + 45, MAX_KEPT + 50)))
        self.assertEqual(position, MAX_KEPT + 50)
