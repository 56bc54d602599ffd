"""What follows from the word of one life of an instance."""

import unittest

from hopstep.domain.announced_state import (
    MAX_REMEMBERED_INCARNATIONS,
    OPENING_STEP_SECONDS,
    AnnouncedState,
    AnnouncedStates,
)
from hopstep.domain.instance_notices import InstanceNotice

LEAVES = InstanceNotice(leaving=True)


def rest(seconds):
    return InstanceNotice(backoff_seconds=seconds)


class InstanceStandingTest(unittest.TestCase):
    def test_without_a_word_everything_is_wanted(self):
        announced_state = AnnouncedState()
        self.assertFalse(announced_state.has_announced_leaving)
        self.assertFalse(announced_state.is_backing_off(0.0))
        self.assertTrue(announced_state.admits(1_000, 0.0))

    def test_only_news_is_returned(self):
        announced_state = AnnouncedState()
        self.assertEqual(announced_state.take(LEAVES, 1.0), LEAVES)
        self.assertEqual(announced_state.take(LEAVES, 2.0), InstanceNotice())
        self.assertEqual(announced_state.leaving_since, 1.0)

    def test_the_earliest_word_of_leaving_counts(self):
        announced_state = AnnouncedState()
        self.assertTrue(announced_state.note_leaving(5.0))
        self.assertFalse(announced_state.note_leaving(3.0))
        self.assertFalse(announced_state.note_leaving(4.0))
        self.assertEqual(announced_state.leaving_since, 3.0)

    def test_a_rest_ends_at_its_own_time_and_is_never_shortened(self):
        announced_state = AnnouncedState()
        self.assertEqual(announced_state.take(rest(3.0), 10.0), rest(3.0))
        self.assertEqual(announced_state.take(rest(1.0), 10.5), InstanceNotice())
        self.assertTrue(announced_state.is_backing_off(12.99))
        self.assertFalse(announced_state.is_backing_off(13.0))
        self.assertEqual(announced_state.take(rest(2.5), 12.0), rest(2.5))
        self.assertTrue(announced_state.is_backing_off(14.49))

    def test_after_a_rest_twice_as_many_are_admitted_with_each_step(self):
        announced_state = AnnouncedState()
        announced_state.take(rest(1.0), 0.0)
        admitted = []
        for step in range(5):
            now = 1.0 + step * OPENING_STEP_SECONDS
            admitted.append(next(n for n in range(99) if not announced_state.admits(n, now)))
        self.assertEqual(admitted, [1, 2, 4, 8, 16])


class StandingBookTest(unittest.TestCase):
    def test_a_life_that_said_nothing_has_an_empty_standing(self):
        self.assertFalse(AnnouncedStates().of_incarnation("i1@5").has_announced_leaving)

    def test_what_a_life_said_is_remembered_for_it_alone(self):
        book = AnnouncedStates()
        announced_state = book.of_incarnation("i1@5")
        announced_state.take(LEAVES, 1.0)
        book.remember("i1@5", announced_state)
        self.assertTrue(book.of_incarnation("i1@5").has_announced_leaving)
        self.assertFalse(book.of_incarnation("i1@6").has_announced_leaving)
        self.assertFalse(book.of_incarnation("i1").has_announced_leaving)

    def test_beyond_the_bound_the_longest_known_is_forgotten(self):
        book = AnnouncedStates()
        for number in range(MAX_REMEMBERED_INCARNATIONS + 1):
            announced_state = AnnouncedState()
            announced_state.take(LEAVES, 1.0)
            book.remember(f"i{number}", announced_state)
        self.assertEqual(len(list(book)), MAX_REMEMBERED_INCARNATIONS)
        self.assertFalse(book.of_incarnation("i0").has_announced_leaving)
        self.assertTrue(book.of_incarnation("i1").has_announced_leaving)
