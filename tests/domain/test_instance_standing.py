"""What follows from the word of one life of an instance."""

import unittest

from hopstep.domain.instance_notices import InstanceNotice
from hopstep.domain.instance_standing import (
    MAX_REMEMBERED_LIVES,
    OPENING_STEP_SECONDS,
    InstanceStanding,
    StandingBook,
)

LEAVES = InstanceNotice(leaving=True)


def rest(seconds):
    return InstanceNotice(rest_seconds=seconds)


class InstanceStandingTest(unittest.TestCase):
    def test_without_a_word_everything_is_wanted(self):
        standing = InstanceStanding()
        self.assertFalse(standing.leaves)
        self.assertFalse(standing.rests(0.0))
        self.assertTrue(standing.admits(1_000, 0.0))

    def test_only_news_is_returned(self):
        standing = InstanceStanding()
        self.assertEqual(standing.take(LEAVES, 1.0), LEAVES)
        self.assertEqual(standing.take(LEAVES, 2.0), InstanceNotice())
        self.assertEqual(standing.leaving_since, 1.0)

    def test_the_earliest_word_of_leaving_counts(self):
        standing = InstanceStanding()
        self.assertTrue(standing.note_leaving(5.0))
        self.assertFalse(standing.note_leaving(3.0))
        self.assertFalse(standing.note_leaving(4.0))
        self.assertEqual(standing.leaving_since, 3.0)

    def test_a_rest_ends_at_its_own_time_and_is_never_shortened(self):
        standing = InstanceStanding()
        self.assertEqual(standing.take(rest(3.0), 10.0), rest(3.0))
        self.assertEqual(standing.take(rest(1.0), 10.5), InstanceNotice())
        self.assertTrue(standing.rests(12.99))
        self.assertFalse(standing.rests(13.0))
        self.assertEqual(standing.take(rest(2.5), 12.0), rest(2.5))
        self.assertTrue(standing.rests(14.49))

    def test_after_a_rest_twice_as_many_are_admitted_with_each_step(self):
        standing = InstanceStanding()
        standing.take(rest(1.0), 0.0)
        admitted = []
        for step in range(5):
            now = 1.0 + step * OPENING_STEP_SECONDS
            admitted.append(next(n for n in range(99) if not standing.admits(n, now)))
        self.assertEqual(admitted, [1, 2, 4, 8, 16])


class StandingBookTest(unittest.TestCase):
    def test_a_life_that_said_nothing_has_an_empty_standing(self):
        self.assertFalse(StandingBook().of_life("i1@5").leaves)

    def test_what_a_life_said_is_remembered_for_it_alone(self):
        book = StandingBook()
        standing = book.of_life("i1@5")
        standing.take(LEAVES, 1.0)
        book.remember("i1@5", standing)
        self.assertTrue(book.of_life("i1@5").leaves)
        self.assertFalse(book.of_life("i1@6").leaves)
        self.assertFalse(book.of_life("i1").leaves)

    def test_beyond_the_bound_the_longest_known_is_forgotten(self):
        book = StandingBook()
        for number in range(MAX_REMEMBERED_LIVES + 1):
            standing = InstanceStanding()
            standing.take(LEAVES, 1.0)
            book.remember(f"i{number}", standing)
        self.assertEqual(len(list(book)), MAX_REMEMBERED_LIVES)
        self.assertFalse(book.of_life("i0").leaves)
        self.assertTrue(book.of_life("i1").leaves)
