"""Limits shared by routers that start, stop, pause and restart, with late views: the bound."""

import unittest
from unittest import mock

import msgspec
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from hopstep.domain.configuration.document import TenantLimits
from hopstep.domain.limits.leases import POOL, LeaseHolder, LimitLedger
from hopstep.domain.limits.limiter import (
    BURST_SECONDS,
    FLOOR_RATIO,
    OVERSHOOT_BOUND,
    PARTS_PER_LIMIT,
    LimitKind,
    TenantLimiter,
)
from hopstep.domain.limits.owners import LEASE_SECONDS, LimitOwners
from hopstep.domain.limits.sharing import LimitSharing
from tests.domain.limits_world import (
    LEARNING,
    LIMITS,
    MAX_LAG,
    NAMES,
    STEP,
    TENANT,
    World,
)
from tests.fuzz_settings import is_caught, run_machine

BOUND = 1 + OVERSHOOT_BOUND + 1e-9


class LimitsMachine(RuleBasedStateMachine):
    """Owners move, crash and pause; holders too."""

    routers = 3

    def __init__(self):
        super().__init__()
        self.world = World(self.routers)

    def pick(self, number, *, paused=False):
        names = [n for n, r in sorted(self.world.routers.items()) if r.paused is paused]
        return names[number % len(names)] if names else None

    @rule(number=st.integers(0, 100), lag=st.floats(0, MAX_LAG))
    def start_or_restart(self, number, lag):
        self.world.start(self.world.names[number % self.routers], lag)

    @precondition(lambda self: self.world.routers)
    @rule(number=st.integers(0, 100), noticed=st.booleans())
    def crash(self, number, noticed):
        name = self.pick(number)
        if name is not None:
            self.world.crash(name)
            if noticed:
                self.world.publish(self.world.live - {name})

    @rule()
    def notice_silence(self):
        running = {n for n, r in self.world.routers.items() if not r.paused}
        self.world.publish(self.world.live & running)

    @rule(number=st.integers(0, 100))
    def pause(self, number):
        name = self.pick(number)
        if name is not None:
            self.world.routers[name].paused = True

    @rule(number=st.integers(0, 100))
    def resume(self, number):
        name = self.pick(number, paused=True)
        if name is not None:
            self.world.resume(name)

    @rule(number=st.integers(0, 100), demand=st.sampled_from((0.0, 0.01, 0.3, 1.0)))
    def change_demand(self, number, demand):
        name = self.pick(number)
        if name is not None:
            self.world.routers[name].demand = demand

    @rule(steps=st.integers(1, 80))
    def pass_time(self, steps):
        for _ in range(steps):
            self.world.pass_time(STEP)
            self.parts_stay_within_the_bound()

    @invariant()
    def parts_stay_within_the_bound(self):
        total = self.world.part_sum()
        assert total <= BOUND, total

    @invariant()
    def admitted_requests_stay_within_the_bound(self):
        rate = LIMITS.requests_per_second
        burst = rate * BURST_SECONDS * (1 + OVERSHOOT_BOUND)
        starts = self.world.starts * FLOOR_RATIO / self.routers * rate * BURST_SECONDS
        assert self.world.admitted <= rate * (1 + OVERSHOOT_BOUND) * self.world.now + burst + starts

    @invariant()
    def every_router_lets_something_in(self):
        for router in self.world.routers.values():
            assert router.limiter.concurrency() is None or router.limiter.concurrency() >= 1


class LargerLimitsMachine(LimitsMachine):
    """The same with more routers."""

    routers = 5


