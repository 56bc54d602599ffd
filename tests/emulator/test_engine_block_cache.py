"""The emulated engine's prefix cache: examples, and fuzzing against a replay of its events."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from emulator.engine.block_cache import BlockCache
from hopstep.ports.engine import CacheEventKind
from tests import fuzz_settings

STORED, EVICTED = CacheEventKind.STORED, CacheEventKind.EVICTED
CAPACITY = 8


def chain(path):
    """Return the chained block keys along a path in a tree of prompts."""
    return [hash(tuple(path[: depth + 1])) for depth in range(len(path))]


class BlockCacheTest(unittest.TestCase):
    def setUp(self):
        self.events = []
        self.cache = BlockCache(4, lambda kind, keys: self.events.append((kind, keys)))

    def run_request(self, keys, private=0):
        matched = self.cache.match(keys, len(keys))
        needed_blocks = len(keys) - matched + private
        if not self.cache.reserve(keys[:matched], needed_blocks):
            return None
        self.cache.store(keys[matched:])
        self.cache.release(keys, private)
        return matched

    def test_least_recently_used_leaves_go_first(self):
        self.run_request([1, 2, 3])
        self.run_request([1, 9])
        self.run_request([1, 2])
        self.assertEqual(self.run_request([5, 6]), 0)
        self.assertEqual(
            self.events,
            [
                (STORED, (1, 2, 3)),
                (STORED, (9,)),
                (EVICTED, (3, 9)),
                (STORED, (5, 6)),
            ],
        )

    def test_held_blocks_are_never_evicted(self):
        self.cache.reserve([], 3)
        self.cache.store([1, 2, 3])
        self.assertIsNone(self.run_request([5, 6]))
        self.assertEqual(self.run_request([1, 2]), 2)
        self.cache.release([1, 2, 3], 0)
        self.assertEqual(self.run_request([5, 6]), 0)

    def test_matched_blocks_dont_count_as_room(self):
        self.run_request([1, 2, 3, 4])
        self.assertIsNone(self.run_request([1, 2, 3, 4], private=1))
        self.assertEqual(self.cache.free_block_ratio, 1.0)

    def test_drop_evictable_keeps_what_is_held(self):
        self.cache.reserve([], 1)
        self.cache.store([1])
        self.run_request([1, 2, 3])
        self.cache.drop_evictable()
        self.assertEqual([key in self.cache for key in (1, 2, 3)], [True, False, False])


class BlockCacheFuzzTest(unittest.TestCase):
    @fuzz_settings.settings()
    @given(
        st.lists(
            st.tuples(
                st.lists(st.integers(0, 2), min_size=1, max_size=5),
                st.integers(0, 3),
                st.integers(0, 3),
            ),
            max_size=40,
        )
    )
    def test_events_replay_to_the_cache(self, requests):
        replayed = set()

        def replay(kind, keys):
            changed = set(keys)
            self.assertEqual(len(changed), len(keys))
            self.assertEqual(changed & replayed, set() if kind is STORED else changed)
            replayed.symmetric_difference_update(changed)

        cache = BlockCache(CAPACITY, replay)
        running = []
        chains = set()
        for path, private, still_running in requests:
            keys = chain(path)
            chains.add(tuple(keys))
            matched = cache.match(keys, len(keys))
            self.assertEqual(
                matched, next((at for at, it in enumerate(keys) if it not in cache), len(keys))
            )
            if cache.reserve(keys[:matched], len(keys) - matched + private):
                cache.store(keys[matched:])
                running.append((keys, private))
            while len(running) > still_running:
                cache.release(*running.pop(0))
            held = {key for keys, _ in running for key in keys}
            reserved = sum(private for _, private in running)
            self.assertLessEqual(held, replayed)
            self.assertLessEqual(len(replayed) + reserved, CAPACITY)
            self.assertAlmostEqual(cache.free_block_ratio, 1 - (len(held) + reserved) / CAPACITY)
            for known in chains:
                cached = [key in replayed for key in known]
                self.assertEqual(
                    cached, sorted(cached, reverse=True), "a child outlived its parent"
                )


if __name__ == "__main__":
    unittest.main()
