import random
import unittest
from collections import OrderedDict, deque

from hopstep.domain.exchanges.engine_contents import (
    CONFIRMED_SECONDS,
    EVENT_DELAY_SECONDS,
    EngineContents,
)
from hopstep.domain.exchanges.request import PromptSegment
from hopstep.domain.exchanges.segments import SegmentIndex, segment_keys
from hopstep.domain.exchanges.store_contents import CacheEvent

MODEL = "m"
SALT = "1."
TOKENS = 100


def event(segment_id, tokens=TOKENS):
    return CacheEvent(SALT, segment_id, tokens, MODEL)


def keys(*segment_ids):
    return segment_keys(MODEL, SALT, (PromptSegment(name, TOKENS) for name in segment_ids))


def digests(*segment_ids):
    return tuple(key.digest for key in keys(*segment_ids))


class EngineContentsTest(unittest.TestCase):
    def setUp(self):
        self.index = SegmentIndex(100_000)
        self.contents = EngineContents(0.0)
        self.contents.take((), self.index, 0.0)

    def test_a_dropped_segment_is_reported(self):
        self.index.record(keys("a", "b"), 1.0)
        found = self.contents.take([event("a"), event("b"), event("b", 0)], self.index, 2.0)
        self.assertEqual((found.kept, found.dropped), ((), digests("b")))

    def test_a_segment_that_was_dropped_and_prefilled_again_needs_no_correction(self):
        self.index.record(keys("a"), 1.0)
        found = self.contents.take([event("a"), event("a", 0), event("a")], self.index, 2.0)
        self.assertTrue(found.is_empty)

    def test_a_reported_drop_is_withdrawn_when_the_segment_is_cached_again(self):
        self.index.record(keys("a"), 1.0)
        self.index.drop(self.contents.take([event("a", 0)], self.index, 2.0).dropped)
        found = self.contents.take([event("a")], self.index, 2.2)
        self.assertEqual((found.kept, found.dropped), (keys("a"), ()))

    def test_a_late_event_does_not_drop_segments_sent_since(self):
        self.contents.take([event("a")], self.index, 1.0)
        self.index.record(keys("a"), 5.0)
        for now in (4.9, 5.0 + EVENT_DELAY_SECONDS / 2):
            found = self.contents.take([event("a", 0)], self.index, now)
            self.assertTrue(found.is_empty)

    def test_a_segment_that_no_event_reports_in_time_is_dropped(self):
        self.index.record(keys("a", "b"), 1.0)
        self.contents.take([event("b")], self.index, 1.5)
        self.assertTrue(self.contents.take((), self.index, 1.0 + CONFIRMED_SECONDS).is_empty)
        found = self.contents.take((), self.index, 1.1 + CONFIRMED_SECONDS)
        self.assertEqual(found.dropped, digests("a"))

    def test_segments_sent_before_a_gap_stay_in_the_index(self):
        self.index.record(keys("before"), 1.0)
        self.contents.note_gap(2.0)
        self.index.record(keys("after"), 2.5)
        found = self.contents.take((), self.index, 9.0)
        self.assertEqual(found.dropped, digests("after"))

    def test_the_first_reading_reports_cached_segments(self):
        contents = EngineContents(5.0)
        self.index.record(keys("a"), 1.0)
        found = contents.take([event("a"), event("b")], self.index, 6.0)
        self.assertEqual((found.kept, found.dropped), (keys("b"), ()))
        self.assertTrue(contents.take([event("c")], self.index, 7.0).is_empty)

    def test_an_engine_that_starts_again_is_empty(self):
        self.index.record(keys("a"), 1.0)
        self.contents.take([event("a")], self.index, 1.2)
        self.contents.restart(3.0)
        self.index.record(keys("b"), 3.5)
        found = self.contents.take((), self.index, 9.0)
        self.assertEqual(found.dropped, digests("b"))


class FollowedEngineTest(unittest.TestCase):
    """An index that is corrected by events ends with the cache contents of a small engine."""

    def test_the_index_ends_with_the_cache_contents_of_the_engine(self):
        for seed in range(40):
            with self.subTest(seed=seed):
                self.check(random.Random(seed))

    def check(self, generator):
        index = SegmentIndex(100_000)
        contents = EngineContents(0.0)
        engine = OrderedDict()
        events = deque()
        capacity = generator.randrange(2, 12)
        now = 0.0
        for _ in range(300):
            now += generator.random() * 0.2
            name = f"s{generator.randrange(20)}"
            ran = generator.random() < 0.9
            index.record(keys(name), now)
            if ran:
                self.use(engine, name, capacity, events, now)
            self.read(contents, index, events, now, EVENT_DELAY_SECONDS / 2)
        now += CONFIRMED_SECONDS + 1.0
        self.read(contents, index, events, now, 0.0)
        known = {name for name in (f"s{n}" for n in range(20)) if digests(name)[0] in index}
        self.assertLessEqual(known, set(engine))
        self.assertGreaterEqual(len(known), len(engine) - 1)

    def use(self, engine, name, capacity, events, now):
        """Prefill a segment or find it cached; evict the least recently used ones."""
        if name not in engine:
            events.append((now, event(name)))
        engine[name] = True
        engine.move_to_end(name)
        while len(engine) > capacity:
            evicted, _ = engine.popitem(last=False)
            events.append((now, event(evicted, 0)))

    def read(self, contents, index, events, now, delay):
        """Read the events that are older than a delay, and correct the index."""
        due = []
        while events and events[0][0] <= now - delay:
            due.append(events.popleft()[1])
        found = contents.take(due, index, now)
        index.drop(found.dropped)
        index.record(found.kept, now)
