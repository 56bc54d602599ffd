"""Loads of weights under a burst: replayed without a network, against the rules before."""

import math
import unittest
from collections import Counter

from hopstep.domain.exchanges.instance_view import InstanceView
from hopstep.domain.exchanges.instances import Instance, NamedWeights
from hopstep.domain.exchanges.load_ledger import InstanceLoad
from hopstep.domain.exchanges.load_schedule import DRAIN_SECONDS, RolloutState, plan_loads
from hopstep.domain.exchanges.segments import SegmentKey
from hopstep.domain.exchanges.weights import NamedWeightsTable, WeightsBounds, engines_behind

MODEL = "m"
SLOTS = 32
ENGINES = 30
BOUNDS = WeightsBounds(15.0)
LOAD_SECONDS = 1.1
FAST_LOADS = 12
"""Loads at once without slowing each other down."""

LATE_AFTER_SECONDS = 1.5
"""Time after a naming from which an answer on older weights is worth less."""


def engine(name, version=1, active=0, pending=0, now=0.0):
    instance = Instance(name, "llm", f"10.0.0.1:{name}", "z1", SLOTS, versions={MODEL: version})
    view = InstanceView(instance, 100_000)
    view.set_load_of_others(InstanceLoad(view.incarnation, active, pending), now)
    return view


def table(*namings, bounds=BOUNDS, measured=True):
    weights = NamedWeightsTable(bounds)
    for version, since in enumerate(namings, start=2):
        weights.put(NamedWeights(MODEL, version), since)
    if measured:
        weights.record_load(LOAD_SECONDS)
    return weights


def state(weights, views, now, occupied=(), resting=(), objective=0.5):
    return RolloutState(weights, MODEL, views, set(occupied), set(resting), objective, now)


def plan(weights, views, now, **options):
    return plan_loads(state(weights, views, now, **options))


def started(load_plan):
    return [start.view.instance.instance_id for start in load_plan.starts]


def half_at_once(known):
    """Return the engines to order now by the rules before: half of them, whatever runs."""
    weights, now, engines = known.table, known.now, known.engines
    behind = [view for view in engines if view.versions[MODEL] < weights.newest(MODEL)]
    if not behind:
        return []
    behind.sort(key=lambda view: (view.versions[MODEL], view.active))
    count = weights.first_wave(len(engines)) - (len(engines) - len(behind))
    oldest = behind[0].versions[MODEL]
    if now >= weights.due_at(MODEL, len(behind), known.together, oldest):
        count = len(behind)
    idle = [view for view in behind[: max(0, count)] if view.incarnation not in known.occupied]
    return [(view, now + 0.15) for view in idle[: known.free]]


def by_capacity(known):
    """Return the engines to order, with the time of the order; their streams never end before."""
    return [
        (start.view, max(known.now + 0.15, min(known.now + DRAIN_SECONDS, start.order_by)))
        for start in plan_loads(known).starts
    ]


class Replay:
    """Engines that load while others serve; the requests spread evenly over those that serve."""

    step = 0.05

    def __init__(self, choose, running, namings, seconds=40.0):
        self.choose, self.running, self.namings = choose, running, namings
        self.weights = table(measured=False)
        self.views = [engine(f"e{number}") for number in range(ENGINES)]
        self.order_at, self.loading = {}, {}
        self.counts = Counter()
        self.fewest_serving = ENGINES
        self.late_engines = []
        for tick in range(round(seconds / self.step)):
            self._advance(tick * self.step)

    def _advance(self, now):
        for version, since in enumerate(self.namings, start=2):
            if now >= since:
                self.weights.put(NamedWeights(MODEL, version), since)
        self._finish_loads(now)
        serving = [v for v in self.views if v.incarnation not in self.order_at]
        running = round(self.running(now))
        for view in self.views:
            active = running // max(1, len(serving)) if view in serving else 0
            view.set_load_of_others(InstanceLoad(view.incarnation, active), now)
        self._count(now, serving, running)
        if self.weights.models():
            for view, order_at in self.choose(state(self.weights, self.views, now, self.order_at)):
                self.order_at[view.incarnation] = order_at
                view.loading_until = math.inf

    def _finish_loads(self, now):
        for view in self.views:
            name = view.incarnation
            if name in self.loading and now >= self.loading[name][0]:
                started_at, version = self.loading.pop(name)[1:]
                view.learn_version(MODEL, version)
                view.loading_until = 0.0
                del self.order_at[name]
                self.counts["loads"] += 1
                self.weights.record_load(now - started_at + 0.15)
            elif name in self.order_at and name not in self.loading and now >= self.order_at[name]:
                seconds = LOAD_SECONDS * max(1.0, len(self.loading) / FAST_LOADS)
                self.loading[name] = (now + seconds, now, self.weights.newest(MODEL))

    def _count(self, now, serving, running):
        self.fewest_serving = min(self.fewest_serving, len(serving))
        self.counts["serving"] += len(serving) * self.step
        self.counts["without_slot"] += max(0, running - len(serving) * SLOTS) * self.step
        for version, since in enumerate(self.namings, start=2):
            behind = sum(view.versions[MODEL] < version for view in self.views)
            if now > since + LATE_AFTER_SECONDS and version == self.weights.newest(MODEL):
                self.counts["older"] += behind * self.step
            if now > since + BOUNDS.propagation_seconds - BOUNDS.reserve_seconds and behind:
                self.late_engines.append((version, round(now, 2), behind))


