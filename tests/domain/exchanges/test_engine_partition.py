import unittest

from hopstep.domain.exchanges.engine_partition import NO_PARTITION, plan_partition
from hopstep.domain.exchanges.instance_view import InstanceView
from hopstep.domain.exchanges.instances import Instance
from hopstep.domain.exchanges.route_work import WINDOW_SECONDS, RouteWork, RouteWorkWindow
from hopstep.domain.exchanges.segment_moves import NO_PREFERENCE

SHORT = RouteWork(0.423, 1_000, 383_000, 291_000)
LONG = RouteWork(0.863, 100, 1_702_000, 1_702_000)


def views(count=12, slowness=1.0):
    made = [InstanceView(Instance(f"e{n}", "llm", f"e:{n}", "z1", 16)) for n in range(count)]
    for view in made:
        view.slowness = slowness
    return made


class PlanPartitionTest(unittest.TestCase):
    def test_engines_are_kept_for_objectives_shorter_than_a_long_prompt(self):
        plan = plan_partition({"short": SHORT, "long": LONG}, views())
        self.assertEqual((plan.routes, len(plan.engines)), ({"short"}, 2))
        kept = next(iter(plan.engines))
        self.assertGreater(plan.preference("long", 17_000).cost_at(kept), 0.863)
        self.assertEqual(plan.preference("long", 17_000).cost_at("other"), 0.0)
        self.assertEqual(plan.preference("short", 383).cost_at(kept), 0.0)
        self.assertGreater(plan.preference("short", 383).cost_at("other"), 0.0)

    def test_nothing_is_kept_when_the_objective_tolerates_a_long_prompt(self):
        """Otherwise engines are lost to long prompts although nothing is gained."""
        tolerant = RouteWork(2.023, 1_000, 383_000, 291_000)
        plan = plan_partition({"short": tolerant, "long": LONG}, views())
        self.assertIs(plan, NO_PARTITION)
        self.assertIs(plan.preference("long", 17_000), NO_PREFERENCE)

    def test_nothing_is_kept_without_long_prompts_or_for_one_engine(self):
        self.assertIs(plan_partition({"short": SHORT}, views()), NO_PARTITION)
        self.assertIs(plan_partition({"short": SHORT, "other": SHORT}, views()), NO_PARTITION)
        work = {"short": SHORT, "long": LONG}
        self.assertIs(plan_partition(work, views(1)), NO_PARTITION)

    def test_the_share_of_the_work_decides_within_bounds(self):
        for uncached, kept in ((10_000, 6), (851_000, 12), (9_000_000, 18)):
            work = {"short": RouteWork(0.423, 10_000, 3_830_000, uncached), "long": LONG}
            self.assertEqual(len(plan_partition(work, views(36)).engines), kept)

    def test_nodes_keep_the_same_engines_whatever_order_they_know_them_in(self):
        """Otherwise each engine is free of the long prompts of some nodes only."""
        work = {"short": SHORT, "long": LONG}
        more = {"short": RouteWork(0.423, 9_000, 3_447_000, 900_000), "long": LONG}
        first = plan_partition(work, views(36)).engines
        self.assertEqual(plan_partition(work, views(36)[::-1]).engines, first)
        self.assertLess(first, plan_partition(more, views(36)).engines)

    def test_speeds_near_the_limit_do_not_start_and_end_it_again_and_again(self):
        """Otherwise the segments of long prompts are prefilled again with each change."""
        work = {"short": SHORT, "long": LONG}
        plan = plan_partition(work, views(slowness=1.0))
        self.assertIs(plan_partition(work, views(slowness=0.8)), NO_PARTITION)
        self.assertEqual(plan_partition(work, views(slowness=0.8), plan).routes, {"short"})
        self.assertIs(plan_partition(work, views(slowness=0.6), plan), NO_PARTITION)


class RouteWorkWindowTest(unittest.TestCase):
    def test_only_recent_prompts_count(self):
        window = RouteWorkWindow()
        for second in range(40):
            window.record("short", RouteWork(0.5, 1, 400, 300), float(second))
        work = window.by_route(39.0)["short"]
        self.assertEqual((work.requests, work.usual_prompt_tokens), (11, 400.0))
        self.assertEqual(window.by_route(39.0 + 2 * WINDOW_SECONDS), {})
