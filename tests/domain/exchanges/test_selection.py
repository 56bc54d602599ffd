import random
import unittest
from collections import Counter

import msgspec

from hopstep.domain.exchanges.instance_view import InstanceView
from hopstep.domain.exchanges.instances import Instance
from hopstep.domain.exchanges.load_ledger import InstanceLoad
from hopstep.domain.exchanges.prompt_work import prompt_work
from hopstep.domain.exchanges.request import PromptSegment
from hopstep.domain.exchanges.segment_moves import EnginePreference, EngineRequest, StoreSource
from hopstep.domain.exchanges.segments import SegmentIndex, segment_keys
from hopstep.domain.exchanges.selection import _distance, choose_engine, choose_server
from hopstep.domain.exchanges.spread_choice import ChoiceBounds

MODEL = "m"
SEGMENTS = (PromptSegment("a", 4_000), PromptSegment("b", 3_000), PromptSegment("c", 500))
TOKENS = sum(segment.tokens for segment in SEGMENTS)
KEYS = segment_keys(MODEL, "1.", SEGMENTS)
NOW = 50.0


def view(name, zone="z1", version=1, slots=4):
    instance = Instance(name, "llm", f"10.0.0.1:{name}", zone, slots, versions={MODEL: version})
    return InstanceView(instance, 100_000)


def request(stores=(), move_seconds=1e-6):
    return EngineRequest(lambda _view: KEYS, MODEL, TOKENS, move_seconds, stores)


def choose(views, **options):
    return choose_engine(views, views, request(**options), NOW, random.Random(1))