class LimitsTest(unittest.TestCase):
    def test_machines(self):
        for machine in (LimitsMachine, LargerLimitsMachine):
            with self.subTest(routers=machine.routers):
                run_machine(machine)

    def largest_sum_after_a_restart(self):
        """Restart the owner without its state; the holder of all leases can't reach it."""
        world = World(loss=0.0)
        for name in world.names:
            world.start(name)
        world.pass_time(LEARNING + 5)
        owner = world.owner()
        holder, third = (name for name in world.names if name != owner)
        world.routers[holder].demand = 1.0
        world.pass_time(12)
        self.assertGreaterEqual(world.routers[holder].part(world.now), POOL)
        world.muted = holder
        world.start(owner)
        world.routers[third].demand = 1.0
        sums = []
        for _ in range(100):
            world.pass_time(STEP)
            sums.append(world.part_sum())
        self.assertGreaterEqual(world.routers[third].part(world.now), POOL)
        return max(sums)

    def test_a_new_owner_knows_all_leases_before_it_leases_out(self):
        self.assertLessEqual(self.largest_sum_after_a_restart(), BOUND)
        variants = {
            "at once": (LimitOwners, "owner_since", lambda self, tenant: float("-inf")),
            "before all have reported": (LimitLedger, "reporters", lambda *_: set(NAMES)),
        }
        for name, (owner, attribute, value) in variants.items():
            with self.subTest(leases_out=name), mock.patch.object(owner, attribute, value):
                self.assertGreater(self.largest_sum_after_a_restart(), BOUND)

    def test_the_machine_sees_an_owner_that_leases_out_at_once(self):
        with mock.patch.object(LimitOwners, "owner_since", lambda self, tenant: float("-inf")):
            self.assertTrue(is_caught(LimitsMachine))

    def first_growth_after_a_move(self):
        """Return when a tenant gets leases after a new configuration moved it to other routers."""
        sharing = LimitSharing("a", 0.0)
        for now in range(100):
            place = "b" if now < 40 else "a"
            admitted = {TENANT: frozenset(place), "other": frozenset("a")}
            sharing.set_admitted(now, admitted)
            sharing.update_routers(now, {"a", "b"}, 2)
            list(sharing.reports(now, {TENANT: PARTS_PER_LIMIT} if place == "a" else {}))
            if sharing.part(TENANT, now) > POOL:
                return now - 40
        return None

    def test_a_tenant_of_other_routers_gets_leases_when_theirs_have_ended(self):
        self.assertEqual(self.first_growth_after_a_move(), LEARNING)
        with mock.patch.object(LimitSharing, "_is_unsettled", lambda *_: False):
            self.assertLess(self.first_growth_after_a_move(), LEARNING)

    def test_a_paused_router_goes_on_with_the_least_floor(self):
        owners = LimitOwners("a", 0.0)
        for now in range(30):
            owners.update(float(now), frozenset({"a"}), 4)
        self.assertEqual(owners.floor_part(29.0), int(PARTS_PER_LIMIT * FLOOR_RATIO))
        self.assertEqual(owners.floor_part(60.0), int(PARTS_PER_LIMIT * FLOOR_RATIO) // 4)

    def largest_sum_after_a_pause(self):
        """Pause the owner until another one has granted all leases, and resume it.

        No report reaches it before its own demand is granted.
        """
        world = World(loss=0.0)
        for name in world.names:
            world.start(name, MAX_LAG)
        world.pass_time(LEARNING + 5)
        owner = world.owner()
        for router in world.routers.values():
            router.demand = 1.0
        world.routers[owner].paused = True
        world.publish(world.live - {owner})
        world.pass_time(3 * LEARNING)
        self.assertGreater(world.part_sum(), 1 - FLOOR_RATIO)
        world.resume(owner)
        world.loss = 1.0
        world.messages, world.routers[owner].inbox = [], []
        sums = []
        for _ in range(80):
            world.pass_time(STEP)
            sums.append(world.part_sum())
        return max(sums)

    def test_an_owner_that_wakes_leases_nothing_out_twice(self):
        self.assertLessEqual(self.largest_sum_after_a_pause(), BOUND)
        with mock.patch("hopstep.domain.limits.owners.MAX_UPDATE_GAP_SECONDS", float("inf")):
            self.assertGreater(self.largest_sum_after_a_pause(), BOUND)

    def leased(self, *, lost):
        """Lose the answer to a large demand, or the one to a small demand after it.

        The lost answer to the large demand arrives late, after the other one.
        """
        ledger, first, other = LimitLedger(), LeaseHolder(), LeaseHolder()

        def ask(now, name, holder, number, wanted):
            demand = holder.ask(now, number, TENANT, wanted)
            return ledger.grant(
                now, name, demand, routers=2, lease_seconds=LEASE_SECONDS, settled=True
            )

        for number, (now, wanted) in enumerate(((0.0, PARTS_PER_LIMIT), (3.0, 0)), start=1):
            part = ask(now, "a", first, number, wanted)
            if number != lost:
                first.take(number, TENANT, part, LEASE_SECONDS)
        other.take(1, TENANT, ask(3.0, "b", other, 1, PARTS_PER_LIMIT), LEASE_SECONDS)
        first.take(1, TENANT, POOL, LEASE_SECONDS)
        return first.part(TENANT, 4.0) + other.part(TENANT, 4.0)

    def test_lost_and_late_answers_lease_nothing_out_twice(self):
        grant, take = LimitLedger.grant, LeaseHolder.take

        def grant_without_held_part(ledger, now, router, demand, **options):
            part = grant(ledger, now, router, demand, **options)
            granted = ledger._grants[demand.tenant]
            granted[router] = msgspec.structs.replace(granted[router], part=part)
            return part

        def take_any_number(holder, number, tenant, part, seconds):
            holder._leases[tenant].number = number
            take(holder, number, tenant, part, seconds)

        for lost in (1, 2):
            self.assertEqual(self.leased(lost=lost), POOL)
        with mock.patch.object(LimitLedger, "grant", grant_without_held_part):
            self.assertGreater(self.leased(lost=2), POOL)
        with mock.patch.object(LeaseHolder, "take", take_any_number):
            self.assertGreater(self.leased(lost=1), POOL)

    def test_each_side_of_a_partition_takes_the_whole_limit_and_gives_it_back(self):
        world = World()
        for name in world.names:
            world.start(name)
            world.routers[name].demand = 1.0
        world.pass_time(2 * LEARNING)
        self.assertLessEqual(world.part_sum(), BOUND)
        world.side_of = dict(zip(world.names, "aab", strict=True))
        world.pass_time(3 * LEARNING)
        self.assertGreater(world.part_sum(), BOUND)
        self.assertLessEqual(world.part_sum(), 2 * BOUND)
        world.side_of = {}
        world.pass_time(LEARNING)
        self.assertLessEqual(world.part_sum(), BOUND)

    def test_parts_follow_demand_and_owners_that_move_on_a_plan_take_nothing_away(self):
        world = World(loss=0.0)
        for name in world.names:
            world.start(name)
        world.pass_time(LEARNING + 4)
        for router in world.routers.values():
            self.assertAlmostEqual(router.part(world.now) / PARTS_PER_LIMIT, 1 / 3, 3)
        owner = world.owner()
        busy = world.routers[next(name for name in world.routers if name != owner)]
        busy.demand = 1.0
        world.pass_time(12)
        before = busy.part(world.now)
        self.assertGreater(before, POOL)
        world.publish(world.live - {owner})
        world.crash(owner)
        parts = []
        for _ in range(60):
            world.pass_time(1)
            parts.append(busy.part(world.now))
        self.assertGreaterEqual(min(parts), before)
        self.assertGreaterEqual(parts[-1], PARTS_PER_LIMIT * 0.9)

    def test_floor_shrinks_at_once_and_grows_when_all_agree(self):
        owners = LimitOwners("a", -100.0)
        parts = {}
        names = ("a", "b", "c", "d")
        updates = [(-100 + step, 2) for step in range(100)] + [(0, 2), (1, 4)]
        updates += [(step, 1) for step in range(2, 20)] + [(40, 1)]
        for now, live in updates:
            owners.update(float(now), frozenset(names[:live]), 8)
            parts[now] = owners.floor_part(float(now))
        # After the start and after the gap the past is unknown: all configured routers count.
        expected = {-100: 8, 0: 2, 1: 4, 2: 4, 16: 4, 17: 1, 40: 8}
        whole = int(PARTS_PER_LIMIT * FLOOR_RATIO)
        self.assertEqual(
            {now: parts[now] for now in expected},
            {now: whole // count for now, count in expected.items()},
        )

    def limiter(self, **limits_by_name):
        limiter = TenantLimiter(0.0)
        limiter.update(0.0, TenantLimits(**limits_by_name), PARTS_PER_LIMIT)
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
                    self.assertIsNone(limiter.try_admit(0.0, tokens))
                refusal = limiter.try_admit(0.0, tokens)
                self.assertEqual(refusal.kind, kind)
                self.assertGreater(refusal.retry_after_seconds, 0)
                if kind is LimitKind.CONCURRENCY:
                    limiter.release(0.0, 0.0)
                retry_at = refusal.retry_after_seconds + 1e-6
                self.assertIsNone(limiter.try_admit(retry_at, tokens))

    def test_no_limit_lets_everything_in(self):
        limiter = self.limiter()
        self.assertTrue(all(limiter.try_admit(0.0, 1e9) is None for _ in range(1000)))

    def test_unused_tokens_are_given_back(self):
        limiter = self.limiter(tokens_per_second=100.0)
        self.assertIsNone(limiter.try_admit(0.0, 100.0))
        limiter.release(0.0, 90.0)
        self.assertIsNone(limiter.try_admit(0.0, 90.0))

    def test_request_above_the_burst_passes_once_and_leaves_a_debt(self):
        limiter = self.limiter(tokens_per_second=100.0)
        self.assertIsNone(limiter.try_admit(0.0, 500.0))
        limiter.release(0.0, 0.0)
        self.assertIsNotNone(limiter.try_admit(4.0, 50.0))
        self.assertIsNone(limiter.try_admit(4.6, 50.0))


if __name__ == "__main__":
    unittest.main()
