"""Effects of the notices of one incarnation of an instance."""

import unittest

from hopstep.domain.announced_state import (
    MAX_REMEMBERED_INCARNATIONS,
    OPENING_STEP_SECONDS,
    AnnouncedState,
    AnnouncedStates,
)
from hopstep.domain.instance_notices import InstanceNotice

LEAVING = InstanceNotice(leaving=True)


def backoff(seconds):
    return InstanceNotice(backoff_seconds=seconds)


class AnnouncedStateTest(unittest.TestCase):
    def test_without_a_notice_everything_is_accepted(self):
        announced_state = AnnouncedState()
        self.assertFalse(announced_state.has_announced_leaving)
        self.assertFalse(announced_state.is_backing_off(0.0))
        self.assertTrue(announced_state.admits(1_000, 0.0))

    def test_only_new_parts_of_a_notice_are_returned(self):
        announced_state = AnnouncedState()
        self.assertEqual(announced_state.take(LEAVING, 1.0), LEAVING)
        self.assertEqual(announced_state.take(LEAVING, 2.0), InstanceNotice())
        self.assertEqual(announced_state.leaving_since, 1.0)

    def test_the_earliest_leaving_notice_counts(self):
        announced_state = AnnouncedState()
        self.assertTrue(announced_state.note_leaving(5.0))
        self.assertFalse(announced_state.note_leaving(3.0))
        self.assertFalse(announced_state.note_leaving(4.0))
        self.assertEqual(announced_state.leaving_since, 3.0)

    def test_a_backoff_ends_at_its_own_time_and_is_never_shortened(self):
        announced_state = AnnouncedState()
        self.assertEqual(announced_state.take(backoff(3.0), 10.0), backoff(3.0))
        self.assertEqual(announced_state.take(backoff(1.0), 10.5), InstanceNotice())
        self.assertTrue(announced_state.is_backing_off(12.99))
        self.assertFalse(announced_state.is_backing_off(13.0))
        self.assertEqual(announced_state.take(backoff(2.5), 12.0), backoff(2.5))
        self.assertTrue(announced_state.is_backing_off(14.49))

    def test_after_a_backoff_twice_as_many_are_admitted_with_each_step(self):
        announced_state = AnnouncedState()
        announced_state.take(backoff(1.0), 0.0)
        admitted = []
        for step in range(5):
            now = 1.0 + step * OPENING_STEP_SECONDS
            admitted.append(next(n for n in range(99) if not announced_state.admits(n, now)))
        self.assertEqual(admitted, [1, 2, 4, 8, 16])


class AnnouncedStatesTest(unittest.TestCase):
    def test_an_incarnation_without_notices_has_an_empty_state(self):
        self.assertFalse(AnnouncedStates().of_incarnation("i1@5").has_announced_leaving)

    def test_a_notice_is_remembered_for_its_incarnation_only(self):
        states = AnnouncedStates()
        announced_state = states.of_incarnation("i1@5")
        announced_state.take(LEAVING, 1.0)
        states.remember("i1@5", announced_state)
        self.assertTrue(states.of_incarnation("i1@5").has_announced_leaving)
        self.assertFalse(states.of_incarnation("i1@6").has_announced_leaving)
        self.assertFalse(states.of_incarnation("i1").has_announced_leaving)

    def test_beyond_the_bound_the_oldest_state_is_dropped(self):
        states = AnnouncedStates()
        for number in range(MAX_REMEMBERED_INCARNATIONS + 1):
            announced_state = AnnouncedState()
            announced_state.take(LEAVING, 1.0)
            states.remember(f"i{number}", announced_state)
        self.assertEqual(len(list(states)), MAX_REMEMBERED_INCARNATIONS)
        self.assertFalse(states.of_incarnation("i0").has_announced_leaving)
        self.assertTrue(states.of_incarnation("i1").has_announced_leaving)
