import unittest

from hopstep.domain.quarantine.answer_credits import (
    DISREGARDING_SECONDS,
    MAX_ANSWERED,
    MAX_DISREGARDED,
)
from hopstep.domain.quarantine.crash_ledger import TERMINATIONS_TO_REFUSE, CrashLedger
from hopstep.domain.quarantine.crash_records import (
    MAX_REQUESTS,
    MAX_TERMINATIONS,
    RETENTION_SECONDS,
)
from hopstep.domain.quarantine.crashes import Crash, RequestCrashes
from hopstep.domain.quarantine.interruptions import (
    ABRUPT_TERMINATION_SECONDS,
    MAX_INTERRUPTED_AGE_SECONDS,
)

FATAL = b"fatal"
OTHER = b"other"


class CrashLedgerTest(unittest.TestCase):
    def setUp(self):
        self.ledger = CrashLedger("n1")

    def terminate_under(self, fingerprint, *incarnations, at=0.0, ledger=None):
        ledger = ledger or self.ledger
        for incarnation in incarnations:
            ledger.note_broken(fingerprint, incarnation, at)
            ledger.note_ended(incarnation, at)

    def refused(self, fingerprint, now=0.0):
        return self.ledger.refused_seconds(fingerprint, now) > 0

    def test_a_request_is_refused_after_three_instances_have_ended_under_it(self):
        for number in range(TERMINATIONS_TO_REFUSE):
            self.assertFalse(self.refused(FATAL))
            self.terminate_under(FATAL, f"i{number}")
        self.assertTrue(self.refused(FATAL))
        self.assertFalse(self.refused(OTHER))

    def test_one_end_counts_once(self):
        for _ in range(5):
            self.terminate_under(FATAL, "i1")
        self.assertEqual(self.ledger.terminations(FATAL), 1)

    def test_a_second_life_of_an_instance_counts_anew(self):
        self.terminate_under(FATAL, "i1@1", "i1@2", "i1@3")
        self.assertTrue(self.refused(FATAL))

    def test_an_answer_that_broke_off_counts_only_when_the_instance_has_ended(self):
        self.assertIsNone(self.ledger.note_broken(FATAL, "i1", 0.0))
        self.assertEqual(self.ledger.terminations(FATAL), 0)
        self.assertTrue(self.ledger.is_empty)
        counted = self.ledger.note_ended("i1", 0.1)
        self.assertEqual(counted[0].crash, Crash("i1", "n1"))
        self.assertEqual(counted[0].terminations, 1)

    def test_an_answer_that_breaks_off_after_the_end_was_noticed_counts_at_once(self):
        self.ledger.note_broken(FATAL, "i1", 0.0)
        self.ledger.note_ended("i1", 0.1)
        counted = self.ledger.note_broken(OTHER, "i1", 0.2)
        self.assertEqual(counted.fingerprint, OTHER)

    def test_an_old_broken_answer_has_nothing_to_do_with_the_end(self):
        self.ledger.note_broken(FATAL, "i1", 0.0)
        self.assertEqual(self.ledger.note_ended("i1", MAX_INTERRUPTED_AGE_SECONDS + 0.1), [])

    def test_an_instance_that_answered_later_and_was_unlisted_did_not_end_under_a_request(self):
        self.ledger.note_broken(FATAL, "i1", 1.0)
        self.ledger.note_broken(OTHER, "i1", 3.0)
        self.ledger.note_answer("i1", sent_at=2.0)
        counted = self.ledger.note_ended("i1", 4.0, abruptly=False)
        self.assertEqual([termination.fingerprint for termination in counted], [OTHER])

    def test_an_instance_that_answered_later_did_not_end_under_a_request(self):
        self.ledger.note_broken(FATAL, "i1", 1.0)
        self.ledger.note_broken(OTHER, "i1", 10.0)
        self.ledger.note_answer("i1", sent_at=2.0)
        counted = self.ledger.note_ended("i1", 11.0)
        self.assertEqual([termination.fingerprint for termination in counted], [OTHER])

    def test_an_instance_may_answer_others_just_before_it_ends_under_a_request(self):
        self.ledger.note_broken(FATAL, "i1", 1.0)
        self.ledger.note_answer("i1", sent_at=1.1)
        self.assertEqual(len(self.ledger.note_ended("i1", 1.0 + ABRUPT_TERMINATION_SECONDS)), 1)

    def test_an_instance_that_was_unlisted_may_still_be_at_work(self):
        self.ledger.note_ended("i1", 1.0, abruptly=False)
        self.assertIsNone(self.ledger.note_broken(FATAL, "i1", 2.0))

    def test_each_whole_answer_takes_one_end_back(self):
        self.terminate_under(FATAL, "i1", "i2")
        self.assertEqual(self.ledger.note_complete_response(FATAL), ["i1"])
        self.terminate_under(FATAL, "i3")
        self.assertFalse(self.refused(FATAL))
        self.terminate_under(FATAL, "i4")
        self.assertTrue(self.refused(FATAL))

    def test_a_popular_request_is_never_refused_for_ends_of_other_causes(self):
        for number in range(100):
            self.terminate_under(FATAL, f"i{number}")
            self.assertFalse(self.refused(FATAL))
            self.ledger.note_complete_response(FATAL)

    def test_answers_of_before_excuse_some_ends(self):
        for _ in range(100):
            self.ledger.note_complete_response(FATAL)
        for number in range(MAX_DISREGARDED + TERMINATIONS_TO_REFUSE):
            self.assertFalse(self.refused(FATAL))
            self.terminate_under(FATAL, f"i{number}")
        self.assertTrue(self.refused(FATAL))

    def terminate_each_second_until_refused(self):
        """Return how many instances terminate under a request, one per second, until refusal."""
        terminations = 0
        while not self.refused(FATAL, float(terminations)):
            terminations += 1
            self.terminate_under(FATAL, f"i{terminations}", at=float(terminations))
        return terminations

    def test_answers_of_before_excuse_only_ends_that_come_together(self):
        for _ in range(100):
            self.ledger.note_complete_response(FATAL)
        disregarded = int(DISREGARDING_SECONDS) + 1
        self.assertEqual(
            self.terminate_each_second_until_refused(), TERMINATIONS_TO_REFUSE + disregarded
        )

    def test_what_another_node_excuses_begins_the_time_for_excuses_here_too(self):
        for _ in range(100):
            self.ledger.note_complete_response(FATAL)
        crashes = tuple(Crash(f"i{number}", "n2") for number in range(TERMINATIONS_TO_REFUSE))
        self.ledger.merge(RequestCrashes(FATAL, crashes, ("i2",)), 0.0)
        self.terminate_under(FATAL, "j1", at=DISREGARDING_SECONDS + 0.1)
        self.assertTrue(self.refused(FATAL, DISREGARDING_SECONDS + 0.1))

    def test_a_whole_answer_lets_later_ends_be_excused_again(self):
        self.ledger.note_complete_response(FATAL)
        for moment in range(0, 100, 10):
            for number in range(TERMINATIONS_TO_REFUSE):
                self.ledger.note_complete_response(FATAL)
                self.terminate_under(FATAL, f"i{moment + number}", at=float(moment))
            self.assertFalse(self.refused(FATAL, float(moment)))

    def test_answers_to_one_request_excuse_no_other(self):
        self.ledger.note_complete_response(OTHER)
        self.terminate_under(FATAL, "i1")
        self.assertEqual(self.ledger.terminations(FATAL), 1)

    def test_a_request_that_ends_half_of_its_instances_is_refused_in_the_end(self):
        terminations = 0
        while not self.refused(FATAL):
            self.terminate_under(FATAL, f"i{terminations}", f"j{terminations}")
            self.ledger.note_complete_response(FATAL)
            terminations += 1
            self.assertLess(terminations, 5)

    def test_it_is_forgotten_some_time_after_the_last_end(self):
        self.terminate_under(FATAL, "i1", "i2", at=0.0)
        self.terminate_under(FATAL, "i3", at=10.0)
        self.ledger.expire(RETENTION_SECONDS)
        self.assertTrue(self.refused(FATAL, RETENTION_SECONDS))
        self.assertFalse(self.ledger.is_empty)
        self.assertFalse(self.refused(FATAL, 10.0 + RETENTION_SECONDS))
        self.ledger.expire(10.0 + RETENTION_SECONDS)
        self.assertTrue(self.ledger.is_empty)

    def test_clearing_takes_all_ends_back(self):
        self.terminate_under(FATAL, "i1", "i2", "i3")
        self.assertEqual(self.ledger.clear(FATAL), [FATAL])
        self.assertFalse(self.refused(FATAL))
        self.assertEqual(self.ledger.clear(OTHER), [])


