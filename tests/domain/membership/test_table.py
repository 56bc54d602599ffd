"""Precedence of claims and digests of the member table."""

import unittest

import msgspec

from hopstep.domain.membership.table import MemberTable
from hopstep.domain.peer_message import MemberRecord, MemberState, MemberStatus

ALIVE, LEAVING, SUSPECT, DEAD, LEFT = MemberState
KNOWN = MemberRecord("a", 5, 3, ALIVE, "127.0.0.1:80", "127.0.0.1:81", "zone-1")

# Known state, then incarnation, version and state of a claim, and whether it wins.
CLAIMS = (
    (ALIVE, 5, 3, ALIVE, False),
    (ALIVE, 5, 3, SUSPECT, True),
    (ALIVE, 5, 2, SUSPECT, False),
    (ALIVE, 5, 3, DEAD, True),
    (ALIVE, 5, 4, LEAVING, True),
    (ALIVE, 4, 9, DEAD, False),
    (SUSPECT, 5, 3, ALIVE, False),
    (SUSPECT, 5, 4, ALIVE, True),
    (SUSPECT, 5, 3, DEAD, True),
    (DEAD, 5, 3, ALIVE, False),
    (DEAD, 5, 3, SUSPECT, False),
    (DEAD, 5, 4, ALIVE, True),
    (LEFT, 5, 3, LEAVING, False),
    (LEFT, 5, 4, LEAVING, True),
)


def table_with(state):
    table = MemberTable()
    table.merge_record(KNOWN, 0.0)
    table.merge_status(MemberStatus("a", 5, 3, state), 0.0)
    return table


class PrecedenceTest(unittest.TestCase):
    def test_statuses_and_records_win_alike(self):
        for known, incarnation, version, state, wins in CLAIMS:
            with self.subTest(known=known, claim=(incarnation, version, state)):
                status = MemberStatus("a", incarnation, version, state)
                self.assertEqual(table_with(known).merge_status(status, 1.0), wins)
                record = msgspec.structs.replace(
                    KNOWN, incarnation=incarnation, version=version, state=state
                )
                self.assertEqual(table_with(known).merge_record(record, 1.0), wins)

    def test_a_new_incarnation_beats_death_but_needs_its_record(self):
        table = table_with(DEAD)
        status = MemberStatus("a", 6, 0, ALIVE)
        self.assertFalse(table.merge_status(status, 1.0))
        self.assertTrue(table.lacks_record(status))
        record = msgspec.structs.replace(KNOWN, incarnation=6, version=0)
        self.assertTrue(table.merge_record(record, 1.0))
        self.assertEqual(table.live_names(), ["a"])

    def test_unknown_dead_members_are_not_taken(self):
        table = MemberTable()
        self.assertFalse(table.merge_record(msgspec.structs.replace(KNOWN, state=DEAD), 0.0))
        self.assertIsNone(table.get("a"))

    def test_a_plan_to_leave_outlasts_suspicion(self):
        table = table_with(ALIVE)
        table.merge_status(MemberStatus("a", 5, 4, LEAVING), 1.0)
        table.merge_status(MemberStatus("a", 5, 4, SUSPECT), 2.0)
        self.assertTrue(table.get("a").planned)
        table.merge_record(msgspec.structs.replace(KNOWN, incarnation=6), 3.0)
        self.assertFalse(table.get("a").planned)


class DigestTest(unittest.TestCase):
    def test_digests_depend_on_live_records_alone_in_any_order(self):
        records = [msgspec.structs.replace(KNOWN, name=f"m{i}") for i in range(40)]
        one, other = MemberTable(), MemberTable()
        for record in records:
            one.merge_record(record, 0.0)
        for record in reversed(records):
            other.merge_record(record, 0.0)
        self.assertEqual(one.digests(), other.digests())
        one.merge_status(MemberStatus("m7", 5, 3, DEAD), 1.0)
        self.assertNotEqual(one.digests(), other.digests())
        other.forget("m7")
        self.assertEqual(one.digests(), other.digests())
