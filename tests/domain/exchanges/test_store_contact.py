import unittest

from hopstep.domain.exchanges.store_contact import (
    OUTAGE_SECONDS,
    RELISTING_SECONDS,
    AnsweredCall,
    StoreContact,
)

STARTED_AT = 100.0


class StoreContactTest(unittest.TestCase):
    def contact(self, read_at=None):
        contact = StoreContact(STARTED_AT)
        if read_at is not None:
            contact.note_read(read_at)
        return contact

    def test_an_answer_to_this_or_another_node_counts(self):
        contact = self.contact(101.0)
        contact.note_reported(103.0)
        contact.note_reported(102.0)
        self.assertEqual(
            (contact.read_at, contact.reported_at, contact.last_answer_at), (101.0, 103.0, 103.0)
        )

    def test_a_short_time_without_answers_is_no_outage(self):
        contact = self.contact(101.0)
        contact.note_unanswered(102.0)
        contact.note_outage_end(101.0 + OUTAGE_SECONDS)
        self.assertIsNone(contact.relisting_seconds(103.0))
        self.assertLess(contact.outage_until, 0.0)

    def test_an_outage_has_lasted_until_the_last_call_that_failed(self):
        contact = self.contact(101.0)
        contact.note_unanswered(104.0)
        contact.note_unanswered(103.0)
        contact.note_outage_end(105.0)
        self.assertEqual(contact.outage_until, 104.0)

    def test_a_time_without_answers_and_failed_calls_shows_no_outage(self):
        contact = self.contact(101.0)
        contact.note_unanswered(100.5)
        contact.note_outage_end(110.0)
        self.assertLess(contact.outage_until, 0.0)

    def test_a_node_that_has_just_started_counts_from_its_start(self):
        for answered_at, outage_until in ((101.0, -float("inf")), (103.0, 102.5)):
            with self.subTest(answered_at=answered_at):
                contact = self.contact()
                contact.note_unanswered(answered_at - 0.5)
                contact.note_outage_end(answered_at)
                self.assertEqual(contact.outage_until, outage_until)


class RelistingTest(unittest.TestCase):
    """Expired entries are expected back after an outage, and only then."""

    def contact(self):
        contact = StoreContact(STARTED_AT)
        contact.note_read(101.0)
        return contact

    def test_entries_are_expected_back_once_a_silent_store_answers(self):
        contact = self.contact()
        contact.note_unanswered(103.0)
        contact.note_unanswered(102.0)
        contact.note_own_answer(AnsweredCall(104.4, 104.5))
        self.assertEqual(contact.relisting_seconds(105.0), RELISTING_SECONDS - 0.5)
        self.assertIsNone(contact.relisting_seconds(104.5 + RELISTING_SECONDS))

    def test_a_call_that_hung_for_long_shows_an_outage_as_well(self):
        contact = self.contact()
        contact.note_own_answer(AnsweredCall(101.0, 104.5))
        self.assertIsNotNone(contact.relisting_seconds(104.5))

    def test_a_time_in_which_this_node_asked_nothing_shows_no_outage(self):
        contact = self.contact()
        contact.note_own_answer(AnsweredCall(104.4, 104.5))
        self.assertIsNone(contact.relisting_seconds(104.5))

    def test_neither_the_wait_that_was_asked_for_nor_an_own_delay_shows_one(self):
        for call in (
            AnsweredCall(101.0, 103.5, wait_seconds=0.8),
            AnsweredCall(101.0, 103.5, delay_seconds=0.8),
            AnsweredCall(101.0, 104.5, wait_seconds=0.8, delay_seconds=0.8),
        ):
            with self.subTest(call=call):
                contact = self.contact()
                contact.note_own_answer(call)
                self.assertIsNone(contact.relisting_seconds(call.answered_at))

    def test_failed_calls_before_an_answer_to_this_node_show_nothing_later(self):
        contact = self.contact()
        contact.note_unanswered(101.5)
        contact.note_read(102.0)
        contact.note_own_answer(AnsweredCall(104.0, 104.1))
        self.assertIsNone(contact.relisting_seconds(104.1))

    def test_nor_do_failed_calls_before_another_node_reported_an_answer(self):
        contact = self.contact()
        contact.note_unanswered(101.5)
        contact.note_reported(102.0)
        contact.note_own_answer(AnsweredCall(110.0, 110.1))
        self.assertIsNone(contact.relisting_seconds(110.1))

    def test_another_node_may_have_seen_the_outage(self):
        contact = self.contact()
        contact.note_reported_relisting(103.0)
        contact.note_reported_relisting(102.0)
        self.assertEqual(contact.relisting_seconds(102.5), 0.5)
