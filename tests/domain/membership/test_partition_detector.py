"""Cases in which a node counts as partitioned."""

import random
import unittest

from hopstep.domain.membership.config import MembershipConfig
from hopstep.domain.membership.partition_detector import PartitionDetector
from hopstep.domain.membership.table import MemberTable
from hopstep.domain.peer_message import MemberRecord, MemberState, MemberStatus

CONFIG = MembershipConfig()
NOW = 100.0

# Other members; of them responsive, unresponsive, leaving on a plan; whether partitioned.
CASES = (
    (0, 0, 0, 0, False),
    (1, 1, 0, 0, False),
    (1, 0, 1, 0, True),
    (1, 0, 0, 1, False),
    (2, 1, 1, 0, False),
    (2, 0, 2, 0, True),
    (2, 0, 0, 0, True),
    (4, 2, 2, 0, False),
    (4, 1, 3, 0, True),
    (4, 1, 1, 2, False),
    (3, 1, 2, 0, True),
    (389, 9, 10, 0, True),
    (389, 10, 10, 0, False),
)


def world(others, responsive, unresponsive, leaving):
    table, detector = MemberTable(), PartitionDetector(CONFIG)
    for number in range(others):
        name = f"m{number}"
        table.merge_record(MemberRecord(name, 1, 0, MemberState.ALIVE, "", name), 0.0)
    detector.update(table, 0.0)
    for number in range(others):
        name = f"m{number}"
        if number < responsive:
            detector.record_received(name, NOW - 1)
        elif number < responsive + unresponsive:
            detector.record_attempt(name, NOW - 2)
        elif number < responsive + unresponsive + leaving:
            table.merge_status(MemberStatus(name, 1, 1, MemberState.LEAVING), NOW - 5)
    return table, detector


class IsolationTest(unittest.TestCase):
    def test_majorities(self):
        for others, responsive, unresponsive, leaving, partitioned in CASES:
            with self.subTest(
                others=others, responsive=responsive, unresponsive=unresponsive, leaving=leaving
            ):
                table, detector = world(others, responsive, unresponsive, leaving)
                self.assertEqual(detector.is_partitioned(table, NOW), partitioned)

    def test_own_verdict_of_death_never_makes_a_majority_of_one(self):
        table, detector = world(4, 0, 4, 0)
        for number in range(4):
            table.merge_status(MemberStatus(f"m{number}", 1, 0, MemberState.DEAD), NOW)
        for later in range(0, 7_200, 60):
            detector.update(table, NOW + later)
            self.assertTrue(detector.is_partitioned(table, NOW + later))

    def test_members_that_died_under_a_majority_stop_counting(self):
        table, detector = world(4, 3, 1, 0)
        table.merge_status(MemberStatus("m3", 1, 0, MemberState.DEAD), NOW)
        later = NOW + CONFIG.recent_past_seconds + 1
        for number in range(3):
            detector.record_received(f"m{number}", later)
        detector.update(table, later)
        # Two of four remain: without the dead one that is a majority of two out of three.
        detector.record_received("m0", later + 20)
        detector.record_attempt("m1", later + 10)
        table.merge_status(MemberStatus("m2", 1, 1, MemberState.LEFT), later)
        self.assertFalse(detector.is_partitioned(table, later + 20))

    def test_census_tries_the_silent_ones_at_intervals(self):
        table, detector = world(40, 5, 0, 0)
        generator = random.Random(1)
        chosen = detector.census(table, generator, NOW)
        self.assertEqual(len(set(chosen)), 16)
        self.assertTrue(set(chosen).isdisjoint(f"m{number}" for number in range(5)))
        self.assertEqual(detector.census(table, generator, NOW + 1), [])
