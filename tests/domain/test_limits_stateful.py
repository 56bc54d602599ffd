"""Limits split over routers that come, go and restart, with late views: the stated bound."""

import math
import unittest
from unittest import mock

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from hopstep.domain import limits
from hopstep.domain.configuration import TenantLimits
from hopstep.domain.limits import (
    BURST_SECONDS,
    FLOOR_RATIO,
    HOLD_SECONDS,
    OVERSHOOT_BOUND,
    LimitKind,
    LimitShare,
    ShareView,
    TenantLimiter,
    settled_share,
)
from tests.fuzz_settings import run_machine

EXPECTED = 5
NAMES = tuple(f"r{number}" for number in range(EXPECTED))
LIMITS = TenantLimits(requests_per_second=40.0, max_concurrent_requests=20)
STEP = 0.25


class Router:
    """One router's limiter and how far it has followed the cluster's views."""

    def __init__(self, name, now, lag):
        self.name = name
        self.limiter = TenantLimiter(now)
        self.lag = lag
        self.followed = 0


class LimitsMachine(RuleBasedStateMachine):
    """Time passes in steps; each router follows every view, late by its own lag."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.routers = {}
        self.usage = {}
        self.views = []
        self.admitted = 0
        self.starts = 0
        self.publish()

    def publish(self):
        self.views.append((self.now, frozenset(self.routers), dict(self.usage)))

    @rule(name=st.sampled_from(NAMES), lag=st.floats(0, HOLD_SECONDS - 2 * STEP))
    def start_or_restart(self, name, lag):
        self.routers[name] = Router(name, self.now, lag)
        self.routers[name].followed = len(self.views) - 1
        self.usage.setdefault(name, 0.0)
        self.starts += 1
        self.publish()
        self.follow()

    @precondition(lambda self: self.routers)
    @rule(number=st.integers(0, 100))
    def stop(self, number):
        name = sorted(self.routers)[number % len(self.routers)]
        del self.routers[name]
        del self.usage[name]
        self.publish()

    @precondition(lambda self: self.routers)
    @rule(number=st.integers(0, 100), usage=st.sampled_from((0.0, 1.0, 10.0, 1000.0)))
    def change_demand(self, number, usage):
        self.usage[sorted(self.routers)[number % len(self.routers)]] = usage
        self.publish()

    @rule(steps=st.integers(1, 60))
    def pass_time(self, steps):
        for _ in range(steps):
            self.now += STEP
            self.follow()
            self.offer()

    def follow(self):
        """Each router takes every view that has reached it, in order."""
        for router in self.routers.values():
            self.take_view(router, self.views[router.followed])
            while (
                router.followed + 1 < len(self.views)
                and self.views[router.followed + 1][0] <= self.now - router.lag
            ):
                router.followed += 1
                self.take_view(router, self.views[router.followed])

    def take_view(self, router, view):
        _, live, usage = view
        share_view = ShareView(router.name, live, usage, EXPECTED)
        router.limiter.update(self.now, LIMITS, share_view)

    def offer(self):
        """Offer each router more than the whole limit."""
        for router in self.routers.values():
            for _ in range(math.ceil(LIMITS.requests_per_second * STEP) + 1):
                if router.limiter.try_enter(self.now, 0.0) is None:
                    self.admitted += 1
                    router.limiter.leave(self.now, 0.0)

    @invariant()
    def shares_stay_within_the_bound(self):
        total = sum(router.limiter._fraction for router in self.routers.values())
        assert total <= 1 + OVERSHOOT_BOUND + 1e-9, total

    @invariant()
    def admitted_requests_stay_within_the_bound(self):
        rate = LIMITS.requests_per_second
        burst = rate * BURST_SECONDS * (1 + OVERSHOOT_BOUND)
        starts = self.starts * FLOOR_RATIO / EXPECTED * rate * BURST_SECONDS
        assert self.admitted <= rate * (1 + OVERSHOOT_BOUND) * self.now + burst + starts

    @invariant()
    def every_router_lets_something_in(self):
        for router in self.routers.values():
            assert router.limiter.concurrency() >= 1


class LimitsTest(unittest.TestCase):
    def test_machine(self):
        run_machine(LimitsMachine)

    def largest_share_sum(self):
        """Move the demand to a router that learns of it first, then start three others."""
        machine = LimitsMachine()
        machine.start_or_restart(name="r0", lag=5.0)
        machine.start_or_restart(name="r1", lag=0.0)
        sums = []
        for usage in ((1000.0, 0.0), (0.0, 1000.0), (0.0, 0.0)):
            for number, value in enumerate(usage):
                machine.change_demand(number=number, usage=value)
            for _ in range(80):
                machine.pass_time(steps=1)
                sums.append(sum(r.limiter._fraction for r in machine.routers.values()))
        for name in ("r2", "r3", "r4"):
            machine.start_or_restart(name=name, lag=5.0)
        sums.append(sum(r.limiter._fraction for r in machine.routers.values()))
        return max(sums)

    def test_demand_that_moves_and_a_newcomer_stay_within_the_bound(self):
        self.assertLessEqual(self.largest_share_sum(), 1 + OVERSHOOT_BOUND)

    def test_share_grows_after_the_hold_while_views_keep_coming(self):
        share = LimitShare(-2 * HOLD_SECONDS)
        view = ShareView("a", frozenset({"a", "b"}), {})
        alone = ShareView("a", frozenset({"a"}), {})
        self.assertAlmostEqual(share.update(0.0, view), 0.5)
        steps = [share.update(1.0 + number / 4, alone) for number in range(100)]
        grown_at = next(number / 4 for number, value in enumerate(steps) if value > 0.99)
        self.assertEqual(grown_at, HOLD_SECONDS)

    def test_variants_that_break_the_bound_are_seen(self):
        variants = {
            "shares grow at once": mock.patch.object(
                LimitShare, "current", lambda self, now: self._recent[-1][1]
            ),
            "a newcomer takes a settled share": mock.patch.object(
                limits, "newcomer_share", settled_share
            ),
        }
        for name, variant in variants.items():
            with self.subTest(variant=name), variant:
                self.assertGreater(self.largest_share_sum(), 1 + OVERSHOOT_BOUND)

    def limiter(self, **limits_by_name):
        limiter = TenantLimiter(-2 * HOLD_SECONDS)
        view = ShareView("a", frozenset({"a"}), {})
        limiter.update(0.0, TenantLimits(**limits_by_name), view)
        return limiter

    def test_each_limit_refuses_and_says_when_to_come_back(self):
        cases = {
            LimitKind.REQUEST_RATE: ({"requests_per_second": 2.0}, 0.0, 2),
            LimitKind.TOKEN_RATE: ({"tokens_per_second": 100.0}, 60.0, 1),
            LimitKind.CONCURRENCY: ({"max_concurrent_requests": 3}, 0.0, 3),
        }
        for kind, (limits_by_name, tokens, allowed) in cases.items():
            with self.subTest(limit=kind):
                limiter = self.limiter(**limits_by_name)
                for _ in range(allowed):
                    self.assertIsNone(limiter.try_enter(0.0, tokens))
                refusal = limiter.try_enter(0.0, tokens)
                self.assertEqual(refusal.kind, kind)
                self.assertGreater(refusal.retry_after_seconds, 0)
                if kind is LimitKind.CONCURRENCY:
                    limiter.leave(0.0, 0.0)
                come_back = refusal.retry_after_seconds + 1e-6
                self.assertIsNone(limiter.try_enter(come_back, tokens))

    def test_no_limit_lets_everything_in(self):
        limiter = self.limiter()
        self.assertTrue(all(limiter.try_enter(0.0, 1e9) is None for _ in range(1000)))

    def test_unused_tokens_are_given_back(self):
        limiter = self.limiter(tokens_per_second=100.0)
        self.assertIsNone(limiter.try_enter(0.0, 100.0))
        limiter.leave(0.0, 90.0)
        self.assertIsNone(limiter.try_enter(0.0, 90.0))

    def test_request_above_the_burst_passes_once_and_leaves_a_debt(self):
        limiter = self.limiter(tokens_per_second=100.0)
        self.assertIsNone(limiter.try_enter(0.0, 500.0))
        limiter.leave(0.0, 0.0)
        self.assertIsNotNone(limiter.try_enter(4.0, 50.0))
        self.assertIsNone(limiter.try_enter(4.6, 50.0))


if __name__ == "__main__":
    unittest.main()
