"""Which of several responses determines the current limit."""

import unittest

from hopstep.domain.instance_limit import NO_LIMIT, HeadTimes, InstanceLimit
from hopstep.domain.instance_notices import AnswerKind, LimitNotice

LIMITED = LimitNotice(1.5)
LIFTED = LimitNotice()


class InstanceLimitTest(unittest.TestCase):
    def take(self, limit, per_second, after, before, date=None):
        return limit.take(LimitNotice(per_second, date), HeadTimes(after, before, date))

    def test_without_a_notice_there_is_no_limit(self):
        limit = InstanceLimit()
        self.assertFalse(limit.is_set)
        self.assertFalse(self.take(limit, None, 0.0, 0.1))

    def test_a_later_answer_changes_the_limit_or_lifts_it(self):
        limit = InstanceLimit()
        for number, value in enumerate((1.5, 8.0, 0.3, None, 2.0)):
            self.assertTrue(self.take(limit, value, number, number + 0.1))
            self.assertEqual(limit.per_second, NO_LIMIT if value is None else value)

    def test_if_the_order_is_unknown_the_lower_limit_applies(self):
        for first, second in ((1.5, None), (None, 1.5), (8.0, 1.5), (1.5, 8.0)):
            with self.subTest(first=first, second=second):
                limit = InstanceLimit()
                self.take(limit, first, 0.0, 1.0)
                self.take(limit, second, 0.5, 1.2)
                self.assertEqual(limit.per_second, 1.5)

    def test_the_next_answer_resolves_an_unknown_order(self):
        limit = InstanceLimit()
        self.take(limit, 1.5, 0.0, 1.0)
        self.take(limit, None, 0.5, 1.2)
        self.assertTrue(self.take(limit, None, 1.1, 1.3))
        self.assertFalse(limit.is_set)

    def test_an_answer_that_was_read_before_another_was_asked_for_changes_nothing(self):
        limit = InstanceLimit()
        self.take(limit, None, 4.0, 4.1)
        self.assertFalse(self.take(limit, 1.5, 0.5, 4.0))
        self.assertFalse(limit.is_set)

    def test_the_date_decides_which_of_two_heads_is_newer(self):
        limit = InstanceLimit()
        self.take(limit, None, 4.0, 4.1, date=104.0)
        self.assertFalse(self.take(limit, 1.5, 0.5, 5.0, date=101.0), "an old head restores")
        self.take(limit, 1.5, 5.0, 5.1, date=105.0)
        self.assertFalse(self.take(limit, None, 0.5, 9.0, date=103.0), "an old head lifts")
        self.assertEqual(limit.per_second, 1.5)
        self.assertTrue(self.take(limit, None, 0.5, 9.0, date=106.0))

    def test_an_answer_of_a_kind_that_has_named_no_limit_lifts_none(self):
        limit = InstanceLimit()
        report = LimitNotice(kind=AnswerKind.CONTROL)
        self.take(limit, 1.5, 0.0, 0.1)
        self.assertFalse(limit.take(report, HeadTimes(1.0, 1.1)))
        limit.take(LimitNotice(1.5, kind=AnswerKind.CONTROL), HeadTimes(2.0, 2.1))
        self.assertTrue(limit.take(report, HeadTimes(3.0, 3.1)))
        self.assertFalse(limit.is_set)

    def test_answers_with_the_same_limit_keep_the_newest_time(self):
        limit = InstanceLimit()
        self.take(limit, 1.5, 0.0, 3.0)
        self.take(limit, 1.5, 1.0, 1.5)
        self.assertFalse(self.take(limit, None, 1.2, 2.9))
        self.assertEqual(limit.per_second, 1.5)
