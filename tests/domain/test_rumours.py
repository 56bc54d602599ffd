"""The highest owner incarnation and version wins; audiences and bounds."""

import unittest
from unittest import mock

from hopstep.domain import entry_table
from hopstep.domain.entry_table import EntryTable
from hopstep.domain.peer_message import Entry, EntryKind, LeavingBackEnd

KIND = EntryKind.LEAVING_BACK_END
OWN_DIGEST = 7


def entry(incarnation, version, subject="e", value=None, audience=(), owner="a"):
    value = value or LeavingBackEnd(subject)
    return Entry(owner, incarnation, version, subject, value, KIND, audience)


# Incarnation and version of a known and of a received entry, and whether the latter wins.
ORDERS = (
    ((2, 5), (2, 6), True),
    ((2, 5), (2, 5), False),
    ((2, 5), (2, 4), False),
    ((2, 5), (3, 1), True),
    ((2, 5), (1, 9), False),
)


class EntryTableTest(unittest.TestCase):
    def test_order(self):
        for known, received, wins in ORDERS:
            with self.subTest(known=known, received=received):
                table = EntryTable(OWN_DIGEST)
                table.merge(entry(*known))
                self.assertEqual(table.merge(entry(*received)), wins)

    def test_a_new_incarnation_drops_everything_of_the_earlier(self):
        table = EntryTable(OWN_DIGEST)
        table.merge(entry(2, 5, "old"))
        table.merge(entry(3, 1, "new"))
        self.assertEqual([item.subject for item in table.entries(KIND)], ["new"])

    def test_withdrawn_entries_are_not_listed_but_win(self):
        table = EntryTable(OWN_DIGEST)
        table.merge(entry(2, 5))
        table.merge(Entry("a", 2, 6, "e", None, KIND))
        self.assertEqual(list(table.entries(KIND)), [])
        self.assertFalse(table.merge(entry(2, 5)))

    def test_entries_for_other_audiences_are_not_held(self):
        table = EntryTable(OWN_DIGEST)
        self.assertFalse(table.merge(entry(2, 5, audience=(8, 9))))
        self.assertTrue(table.merge(entry(2, 5, audience=(OWN_DIGEST, 9))))
        self.assertEqual(table.digest("a"), 0)

    def test_digests_agree_whatever_the_order(self):
        one, other = EntryTable(OWN_DIGEST), EntryTable(OWN_DIGEST)
        entries = [entry(2, version, f"e{version % 3}") for version in range(1, 8)]
        for item in entries:
            one.merge(item)
        for item in reversed(entries):
            other.merge(item)
        self.assertEqual(one.digest("a"), other.digest("a"))
        self.assertNotEqual(one.digest("a"), 0)

    def test_number_is_bounded_and_freed(self):
        with mock.patch.dict(entry_table.CAPACITY, {KIND: 2}):
            table = EntryTable(OWN_DIGEST)
            taken = [table.merge(entry(2, number, f"e{number}")) for number in range(1, 4)]
            self.assertEqual(taken, [True, True, False])
            table.drop_owner("a")
            self.assertTrue(table.merge(entry(2, 9, "e9", owner="b")))
