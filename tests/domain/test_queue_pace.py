"""The admission rate of a tenant's queue: expected waits, and dropped observations."""

import unittest

from hopstep.domain.queue_pace import MIN_INTERVALS, SMOOTHING, QueuePace

BEGAN_AT = 10.0
EVERY_SECOND = tuple(BEGAN_AT + 1.0 + index for index in range(20))
LATEST = EVERY_SECOND[-1]


def make_pace(entries=EVERY_SECOND):
    pace = QueuePace()
    pace.begin("tenant", 1, BEGAN_AT)
    for now in entries:
        pace.record_entry("tenant", 1, now)
    return pace


class QueuePaceTest(unittest.TestCase):
    def test_expected_wait(self):
        few = EVERY_SECOND[: MIN_INTERVALS - 1]
        first = (13.0, *(14.0 + index for index in range(MIN_INTERVALS - 1)))
        later = LATEST + 3.0
        cases = (
            ("nothing admitted yet", (), 4, 12.0, 0.0),
            ("too few", few, 4, few[-1], 0.0),
            (
                "the first intervals have equal weights",
                first,
                0,
                first[-1],
                1.0 + 2.0 / MIN_INTERVALS,
            ),
            ("alone", EVERY_SECOND, 0, LATEST, 1.0),
            ("after others", EVERY_SECOND, 4, LATEST, 5.0),
            (
                "the mean follows the latest interval",
                (*EVERY_SECOND, later),
                1,
                later,
                2 * (1.0 + 2.0 * SMOOTHING),
            ),
            ("a stalled queue", EVERY_SECOND, 1, LATEST + 20.0, 20.0),
        )
        for name, entries, waiting, now, expected in cases:
            with self.subTest(name):
                wait = make_pace(entries).expected_wait("tenant", 1, waiting, now)
                self.assertAlmostEqual(wait, expected)

    def test_tenants_and_priorities_are_separate(self):
        pace = make_pace()
        for tenant, priority in (("other", 1), ("tenant", 2)):
            self.assertEqual(pace.expected_wait(tenant, priority, 3, LATEST), 0.0)

    def test_begin_again_changes_nothing(self):
        pace = make_pace()
        pace.begin("tenant", 1, LATEST)
        self.assertAlmostEqual(pace.expected_wait("tenant", 1, 1, LATEST), 2.0)

    def test_forgotten_queues_take_no_memory(self):
        pace = make_pace()
        pace.forget("tenant", 1)
        pace.forget("tenant", 1)
        self.assertEqual(len(pace), 0)


if __name__ == "__main__":
    unittest.main()