class ChooseEngineTest(unittest.TestCase):
    def test_the_engine_with_cached_segments_is_chosen(self):
        views = [view(str(number)) for number in range(5)]
        views[3].segments.record(KEYS)
        chosen = choose(views)
        self.assertIs(chosen.view, views[3])
        self.assertEqual((chosen.uncached_tokens, chosen.source), (0, ""))

    def test_a_loaded_engine_is_avoided_and_its_segments_are_moved(self):
        views = [view("0"), view("1")]
        views[0].segments.record(KEYS)
        views[0].pending_tokens = 60_000
        chosen = choose(views)
        self.assertIs(chosen.view, views[1])
        self.assertEqual((chosen.source, chosen.uncached_tokens), ("10.0.0.1:0", 0))

    def test_the_load_of_other_nodes_counts_until_it_is_old(self):
        views = [view("0"), view("1")]
        views[0].set_load_of_others(InstanceLoad("0", 9, 50_000), NOW - 0.1)
        self.assertIs(choose(views).view, views[1])
        views[0].set_load_of_others(InstanceLoad("0", 9, 50_000), NOW - 5.0)
        views[1].set_load_of_others(InstanceLoad("1", 9, 50_000), NOW - 0.1)
        self.assertIs(choose(views).view, views[0])

    def test_nothing_is_moved_from_an_engine_with_other_weights(self):
        views = [view("0"), view("1", version=2)]
        views[1].segments.record(KEYS)
        views[1].pending_tokens = 90_000
        chosen = choose(views)
        self.assertIs(chosen.view, views[0])
        self.assertEqual(chosen.source, "")

    def test_a_cache_store_serves_segments_that_no_engine_has_cached(self):
        store = StoreSource("10.9.0.1:1", "z2", 1e-6, lambda _view: 7_000)
        chosen = choose([view("0")], stores=(store,))
        self.assertEqual((chosen.source, chosen.uncached_tokens), ("10.9.0.1:1", 500))

    def test_a_source_in_the_same_zone_is_preferred(self):
        views = [view("0"), view("far", zone="z2"), view("near")]
        for source in views[1:]:
            source.segments.record(KEYS)
            source.pending_tokens = 90_000
        self.assertEqual(choose(views).source, "10.0.0.1:near")

    def test_long_prompts_avoid_engines_that_decode_many_requests(self):
        views = [view("0"), view("1")]
        views[0].active = 20
        self.assertIs(choose(views).view, views[1])

    def test_engines_of_the_own_zone_are_preferred_among_equals(self):
        views = [view(str(number), zone=f"z{number}") for number in range(4)]
        chosen = choose_engine(
            views,
            views,
            EngineRequest(lambda _view: KEYS, MODEL, TOKENS, 1e-6, (), "z2", 0.02),
            NOW,
            random.Random(1),
        )
        self.assertIs(chosen.view, views[2])

    def test_engines_with_older_weights_are_avoided_unless_the_others_are_busy(self):
        views = [view("0"), view("1", version=2)]
        preferring = EngineRequest(lambda _view: KEYS, MODEL, TOKENS, 1e-6, preferred_version=2)
        chosen = choose_engine(views, views, preferring, NOW, random.Random(1))
        self.assertIs(chosen.view, views[1])
        views[1].pending_tokens = 90_000
        chosen = choose_engine(views, views, preferring, NOW, random.Random(1))
        self.assertIs(chosen.view, views[0])

    def test_an_engine_that_other_nodes_avoid_is_not_preferred(self):
        views = [view("0"), view("1")]
        for first, second in (views, views[::-1]):
            first.set_load_of_others(InstanceLoad(first.instance.instance_id, avoided_by=2), NOW)
            second.set_load_of_others(None, NOW)
            self.assertIs(choose(views).view, second)

    def test_an_engine_with_more_requests_than_slots_is_expected_to_start_later(self):
        """Otherwise a full engine with little left to prefill looks better than one with slots."""
        views = [view("0"), view("1")]
        views[0].active, views[1].active = 12, 2
        views[1].pending_tokens = 2_000
        answering = msgspec.structs.replace(request(), answer_tokens=20)
        chosen = choose_engine(views, views, answering, NOW, random.Random(1))
        self.assertIs(chosen.view, views[1])

    def test_slower_engines_get_their_learned_time(self):
        views = [view("0"), view("1")]
        views[0].slowness, views[1].slowness = 1.6, 0.8
        views[1].pending_tokens = 3_000
        chosen = choose(views)
        self.assertIs(chosen.view, views[1])
        self.assertAlmostEqual(chosen.read_seconds, 0.8 * (3_000 + TOKENS) / 40_000)

    def test_faster_engines_are_the_home_of_more_segments(self):
        """Otherwise slow engines get as many long prompts as fast ones."""
        views = [view(str(number)) for number in range(6)]
        for slow in views[3:]:
            slow.slowness = 2.0
        homes = Counter()
        for number in range(2_000):
            segments = (PromptSegment(f"shared {number}", 1), PromptSegment("own", 1))
            keys = segment_keys(MODEL, "1.", segments)
            asked = EngineRequest(lambda _view, keys=keys: keys, MODEL, 2, 1e-6)
            homes[choose_engine(views, views, asked, NOW, random.Random(1)).view.slowness] += 1
        self.assertAlmostEqual(homes[1.0] / homes[2.0], 2.0, delta=0.4)

    def test_all_nodes_choose_the_same_few_second_homes_when_the_first_one_would_be_late(self):
        """Otherwise the segments of a loaded engine are prefilled again at all of the others."""
        views = [view(str(number)) for number in range(8)]
        asked = EngineRequest(lambda _view: KEYS, MODEL, TOKENS, 1.0, objective_seconds=0.5)
        asked = msgspec.structs.replace(asked, nodes=24)

        def choices():
            chosen = (choose_engine(views, (), asked, NOW, random.Random(s)) for s in range(24))
            return {int(candidate.view.instance.instance_id) for candidate in chosen}

        by_distance = sorted(range(8), key=lambda number: _distance(views[number], KEYS))
        self.assertEqual(choices(), {by_distance[0]})
        views[by_distance[0]].pending_tokens = 20_000
        self.assertLessEqual(choices(), set(by_distance[1:4]))

    def test_newer_weights_and_the_own_zone_yield_to_the_objective(self):
        """Otherwise prompts are late at the few engines that have loaded new weights."""
        views = [view("0"), view("1", version=2)]
        views[0].instance = msgspec.structs.replace(views[0].instance, zone="z2")
        views[1].pending_tokens = 6_000
        asked = EngineRequest(lambda _view: KEYS, MODEL, TOKENS, 1e-6, (), "z1", 0.05, 2)
        for objective, expected in ((1.0, views[1]), (0.3, views[0])):
            asked = msgspec.structs.replace(asked, objective_seconds=objective)
            chosen = choose_engine(views, views, asked, NOW, random.Random(1))
            self.assertIs(chosen.view, expected)

    def test_another_zone_is_chosen_when_the_own_one_lacks_capacity(self):
        """Otherwise instances of the own zone reject requests that others would serve."""
        views = [view("0"), view("1", zone="z2")]
        views[0].active = 8
        asked = EngineRequest(lambda _view: KEYS, MODEL, TOKENS, 1e-6, (), "z1", 5.0)
        chosen = choose_engine(views, views, asked, NOW, random.Random(1))
        self.assertIs(chosen.view, views[1])
        views[0].active = 7
        chosen = choose_engine(views, views, asked, NOW, random.Random(1))
        self.assertIs(chosen.view, views[0])

    def test_kept_engines_that_fail_or_fill_up_are_passed_over(self):
        """Otherwise the requests for which engines are kept fail with them."""
        views = [view("0"), view("1")]
        preference = EnginePreference(frozenset({"0"}), other_seconds=0.3)
        asked = msgspec.structs.replace(request(), engine_preference=preference)
        asked = msgspec.structs.replace(asked, objective_seconds=0.4)
        chosen = choose_engine(views, views, asked, NOW, random.Random(1))
        self.assertIs(chosen.view, views[0])
        views[0].failed(NOW, unreachable=True)
        chosen = choose_engine(views, views, asked, NOW, random.Random(1))
        self.assertIs(chosen.view, views[1])
        views[0].succeeded(0.1)
        views[0].pending_tokens = 20_000
        chosen = choose_engine(views, views, asked, NOW, random.Random(1))
        self.assertIs(chosen.view, views[1])

    def test_no_engines_no_choice(self):
        self.assertIsNone(choose([]))


