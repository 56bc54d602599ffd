"""Terminations that count for parts of prompts, beside those of whole requests."""

import unittest

from hopstep.domain.quarantine.answer_credits import MAX_DISREGARDED
from hopstep.domain.quarantine.crash_ledger import TERMINATIONS_TO_REFUSE, CrashLedger
from hopstep.domain.quarantine.crash_records import MAX_TERMINATIONS
from hopstep.domain.quarantine.crashes import (
    LONGEST_FATAL_WRITING_SECONDS,
    CrashSubject,
    RequestIdentity,
    SubjectKind,
)
from hopstep.domain.quarantine.fingerprint import part_fingerprint, request_fingerprint

FATAL = part_fingerprint("", "fatal")
OTHER_FATAL = part_fingerprint("", "fatal too")
SHARED = part_fingerprint("", "shared")


def request(number, *parts):
    fingerprint = request_fingerprint("t", b"/", b"%d" % number)
    return RequestIdentity(fingerprint, "t", "r", parts)


class PartTerminationsTest(unittest.TestCase):
    def setUp(self):
        self.ledger = CrashLedger("n1")

    def terminate_under(self, incarnation, *requests, writing_seconds=0.0, at=0.0):
        for interrupted in requests:
            for suspect in interrupted.suspects(writing_seconds):
                self.ledger.note_broken(suspect, incarnation, at)
        self.ledger.note_ended(incarnation, at)

    def refused(self, fingerprint, at=0.0):
        return self.ledger.refused_seconds(fingerprint, at) > 0

    def answer(self, *parts):
        for part in parts:
            self.ledger.note_complete_response(part)

    def test_a_part_is_refused_after_three_instances_have_ended_under_different_requests(self):
        for number in range(TERMINATIONS_TO_REFUSE):
            self.assertFalse(self.refused(FATAL))
            self.terminate_under(f"i{number}", request(number, FATAL))
        self.assertTrue(self.refused(FATAL))

    def test_no_part_is_refused_for_one_request_that_ends_instances(self):
        for number in range(TERMINATIONS_TO_REFUSE):
            self.terminate_under(f"i{number}", request(1, FATAL))
        self.assertTrue(self.refused(request(1).fingerprint))
        self.assertFalse(self.refused(FATAL))
        self.terminate_under("i9", request(2, FATAL))
        self.assertTrue(self.refused(FATAL))

    def test_equal_requests_do_not_hide_a_part_that_ends_instances(self):
        for number in range(TERMINATIONS_TO_REFUSE + 1):
            self.assertFalse(self.refused(FATAL))
            self.terminate_under(f"i{number}", request(number // 3, FATAL))
        self.assertTrue(self.refused(FATAL))

    def test_one_answer_clears_all_terminations_under_a_part(self):
        for number in range(TERMINATIONS_TO_REFUSE - 1):
            self.terminate_under(f"i{number}", request(number, FATAL, SHARED))
        self.answer(SHARED)
        self.terminate_under("i9", request(9, FATAL, SHARED))
        self.assertTrue(self.refused(FATAL))
        self.assertFalse(self.refused(SHARED))

    def test_answers_before_excuse_a_part_of_a_few_terminations(self):
        self.answer(*[SHARED] * MAX_DISREGARDED)
        for number in range(TERMINATIONS_TO_REFUSE + 3):
            self.terminate_under(f"i{number}", request(number, FATAL, SHARED))
        self.assertTrue(self.refused(FATAL))
        self.assertFalse(self.refused(SHARED))

    def test_a_part_that_ends_instances_after_many_answers_is_refused_in_time(self):
        self.answer(*[FATAL] * 100)
        for number in range(5):
            self.terminate_under(f"i{number}", request(number, FATAL), at=4.0 * number)
        self.assertTrue(self.refused(FATAL, at=16.0))

    def terminate_beside_two_fatal_parts(self, *beside):
        """End instances under two fatal parts; five of them had other parts beside it as well.

        This takes longer than earlier answers excuse terminations. As a soak had it.
        """
        for number, (at, fatal, is_beside) in enumerate(
            (
                (0.0, FATAL, True),
                (0.1, FATAL, True),
                (1.3, FATAL, False),
                (1.4, OTHER_FATAL, True),
                (1.5, FATAL, False),
                (2.3, FATAL, True),
                (2.6, FATAL, False),
                (3.4, OTHER_FATAL, False),
                (4.1, OTHER_FATAL, True),
                (4.4, OTHER_FATAL, False),
            )
        ):
            parts = beside if is_beside else ()
            self.terminate_under(f"i{number}", request(number, fatal, *parts), at=at)

    def test_a_part_that_was_answered_is_not_blamed_for_what_several_fatal_parts_explain(self):
        """Guards against a sound part that is refused as two fatal ones end four instances.

        Of these one was explained, and the time was over in which earlier answers count.
        """
        self.answer(SHARED)
        self.terminate_beside_two_fatal_parts(SHARED)
        self.assertTrue(self.refused(FATAL, at=4.5))
        self.assertTrue(self.refused(OTHER_FATAL, at=4.5))
        self.assertTrue(self.refused(SHARED, at=4.5))
        self.assertTrue(self.ledger.clear_explained(SHARED, 4.5))
        self.assertFalse(self.refused(SHARED, at=4.5))

    def test_a_part_that_was_never_answered_hides_behind_no_other_ones(self):
        self.terminate_beside_two_fatal_parts(SHARED)
        self.assertFalse(self.ledger.clear_explained(SHARED, 4.5))
        self.assertTrue(self.refused(SHARED, at=4.5))

    def test_a_part_that_ends_instances_by_itself_after_answers_hides_behind_no_other_ones(self):
        self.answer(SHARED)
        self.terminate_beside_two_fatal_parts(SHARED)
        for number in range(TERMINATIONS_TO_REFUSE):
            self.terminate_under(f"j{number}", request(20 + number, SHARED), at=4.5)
        self.assertFalse(self.ledger.clear_explained(SHARED, 4.5))
        self.assertTrue(self.refused(SHARED, at=4.5))

    def test_parts_that_always_come_together_explain_nothing_of_each_other(self):
        self.answer(SHARED)
        for number in range(6):
            self.terminate_under(f"i{number}", request(number, FATAL, SHARED), at=float(number))
        self.assertFalse(self.ledger.clear_explained(SHARED, 6.0))
        self.assertTrue(self.refused(SHARED, at=6.0))

    def test_an_instance_that_had_written_for_long_did_not_end_under_a_part(self):
        for number in range(MAX_TERMINATIONS):
            interrupted = request(number, SHARED)
            seconds = 2 * LONGEST_FATAL_WRITING_SECONDS
            self.terminate_under(f"i{number}", interrupted, writing_seconds=seconds)
            self.assertEqual(self.ledger.terminations(interrupted.fingerprint), 1)
        self.assertEqual(self.ledger.terminations(SHARED), 0)

    def test_the_first_termination_is_cleared_without_a_report_and_later_ones_with_all(self):
        self.terminate_under("i1", request(1, SHARED))
        self.assertEqual(self.ledger.note_complete_response(SHARED), [])
        self.terminate_under("i2", request(2, SHARED))
        self.assertEqual(self.ledger.note_complete_response(SHARED), ["i2"])
        self.assertEqual(self.ledger.request_crashes(SHARED).cleared, ("i1", "i2"))

    def test_operators_who_allow_a_request_allow_the_parts_that_only_it_explains(self):
        for number in range(TERMINATIONS_TO_REFUSE):
            self.terminate_under(f"i{number}", request(1, FATAL))
        cleared = self.ledger.clear(request(1).fingerprint)
        self.assertEqual(cleared, [FATAL, request(1).fingerprint])
        self.assertFalse(self.refused(FATAL))

    def test_subjects_are_told_apart_by_their_fingerprints(self):
        self.assertIs(CrashSubject(FATAL).kind, SubjectKind.PART)
        self.assertIs(CrashSubject(request(1).fingerprint).kind, SubjectKind.REQUEST)
