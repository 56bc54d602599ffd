"""Newest changes by key, handed on by revision: against a plain log of all changes."""

import random
import unittest

from hopstep.domain.exchanges import directory_change_log
from hopstep.domain.exchanges.directory_change_log import DirectoryChangeLog, LoggedChange
from hopstep.domain.store_position import UNSPECIFIED_ERA, StorePosition


def position(revision, era=UNSPECIFIED_ERA):
    return StorePosition(era, revision)


def entry(key, revision, era=UNSPECIFIED_ERA, *, removed=False):
    return LoggedChange(key, position(revision, era), f"{key}@{revision}", float(revision), removed)


class DirectoryFeedTest(unittest.TestCase):
    def test_nothing_is_told_before_the_first_snapshot(self):
        self.assertIsNone(DirectoryChangeLog().after(position(0)))

    def test_an_older_change_of_a_key_is_not_taken(self):
        feed = DirectoryChangeLog()
        self.assertTrue(feed.put(entry("a", 5)))
        self.assertFalse(feed.put(entry("a", 5)))
        self.assertFalse(feed.put(entry("a", 4)))
        self.assertEqual(feed.get("a").position, position(5))

    def test_a_reader_older_than_the_snapshot_is_sent_to_the_store(self):
        feed = DirectoryChangeLog()
        feed.start(position(10))
        self.assertIsNone(feed.after(position(9)))
        self.assertEqual(feed.after(position(10)), [])

    def test_a_reader_that_lacks_a_forgotten_removal_is_sent_to_the_store(self):
        feed = DirectoryChangeLog()
        feed.start(position(0))
        count = directory_change_log.MAX_REMOVALS + 1
        for number in range(count):
            feed.put(entry(f"k{number}", number + 1, removed=True))
        self.assertIsNone(feed.after(position(0)))
        self.assertEqual(len(feed.after(position(1))), count - 1)

    def test_readers_at_any_revision_end_with_what_the_log_says(self):
        generator = random.Random(7)
        for _ in range(50):
            feed = DirectoryChangeLog()
            feed.start(position(0))
            log = []
            for revision in range(1, 60):
                change = entry(
                    f"k{generator.randrange(8)}", revision, removed=generator.random() < 0.3
                )
                log.append(change)
                feed.put(change)
                start = generator.randrange(revision + 1)
                reader = {change.key: change for change in log[:start]}
                for told in feed.after(position(start)):
                    reader[told.key] = told
                self.assertEqual(reader, {change.key: change for change in log})

    def test_a_change_of_a_later_era_is_newer_whatever_its_revision(self):
        feed = DirectoryChangeLog()
        feed.put(entry("a", 9))
        self.assertTrue(feed.put(entry("a", 4, era=1)))
        self.assertFalse(feed.put(entry("a", 12)))
        self.assertEqual(feed.get("a").position, position(4, era=1))

    def test_a_reader_of_an_earlier_era_is_told_what_came_after_it_in_both(self):
        feed = DirectoryChangeLog()
        feed.start(position(0))
        for revision in (1, 2, 3):
            feed.put(entry(f"k{revision}", revision))
        feed.end_era(position(3))
        feed.put(entry("k9", 2, era=1))
        told = [each.key for each in feed.after(position(2))]
        self.assertEqual(told, ["k3", "k9"])
        self.assertEqual([each.key for each in feed.after(position(1, era=1))], ["k9"])

    def test_a_reader_that_knows_more_of_an_earlier_era_is_sent_to_the_store(self):
        feed = DirectoryChangeLog()
        feed.start(position(0))
        feed.put(entry("a", 3))
        feed.end_era(position(3))
        feed.put(entry("a", 2, era=1))
        self.assertIsNone(feed.after(position(4)))

    def test_a_reader_of_an_era_that_was_never_seen_is_sent_to_the_store(self):
        feed = DirectoryChangeLog()
        feed.start(position(0))
        feed.end_era(position(3))
        feed.put(entry("a", 2, era=2))
        self.assertIsNone(feed.after(position(1, era=1)))
