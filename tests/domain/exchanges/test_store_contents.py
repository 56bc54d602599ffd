import random
import unittest

from hopstep.domain.exchanges.request import PromptSegment
from hopstep.domain.exchanges.segments import segment_keys
from hopstep.domain.exchanges.store_contents import (
    PUSH_SECONDS,
    CacheEvent,
    StoreContents,
    choose_push_target,
)

SEGMENTS = (PromptSegment("a", 100), PromptSegment("b", 50))
KEYS = segment_keys("m", "1.", SEGMENTS)


def kept(segment_id, tokens=100, salt="1."):
    return CacheEvent(salt, segment_id, tokens, "m")


class StoreContentsTest(unittest.TestCase):
    def contents(self, *events):
        contents = StoreContents()
        contents.reachable = True
        contents.apply(events)
        return contents

    def tokens(self, contents, salt="1."):
        return contents.cached_tokens(segment_keys("m", salt, SEGMENTS))

    def test_leading_segments_count(self):
        self.assertEqual(self.tokens(self.contents(kept("a"), kept("b"))), 150)
        self.assertEqual(self.tokens(self.contents(kept("a"))), 100)
        self.assertEqual(self.tokens(self.contents(kept("b"))), 0)

    def test_dropped_segments_and_other_salts_do_not_count(self):
        contents = self.contents(kept("a"), kept("a", 0))
        self.assertEqual(self.tokens(contents), 0)
        self.assertEqual(self.tokens(self.contents(kept("a")), "2."), 0)

    def test_nothing_counts_while_the_store_is_unreachable(self):
        contents = self.contents(kept("a"))
        contents.reachable = False
        self.assertEqual(self.tokens(contents), 0)
        self.assertFalse(contents.claim_push(KEYS, 0.0))

    def test_a_segment_is_saved_again_only_after_some_time(self):
        contents = self.contents()
        self.assertTrue(contents.claim_push(KEYS, 5.0))
        self.assertFalse(contents.claim_push(KEYS, 5.0 + PUSH_SECONDS / 2))
        self.assertTrue(contents.claim_push(KEYS, 5.0 + PUSH_SECONDS))

    def test_stored_segments_are_not_saved_again(self):
        contents = self.contents(kept("a"), kept("b"))
        self.assertFalse(contents.claim_push(KEYS, 5.0))


class FollowingTest(unittest.TestCase):
    """A node that follows another one by change numbers ends with the same contents."""

    def tokens(self, contents, count=40):
        return [
            contents.cached_tokens(segment_keys("m", "1.", (PromptSegment(f"s{number}", 10),)))
            for number in range(count)
        ]

    def follow(self, follower, source, limit=7):
        follower.take(source.updates_after(follower.position, limit))

    def test_followers_of_followers_end_with_the_same_contents(self):
        generator = random.Random(9)
        source, first, second = (StoreContents("a") for _ in range(3))
        source.clear("one")
        source.reachable = True
        for step in range(400):
            number = generator.randrange(40)
            source.apply([kept(f"s{number}", generator.choice((0, 10)))])
            if step == 200:
                source.clear("two")
            if generator.random() < 0.3:
                self.follow(first, source)
            if generator.random() < 0.3:
                self.follow(second, generator.choice((first, source)))
        for _ in range(40):
            self.follow(first, source)
            self.follow(second, first)
        self.assertEqual(self.tokens(first), self.tokens(source))
        self.assertEqual(self.tokens(second), self.tokens(source))

    def test_updates_that_do_not_continue_at_the_known_position_change_nothing(self):
        source, follower = StoreContents("a"), StoreContents("a")
        source.clear("one")
        source.reachable = True
        source.apply([kept("s1", 10)])
        late = source.updates_after(follower.position, 9)
        source.apply([kept("s1", 0)])
        self.follow(follower, source)
        follower.take(late)
        self.assertEqual(self.tokens(follower, 3), [0, 0, 0])


class ChoosePushTargetTest(unittest.TestCase):
    """A prompt's shared segments are saved to one of several stores."""

    STORES = 3
    CAPACITY = 40
    PROMPTS = 100

    def stores(self):
        stores = [StoreContents(f"10.0.0.{number}:1") for number in range(self.STORES)]
        for store in stores:
            store.reachable = True
        return stores

    def found(self, choose):
        """Return the part of requests whose prompt some store holds, least recent ones dropped."""
        generator = random.Random(1)
        stores = self.stores()
        held = {store.address: {} for store in stores}
        found = 0
        requests = 4_000
        for number in range(requests):
            prompt = str(generator.randrange(self.PROMPTS))
            found += any(prompt in kept for kept in held.values())
            keys = segment_keys("m", "1.", (PromptSegment(prompt, 100),))
            address = choose(stores, keys, number * PUSH_SECONDS)
            if not address:
                continue
            store = next(store for store in stores if store.address == address)
            held[address][prompt] = True
            store.apply([kept(prompt)])
            if len(held[address]) > self.CAPACITY:
                dropped = next(iter(held[address]))
                del held[address][dropped]
                store.apply([kept(dropped, 0)])
        return found / requests

    def test_more_prompts_than_one_store_holds_are_kept_by_all_together(self):
        # Each prompt was saved to every store in turn, so the stores dropped what others lacked.
        def first_without(stores, keys, now):
            return next((store.address for store in stores if store.claim_push(keys, now)), "")

        self.assertGreater(self.found(choose_push_target), 0.95)
        self.assertLess(self.found(first_without), 0.75)

    def test_all_nodes_choose_the_same_store(self):
        targets = {choose_push_target(self.stores(), KEYS, 5.0) for _ in range(5)}
        self.assertEqual(len(targets), 1)

    def test_an_unreachable_home_is_replaced_by_another_store(self):
        stores = self.stores()
        home = choose_push_target(stores, KEYS, 5.0)
        for store in stores:
            store.reachable = store.address != home
        other = choose_push_target(stores, KEYS, 5.0)
        self.assertNotIn(other, ("", home))

    def test_what_another_store_holds_is_not_saved_again(self):
        stores = self.stores()
        home = choose_push_target(stores, KEYS, 5.0)
        other = next(store for store in stores if store.address != home)
        other.apply([kept("a", 100), kept("b", 50)])
        self.assertEqual(choose_push_target(stores, KEYS, 5.0 + 2 * PUSH_SECONDS), "")
