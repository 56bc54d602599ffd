"""Engines of unequal speed get prompts by their learned speed."""

import heapq
import random
import unittest

from hopstep.domain.exchanges.instance_view import InstanceView
from hopstep.domain.exchanges.instances import Instance
from hopstep.domain.exchanges.load_ledger import InstanceLoad
from hopstep.domain.exchanges.read_speed import (
    MAX_SLOWNESS,
    MIN_SLOWNESS,
    READ_SECONDS_PER_TOKEN,
    WINDOW_SECONDS,
    ReadSums,
    ReadWindow,
    learned_slowness,
)
from hopstep.domain.exchanges.segment_moves import EngineRequest
from hopstep.domain.exchanges.selection import choose_engine

SPEEDS = (0.8, 0.8, 1.0, 2.4, 2.4)
"""Slowness of the engines of the replay."""


def make_view(name="e0", slots=16):
    return InstanceView(Instance(name, "llm", "10.0.0.1:1", "z", slots), 150_000)


class ReadWindowTest(unittest.TestCase):
    def test_sums_cover_the_window_only(self):
        window = ReadWindow()
        window.add(0.5, 20_000, 1.0)
        window.add(0.25, 20_000, 1.5)
        self.assertEqual(window.sums(2.0), ReadSums(750, 1_000))
        self.assertEqual(window.sums(3.0 + WINDOW_SECONDS), ReadSums())

    def test_memory_is_bounded(self):
        window = ReadWindow()
        for step in range(10_000):
            window.add(0.1, 2_000, step / 100)
            window.sums(step / 100)
        self.assertLessEqual(len(window._seconds), WINDOW_SECONDS + 2)


class SlownessTest(unittest.TestCase):
    def test_instances_without_observations_get_the_median(self):
        observed = [ReadSums(6, 10), ReadSums(20, 10), ReadSums(), ReadSums(10, 10)]
        many = [
            ReadSums(sums.read_ms * 10_000, sums.expected_read_ms * 10_000) for sums in observed
        ]
        for slowness, expected in zip(learned_slowness(many), (0.6, 2.0, 1.0, 1.0), strict=True):
            self.assertAlmostEqual(slowness, expected, delta=0.01)
        self.assertEqual(learned_slowness([ReadSums(), ReadSums()]), [1.0, 1.0])

    def test_a_load_of_all_instances_makes_none_of_them_slow(self):
        # Under a burst every estimate doubled, so that no engine seemed to be in time.
        observed = [ReadSums(30_000, 10_000)] * 3
        self.assertEqual(learned_slowness(observed), [1.0, 1.0, 1.0])

    def test_small_differences_are_none(self):
        # Engines of one speed changed places as the slow ones by their loads.
        observed = [
            ReadSums(90_000, 100_000),
            ReadSums(100_000, 100_000),
            ReadSums(120_000, 100_000),
        ]
        self.assertEqual(learned_slowness(observed), [1.0, 1.0, 1.0])

    def test_few_observations_change_little(self):
        observed = [ReadSums(100_000, 100_000)] * 2 + [ReadSums(300, 100)]
        self.assertLess(learned_slowness(observed)[2], 1.5)

    def test_it_is_limited(self):
        self.assertEqual(
            learned_slowness(
                [ReadSums(1, 10_000), ReadSums(10_000, 10_000), ReadSums(90_000, 10_000)]
            ),
            [MIN_SLOWNESS, 1.0, MAX_SLOWNESS],
        )


class ObservationTest(unittest.TestCase):
    """Only prefills with much work show a speed: others would teach delays of other causes."""

    def observed(self, view, tokens, **options):
        view.begin("r", tokens, 1.0, **options)
        view.first_byte("r", tokens, 2.0, shows_speed=True)
        return view.read_sums(2.0)

    def test_pending_tokens_count_as_work(self):
        view = make_view()
        view.set_load_of_others(InstanceLoad("e0", 1, 30_000), 1.0)
        self.assertEqual(self.observed(view, 10_000), ReadSums(1_000, 1_000))

    def test_short_prompts_are_not_observed(self):
        self.assertEqual(self.observed(make_view(), 900), ReadSums())

    def test_prompts_that_wait_for_a_slot_are_not_observed(self):
        view = make_view(slots=2)
        view.active = 2
        self.assertEqual(self.observed(view, 10_000), ReadSums())

    def test_prompts_whose_segments_are_moved_first_are_not_observed(self):
        self.assertEqual(self.observed(make_view(), 10_000, moves_segments=True), ReadSums())

    def test_a_failure_response_is_not_observed(self):
        view = make_view()
        view.begin("r", 10_000, 1.0)
        view.first_byte("r", 10_000, 1.01)
        self.assertEqual(view.read_sums(1.1), ReadSums())

    def test_a_pause_of_this_node_is_not_the_instances(self):
        view = make_view()
        view.begin("r", 10_000, 1.0)
        view.discount_pause(5.0)
        view.first_byte("r", 10_000, 6.25, shows_speed=True)
        self.assertEqual(view.read_sums(6.25), ReadSums(250, 250))


class ReportTest(unittest.TestCase):
    def test_the_observations_of_all_nodes_add_up(self):
        view = make_view()
        view.set_load_of_others(InstanceLoad("e0", 0, 0, 0, 300, 100), 1.0)
        view.begin("r", 4_000, 1.0)
        view.first_byte("r", 4_000, 1.1, shows_speed=True)
        self.assertEqual(view.read_sums(1.2), ReadSums(400, 200))


class UnequalEnginesTest(unittest.TestCase):
    """Prompts of 4,000 uncached tokens at engines that prefill one after the other."""

    def late_answers(self, *, learns):
        generator = random.Random(5)
        views = [make_view(f"e{number}") for number in range(len(SPEEDS))]
        true = dict(zip(views, SPEEDS, strict=True))
        free_at = dict.fromkeys(views, 0.0)
        request = EngineRequest(lambda _view: (), "m", 4_000, float("inf"))
        events = [(0.025 * n, n, "send", None) for n in range(1, 1_500)]
        late = 0
        while events:
            now, number, kind, view = heapq.heappop(events)
            if kind == "send":
                view = choose_engine(views, (), request, now, generator).view
                view.begin(str(number), 4_000, now)
                work = 4_000 * READ_SECONDS_PER_TOKEN * true[view]
                free_at[view] = max(now, free_at[view]) + work
                late += free_at[view] - now > 0.4
                heapq.heappush(events, (free_at[view], number, "answer", view))
                continue
            view.first_byte(str(number), 4_000, now, shows_speed=True)
            view.end(str(number), 4_000)
            if learns:
                learned = learned_slowness([view.read_sums(now) for view in views])
                for each, slowness in zip(views, learned, strict=True):
                    each.slowness = slowness
        return late, [view.slowness for view in views]

    def test_fewer_answers_are_late_by_learned_speeds(self):
        before, _assumed = self.late_answers(learns=False)
        after, learned = self.late_answers(learns=True)
        self.assertLess(after, before / 2)
        for slowness, true in zip(learned, SPEEDS, strict=True):
            self.assertAlmostEqual(slowness, true, delta=0.3 * true)