def burst(start, end, share, otherwise=0.25):
    """Return running requests by time: a share of all slots in a burst."""
    return lambda now: ENGINES * SLOTS * (share if start <= now < end else otherwise)


class ReplayTest(unittest.TestCase):
    """Guards against halves of the engines loading one version after the other in a burst."""

    namings = (2.0, 5.0, 9.0, 13.0)

    def replay(self, running, namings=namings):
        before = Replay(half_at_once, running, namings)
        after = Replay(by_capacity, running, namings)
        self.assertEqual(after.late_engines, [])
        return before, after

    def test_four_versions_in_a_burst_leave_more_engines_serving(self):
        before, after = self.replay(burst(1.0, 12.0, 0.85))
        self.assertLess(after.counts["loads"], before.counts["loads"])
        self.assertGreater(after.counts["serving"], before.counts["serving"])
        self.assertLess(after.counts["without_slot"], before.counts["without_slot"] / 2)

    def test_versions_are_in_time_while_the_burst_never_ends(self):
        self.replay(burst(0.0, 40.0, 1.2))

    def test_versions_are_in_time_with_moderate_load(self):
        for share in (0.1, 0.4, 0.5, 0.6, 0.7):
            with self.subTest(share=share):
                self.replay(burst(0.0, 40.0, share))

    def test_without_load_the_loads_are_as_before(self):
        before, after = self.replay(burst(0.0, 0.0, 1.0, 0.0), (2.0,))
        self.assertEqual(after.counts["loads"], before.counts["loads"])
        self.assertAlmostEqual(after.counts["older"], before.counts["older"], delta=ENGINES)