class SharedEndsTest(unittest.TestCase):
    """A termination of an instance is recorded for all requests that were under way there.

    Guards against refusing an ordinary request with three terminations: one of its own, and two of
    instances that another request terminated, which has six in all.
    """

    def setUp(self):
        self.ledger = CrashLedger("n1")

    def merge_crashes(self, fingerprint, *incarnations, cleared=()):
        crashes = tuple(Crash(incarnation, "n2") for incarnation in incarnations)
        return self.ledger.merge(RequestCrashes(fingerprint, crashes, cleared), 0.0)

    def refused(self, fingerprint):
        return self.ledger.refused_seconds(fingerprint, 0.0) > 0

    def test_an_end_that_a_refused_request_explains_counts_for_no_other(self):
        self.merge_crashes(FATAL, "i1", "i2", "i3", "i4")
        self.merge_crashes(OTHER, "j1", "j2", "i4")
        self.assertFalse(self.refused(OTHER))
        self.assertTrue(self.refused(FATAL))

    def test_it_does_not_matter_which_is_known_first(self):
        self.merge_crashes(OTHER, "j1", "j2", "i4")
        self.assertTrue(self.refused(OTHER))
        self.merge_crashes(FATAL, "i1", "i2", "i3", "i4")
        self.assertFalse(self.refused(OTHER))

    def test_what_is_explained_long_after_a_request_was_refused_releases_it_no_more(self):
        self.merge_crashes(OTHER, "j1", "j2", "i4")
        self.assertTrue(self.refused(OTHER))
        crashes = tuple(Crash(incarnation, "n2") for incarnation in ("i1", "i2", "i3", "i4"))
        later = DISREGARDING_SECONDS + 0.1
        self.ledger.merge(RequestCrashes(FATAL, crashes), later)
        self.assertGreater(self.ledger.refused_seconds(OTHER, later), 0)

    def test_two_requests_that_end_instances_together_are_both_refused(self):
        self.merge_crashes(FATAL, "i1", "i2", "i3", "i4", "i5", "i6")
        self.merge_crashes(OTHER, "i1", "i2", "i3")
        self.assertFalse(self.refused(OTHER))
        self.merge_crashes(OTHER, "i4")
        self.assertTrue(self.refused(OTHER))
        self.assertTrue(self.refused(FATAL))

    def test_equal_requests_explain_nothing_of_each_other(self):
        self.merge_crashes(FATAL, "i1", "i2", "i3")
        self.merge_crashes(OTHER, "i1", "i2", "i3")
        self.assertTrue(self.refused(FATAL))
        self.assertTrue(self.refused(OTHER))

    def test_a_request_that_isnt_refused_for_its_other_ends_explains_nothing(self):
        self.merge_crashes(FATAL, "i1", "i2", "i3", "i4", cleared=("i1", "i2"))
        self.merge_crashes(OTHER, "j1", "j2", "i4")
        self.assertTrue(self.refused(OTHER))

    def test_what_was_forgotten_explains_nothing(self):
        self.merge_crashes(FATAL, "i1", "i2", "i3", "i4")
        self.ledger.merge(
            RequestCrashes(
                OTHER, tuple(Crash(incarnation, "n2") for incarnation in ("j1", "j2", "i4"))
            ),
            1.0,
        )
        self.assertEqual(self.ledger.refused_seconds(OTHER, RETENTION_SECONDS), 0)
        self.ledger.expire(RETENTION_SECONDS)
        self.assertGreater(self.ledger.refused_seconds(OTHER, RETENTION_SECONDS), 0)


