"""Latest changes by key, returned by position, compared with a plain log of all changes."""

import random
import unittest

from hopstep.domain.exchanges import directory_change_log
from hopstep.domain.exchanges.directory_change_log import DirectoryChangeLog, LoggedChange
from hopstep.domain.store_position import UNSPECIFIED_ERA, StorePosition


def position(revision, era=UNSPECIFIED_ERA):
    return StorePosition(era, revision)


def entry(key, revision, era=UNSPECIFIED_ERA, *, removed=False):
    return LoggedChange(key, position(revision, era), f"{key}@{revision}", float(revision), removed)


class DirectoryChangeLogTest(unittest.TestCase):
    def test_nothing_is_returned_before_the_first_snapshot(self):
        self.assertIsNone(DirectoryChangeLog().after(position(0)))

    def test_an_older_change_of_a_key_is_ignored(self):
        changes = DirectoryChangeLog()
        self.assertTrue(changes.put(entry("a", 5)))
        self.assertFalse(changes.put(entry("a", 5)))
        self.assertFalse(changes.put(entry("a", 4)))
        self.assertEqual(changes.get("a").position, position(5))

    def test_a_reader_older_than_the_snapshot_is_sent_to_the_store(self):
        changes = DirectoryChangeLog()
        changes.start(position(10))
        self.assertIsNone(changes.after(position(9)))
        self.assertEqual(changes.after(position(10)), [])

    def test_a_reader_that_lacks_a_dropped_removal_is_sent_to_the_store(self):
        changes = DirectoryChangeLog()
        changes.start(position(0))
        count = directory_change_log.MAX_REMOVALS + 1
        for number in range(count):
            changes.put(entry(f"k{number}", number + 1, removed=True))
        self.assertIsNone(changes.after(position(0)))
        self.assertEqual(len(changes.after(position(1))), count - 1)

    def test_readers_at_any_revision_end_with_the_contents_of_the_plain_log(self):
        generator = random.Random(7)
        for _ in range(50):
            changes = DirectoryChangeLog()
            changes.start(position(0))
            plain_log = []
            for revision in range(1, 60):
                change = entry(
                    f"k{generator.randrange(8)}", revision, removed=generator.random() < 0.3
                )
                plain_log.append(change)
                changes.put(change)
                start = generator.randrange(revision + 1)
                reader = {change.key: change for change in plain_log[:start]}
                for newer in changes.after(position(start)):
                    reader[newer.key] = newer
                self.assertEqual(reader, {change.key: change for change in plain_log})

    def test_a_change_of_a_later_era_is_newer_whatever_its_revision(self):
        changes = DirectoryChangeLog()
        changes.put(entry("a", 9))
        self.assertTrue(changes.put(entry("a", 4, era=1)))
        self.assertFalse(changes.put(entry("a", 12)))
        self.assertEqual(changes.get("a").position, position(4, era=1))

    def test_a_reader_of_an_earlier_era_gets_the_later_changes_of_both_eras(self):
        changes = DirectoryChangeLog()
        changes.start(position(0))
        for revision in (1, 2, 3):
            changes.put(entry(f"k{revision}", revision))
        changes.end_era(position(3))
        changes.put(entry("k9", 2, era=1))
        keys = [each.key for each in changes.after(position(2))]
        self.assertEqual(keys, ["k3", "k9"])
        self.assertEqual([each.key for each in changes.after(position(1, era=1))], ["k9"])

    def test_a_reader_that_knows_more_of_an_earlier_era_is_sent_to_the_store(self):
        changes = DirectoryChangeLog()
        changes.start(position(0))
        changes.put(entry("a", 3))
        changes.end_era(position(3))
        changes.put(entry("a", 2, era=1))
        self.assertIsNone(changes.after(position(4)))

    def test_a_reader_of_an_era_that_was_never_seen_is_sent_to_the_store(self):
        changes = DirectoryChangeLog()
        changes.start(position(0))
        changes.end_era(position(3))
        changes.put(entry("a", 2, era=2))
        self.assertIsNone(changes.after(position(1, era=1)))