class PlanTest(unittest.TestCase):
    def views(self, count=ENGINES, **options):
        return [engine(f"e{number}", **options) for number in range(count)]

    def test_as_many_load_as_the_others_can_do_without(self):
        """Guards against a third of the engines loading whatever runs."""
        now = 3.0
        for active, expected in ((0, 10), (16, 10), (20, 5), (22, 2), (24, 0), (40, 0)):
            with self.subTest(active=active):
                views = self.views(active=active, now=now)
                self.assertEqual(len(plan(table(2.0), views, now).starts), expected)

    def test_pending_prompts_keep_engines_from_loading(self):
        """Guards against taking away engines while prompts already wait for the objective."""
        now = 3.0
        pending = self.views(pending=19_000, now=now)
        self.assertEqual(len(plan(table(2.0), pending, now, objective=0.5).starts), 1)
        self.assertEqual(len(plan(table(2.0), pending, now, objective=2.0).starts), 10)
        self.assertEqual(len(plan(table(2.0), pending, now, objective=math.inf).starts), 10)

    def test_suspended_engines_are_no_capacity(self):
        """Guards against counting on engines that are silent, in the place of those that load."""
        now = 3.0
        views = self.views(active=16, now=now)
        self.assertEqual(len(plan(table(2.0), views, now).starts), 10)
        for view in views[20:]:
            view.suspend(now + 5.0)
        self.assertEqual(plan(table(2.0), views, now).starts, ())

    def test_suspended_engines_load_after_the_others_of_their_version(self):
        """Guards against orders without an answer that delay other engines beyond the bound."""
        now = 14.0
        views = self.views(active=20, now=now)
        for view in views[:8]:
            view.set_load_of_others(None, now)
            view.suspend(now + 5.0)
        chosen = started(plan(table(2.0), views, now))
        self.assertEqual(chosen, [f"e{number}" for number in range(8, 18)])

    def test_requests_at_loading_engines_count(self):
        """Guards against further loads while those under way still run requests."""
        now = 3.0
        views = self.views(active=20, now=now)
        loading = [view.incarnation for view in views[:5]]
        self.assertEqual(plan(table(2.0), views, now, occupied=loading).starts, ())

    def test_missing_reports_leave_the_loads_as_before(self):
        """Guards against waiting for a capacity that no report can show."""
        views = self.views(active=40, now=1.0)
        self.assertEqual(len(plan(table(2.0), views, 3.0).starts), 10)

    def test_the_engine_with_the_least_to_lose_loads_first(self):
        """Guards against emptying caches and cutting runs where another engine has none."""
        now = 3.0
        views = [engine("busy", active=8, now=now), engine("cached"), engine("idle")]
        views[1].segments.record([SegmentKey(1, 40_000)])
        views += [engine("newer", version=2), *(engine(f"n{n}", version=3) for n in range(2))]
        self.assertEqual(started(plan(table(1.0, 1.5), views, now)), ["idle"])
        behind = engines_behind(views, MODEL, 3, now)
        names = [view.instance.instance_id for view in behind]
        self.assertEqual(names, ["idle", "busy", "cached", "newer"])

    def test_only_engines_whose_own_bound_is_near_are_forced_to_load(self):
        """Guards against loading every engine because the oldest weights are due."""
        weights = table(2.0, 9.0)
        views = [engine(f"old{n}", active=40, now=14.0) for n in range(5)]
        views += self.views(25, version=2, active=40, now=14.0)
        self.assertEqual(started(plan(weights, views, 14.0)), [f"old{n}" for n in range(5)])

    def test_an_order_is_not_delayed_beyond_the_time_when_it_is_due(self):
        """Guards against ending streams at the expense of the operators' bound."""
        views = self.views(active=40, now=14.0)
        weights = table(2.0)
        starts = plan(weights, views, 14.0).starts
        due_at = weights.due_at(MODEL, ENGINES, 10, 1)
        self.assertEqual({start.order_by for start in starts}, {due_at})
        self.assertEqual(len(starts), 10)

    def test_a_first_wave_waits_for_a_further_version(self):
        """Guards against loading a version that is replaced at once."""
        views = self.views(now=3.0)
        held = plan(table(2.0, 2.8), views, 3.0)
        self.assertEqual((held.starts, held.waiting), ((), 15))
        self.assertEqual(len(plan(table(2.0, 2.8), views, 3.8).starts), 10)
        self.assertEqual(len(plan(table(2.0), views, 2.1).starts), 10)
        self.assertEqual(len(plan(table(2.0, 5.0), views, 5.1).starts), 10)

    def test_one_load_shows_its_duration_before_others_wait(self):
        """Guards against loads that wait until they are due by an estimate that is too short."""
        now = 4.0
        views = self.views(active=40, now=now)
        weights = table(2.0, measured=False)
        self.assertEqual(started(plan(weights, views, now)), ["e0"])
        self.assertEqual(plan(weights, views, now, occupied=["e0"]).starts, ())
        weights.record_load(3.0)
        self.assertEqual(plan(weights, views, now).starts, ())
        self.assertEqual(weights.load_seconds, 3.0)
        self.assertLess(plan(weights, views, now).due_at, 2.0 + 13.5 - 3 * 3.0)

    def test_loads_under_way_and_engines_that_failed_are_not_started_again(self):
        """Guards against one failing engine that takes the places of others."""
        views = self.views(6)
        load_plan = plan(table(2.0), views, 3.0, occupied=["e0"], resting=["e1"])
        self.assertEqual(started(load_plan), ["e2"])