class MergeTest(unittest.TestCase):
    def setUp(self):
        self.ledger = CrashLedger("n1")

    def received(self, *incarnations, cleared=()):
        return RequestCrashes(
            FATAL, tuple(Crash(incarnation, "n2") for incarnation in incarnations), cleared
        )

    def test_ends_that_several_nodes_saw_add_up(self):
        self.ledger.note_broken(FATAL, "i1", 0.0)
        self.ledger.note_ended("i1", 0.0)
        new = self.ledger.merge(self.received("i1", "i2"), 0.0)
        self.assertEqual([termination.crash for termination in new], [Crash("i2", "n2")])
        self.ledger.merge(self.received("i3"), 0.0)
        self.assertGreater(self.ledger.refused_seconds(FATAL, 0.0), 0.0)

    def test_what_is_told_again_changes_nothing(self):
        self.ledger.merge(self.received("i1", "i2", "i3"), 0.0)
        self.assertEqual(self.ledger.merge(self.received("i3", "i2", "i1"), 100.0), [])
        self.assertEqual(self.ledger.refused_seconds(FATAL, 100.0), RETENTION_SECONDS - 100.0)

    def test_what_was_cleared_elsewhere_stays_cleared(self):
        self.ledger.merge(self.received("i1", "i2"), 0.0)
        self.ledger.merge(self.received("i3", cleared=("i1",)), 0.0)
        self.ledger.merge(self.received("i1"), 0.0)
        self.assertEqual(self.ledger.terminations(FATAL), 2)

    def test_two_nodes_that_tell_each_other_all_agree(self):
        other = CrashLedger("n2")
        for ledger, incarnations in ((self.ledger, ("i1", "i2")), (other, ("i2", "i3"))):
            for incarnation in incarnations:
                ledger.note_broken(FATAL, incarnation, 0.0)
                ledger.note_ended(incarnation, 0.0)
        self.ledger.note_complete_response(FATAL)
        received = self.ledger.request_crashes(FATAL), other.request_crashes(FATAL)
        self.ledger.merge(received[1], 0.0)
        other.merge(received[0], 0.0)
        self.assertEqual((self.ledger.terminations(FATAL), other.terminations(FATAL)), (2, 2))