class ChooseServerTest(unittest.TestCase):
    def test_the_server_with_fewest_requests_a_slot_is_chosen(self):
        views = [view("0", slots=2), view("1", slots=8)]
        views[0].active = views[1].active = 2
        self.assertIs(choose_server(views, NOW, random.Random(1)).view, views[1])

    def test_servers_of_the_own_zone_are_preferred_among_equals(self):
        views = [view(str(number), zone=f"z{number}") for number in range(4)]
        chosen = choose_server(views, NOW, random.Random(1), "z3", 0.02)
        self.assertIs(chosen.view, views[3])

    def test_another_zone_is_chosen_when_the_own_one_would_be_late(self):
        views = [view("0"), view("1", zone="z2")]
        views[0].active = 7
        for objective, expected in ((1.0, views[0]), (0.2, views[1])):
            bounds = ChoiceBounds(objective, sampling=False)
            chosen = choose_server(views, NOW, random.Random(1), "z1", 0.5, bounds)
            self.assertIs(chosen.view, expected)

    def test_slow_and_failing_servers_are_avoided(self):
        views = [view("0"), view("1"), view("2")]
        for _ in range(10):
            views[0].failed(NOW, unreachable=False)
            views[1].succeeded(2.0)
            views[2].succeeded(0.05)
        self.assertIs(choose_server(views, NOW, random.Random(1)).view, views[2])


class SegmentIndexTest(unittest.TestCase):
    def test_a_segment_counts_only_after_all_segments_before_it(self):
        index = SegmentIndex(100_000)
        index.record(KEYS[1:])
        self.assertEqual(index.cached_tokens(KEYS), 0)
        index.record(KEYS[:1])
        self.assertEqual(index.cached_tokens(KEYS), TOKENS)

    def test_other_salts_never_match(self):
        index = SegmentIndex(100_000)
        index.record(KEYS)
        for salt in ("2.", "1.t"):
            self.assertEqual(index.cached_tokens(segment_keys(MODEL, salt, SEGMENTS)), 0)

    def test_the_least_recently_used_are_evicted(self):
        index = SegmentIndex(10_000)
        for number in range(20):
            index.record(segment_keys(MODEL, "1.", (PromptSegment(str(number), 1_000),)))
        self.assertEqual(len(index), 10)
        newest = segment_keys(MODEL, "1.", (PromptSegment("19", 1_000),))
        self.assertEqual(index.cached_tokens(newest), 1_000)


class InstanceViewTest(unittest.TestCase):
    def test_consecutive_failures_suspend_for_longer_and_a_success_ends_it(self):
        server = view("0")
        server.failed(NOW, unreachable=True)
        first = server.suspended_until - NOW
        server.failed(NOW, unreachable=True)
        self.assertGreater(server.suspended_until - NOW, first)
        self.assertFalse(server.is_usable(NOW))
        server.succeeded(0.1)
        self.assertTrue(server.is_usable(NOW))

    def test_new_weights_clear_the_index(self):
        engine = view("0")
        engine.segments.record(KEYS)
        engine.learn_version(MODEL, 2)
        self.assertEqual(engine.segments.cached_tokens(KEYS), 0)


class PromptWorkTest(unittest.TestCase):
    def test_many_short_prompts_take_longer_than_their_tokens(self):
        # Engines with a hundred short prompts pending were taken for nearly idle, and filled up.
        short, long = view("short"), view("long")
        for number in range(100):
            short.begin(str(number), prompt_work(100), NOW)
        long.begin("long", prompt_work(20_000), NOW)
        for engine in (short, long):
            engine.active = 0
        self.assertIs(choose([short, long]).view, long)
