"""Newest changes by key, handed on by revision: against a plain log of all changes."""

import random
import unittest

from hopstep.domain.exchanges import directory_feed
from hopstep.domain.exchanges.directory_feed import DirectoryFeed, FeedEntry


def entry(key, revision, *, removed=False):
    return FeedEntry(key, revision, f"{key}@{revision}", float(revision), removed)


class DirectoryFeedTest(unittest.TestCase):
    def test_nothing_is_told_before_the_first_snapshot(self):
        self.assertIsNone(DirectoryFeed().after(0))

    def test_an_older_change_of_a_key_is_not_taken(self):
        feed = DirectoryFeed()
        self.assertTrue(feed.put(entry("a", 5)))
        self.assertFalse(feed.put(entry("a", 5)))
        self.assertFalse(feed.put(entry("a", 4)))
        self.assertEqual(feed.get("a").revision, 5)

    def test_a_reader_older_than_the_snapshot_is_sent_to_the_store(self):
        feed = DirectoryFeed()
        feed.start(10)
        self.assertIsNone(feed.after(9))
        self.assertEqual(feed.after(10), [])

    def test_a_reader_that_lacks_a_forgotten_removal_is_sent_to_the_store(self):
        feed = DirectoryFeed()
        feed.start(0)
        count = directory_feed.MAX_REMOVALS + 1
        for number in range(count):
            feed.put(entry(f"k{number}", number + 1, removed=True))
        self.assertIsNone(feed.after(0))
        self.assertEqual(len(feed.after(1)), count - 1)

    def test_readers_at_any_revision_end_with_what_the_log_says(self):
        generator = random.Random(7)
        for _ in range(50):
            feed = DirectoryFeed()
            feed.start(0)
            log = []
            for revision in range(1, 60):
                change = entry(
                    f"k{generator.randrange(8)}", revision, removed=generator.random() < 0.3
                )
                log.append(change)
                feed.put(change)
                start = generator.randrange(revision + 1)
                reader = {change.key: change for change in log[:start]}
                for told in feed.after(start):
                    reader[told.key] = told
                self.assertEqual(reader, {change.key: change for change in log})