class SharedExcusesTest(unittest.TestCase):
    """An ordinary request is answered at some nodes, and cut off by terminations at others.

    Guards against refusing a request with complete responses at other nodes when all three
    instances of a service terminate three times within seconds.
    """

    def setUp(self):
        self.ledgers = [CrashLedger(f"n{number}") for number in range(4)]

    def share_all(self):
        """Merge each node's record into every node, in turn."""
        for sender in self.ledgers:
            for ledger in self.ledgers:
                ledger.merge(sender.request_crashes(FATAL), 0.0)

    def terminate_at(self, number, incarnation):
        self.ledgers[number].note_broken(FATAL, incarnation, 0.0)
        self.ledgers[number].note_ended(incarnation, 0.0)

    def refusing(self):
        return [ledger.refused_seconds(FATAL, 0.0) > 0 for ledger in self.ledgers]

    def test_answers_at_one_node_excuse_ends_that_others_saw(self):
        self.ledgers[3].note_complete_response(FATAL)
        for number in range(TERMINATIONS_TO_REFUSE):
            self.terminate_at(number, f"i{number}")
            self.share_all()
        self.assertEqual(self.refusing(), [False] * 4)
        self.terminate_at(0, "i9")
        self.share_all()
        self.assertEqual(self.refusing(), [True] * 4)

    def test_ends_count_together_however_many_nodes_have_answered_before(self):
        for ledger in self.ledgers:
            for _ in range(100):
                ledger.note_complete_response(FATAL)
        terminations = 0
        while not all(self.refusing()):
            self.terminate_at(terminations % len(self.ledgers), f"i{terminations}")
            self.share_all()
            terminations += 1
        self.assertEqual(terminations, MAX_DISREGARDED + TERMINATIONS_TO_REFUSE)

    def test_answers_at_all_nodes_add_up(self):
        """Twelve answers at three nodes, and all eight instances of a service terminate at once.

        If each disregarded termination used up an answer at every node, the answered request would
        be refused in some orders of the nodes' reports (two of eight runs).
        """
        for ledger in self.ledgers[:3]:
            for _ in range(4):
                ledger.note_complete_response(FATAL)
        for number in range(8):
            self.terminate_at(number % 3, f"i{number}")
            self.share_all()
        self.assertEqual(self.refusing(), [False] * 4)

    def test_what_no_longer_counts_may_be_heard_before_the_end_itself(self):
        crash = Crash("i1", "n1")
        self.ledgers[0].merge(RequestCrashes(FATAL, (crash,), ("i1",)), 0.0)
        self.assertEqual(self.ledgers[0].merge(RequestCrashes(FATAL, (crash,)), 0.0), [])
        self.assertEqual(self.ledgers[0].terminations(FATAL), 0)


class BoundsTest(unittest.TestCase):
    def test_memory_is_bounded_however_many_requests_crash(self):
        ledger = CrashLedger("n1")
        for number in range(3 * MAX_REQUESTS):
            fingerprint = number.to_bytes(16, "big")
            ledger.merge(RequestCrashes(fingerprint, (Crash(f"i{number}", "n"),)), 0.0)
        self.assertLessEqual(len(ledger._records), 2 * MAX_REQUESTS)

    def test_remembered_answers_are_bounded(self):
        ledger = CrashLedger("n1")
        for number in range(3 * MAX_ANSWERED):
            ledger.note_complete_response(number.to_bytes(16, "big"))
        self.assertEqual(len(ledger._credits._requests), MAX_ANSWERED)

    def test_requests_with_one_end_do_not_push_out_those_with_several(self):
        ledger = CrashLedger("n1")
        crashes = tuple(Crash(f"i{number}", "n") for number in range(TERMINATIONS_TO_REFUSE))
        ledger.merge(RequestCrashes(FATAL, crashes), 0.0)
        for number in range(3 * MAX_REQUESTS):
            fingerprint = number.to_bytes(16, "big")
            ledger.merge(RequestCrashes(fingerprint, (Crash("j", "n"),)), 0.0)
        self.assertGreater(ledger.refused_seconds(FATAL, 0.0), 0.0)

    def test_ends_of_one_request_are_bounded(self):
        ledger = CrashLedger("n1")
        for number in range(3 * MAX_TERMINATIONS):
            ledger.merge(RequestCrashes(FATAL, (Crash(f"i{number}", "n"),)), 0.0)
        self.assertEqual(ledger.terminations(FATAL), MAX_TERMINATIONS)
