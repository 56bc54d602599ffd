"""The fair queue compared with a list of pushed entries: order, fairness, starvation bound."""

import itertools
import random
import unittest
from unittest import mock

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from hopstep.domain import fair_queue
from hopstep.domain.fair_queue import MAX_PASSED_OVER, FairQueue, QueueEntry
from tests.fuzz_settings import run_machine

TENANTS = ("a", "b", "c")
PRIORITIES = (1, 5, 9)
WEIGHTS = {"a": 1.0, "b": 2.0, "c": 0.5}


class FairQueueMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.queue = FairQueue()
        self.waiting = []
        self.pushed = 0
        self.passed_over = dict.fromkeys(PRIORITIES, 0)

    @rule(
        tenant=st.sampled_from(TENANTS),
        priority=st.sampled_from(PRIORITIES),
        cost=st.floats(1, 1000),
    )
    def push(self, tenant, priority, cost):
        self.pushed += 1
        entry = QueueEntry(str(self.pushed), tenant, WEIGHTS[tenant], priority, cost)
        before = self.queue.count_before(entry, lambda _: True)
        assert 0 <= before <= len(self.waiting)
        self.queue.push(entry)
        self.waiting.append(entry)

    @rule(blocked=st.sets(st.sampled_from(TENANTS), max_size=2))
    def pop(self, blocked):
        def eligible(entry):
            return entry.tenant not in blocked

        candidates = [entry for entry in self.waiting if eligible(entry)]
        entry = self.queue.pop(eligible)
        assert (entry is None) == (not candidates)
        if entry is None:
            return
        older = [c for c in candidates if c.tenant == entry.tenant and c.priority == entry.priority]
        assert older[0] is entry
        better = {c.priority for c in candidates if c.priority < entry.priority}
        assert not better or self.passed_over[entry.priority] >= MAX_PASSED_OVER
        longest = max(self.passed_over[c.priority] for c in candidates)
        assert longest < MAX_PASSED_OVER or self.passed_over[entry.priority] == longest
        self.waiting.remove(entry)
        for priority in PRIORITIES:
            if priority == entry.priority or not self._waits(priority):
                self.passed_over[priority] = 0
            else:
                self.passed_over[priority] += 1

    @rule(number=st.integers(0, 1000))
    def remove(self, number):
        if not self.waiting:
            assert not self.queue.remove("absent")
            return
        entry = self.waiting.pop(number % len(self.waiting))
        assert self.queue.remove(entry.entry_id)
        assert not self.queue.remove(entry.entry_id)
        if not self._waits(entry.priority):
            self.passed_over[entry.priority] = 0

    @invariant()
    def positions_are_an_order(self):
        positions = {
            entry: self.queue.position(entry.entry_id, lambda _: True) for entry in self.waiting
        }
        assert sorted(positions.values()) == list(range(len(self.waiting)))
        last = self.queue.last()
        assert last is None if not self.waiting else positions[last] == len(self.waiting) - 1

    @invariant()
    def counts_agree(self):
        assert len(self.queue) == len(self.waiting)
        for tenant in TENANTS:
            assert self.queue.count_of(tenant) == sum(e.tenant == tenant for e in self.waiting)

    def _waits(self, priority):
        return any(entry.priority == priority for entry in self.waiting)


def serve(queue, tenants, costs, rounds):
    """Keep every tenant backlogged and return the served cost by tenant after each pop."""
    served = dict.fromkeys(tenants, 0.0)
    number = 0
    for tenant in tenants:
        for _ in range(2):
            number += 1
            queue.push(QueueEntry(str(number), tenant, WEIGHTS[tenant], 1, costs()))
    for _ in range(rounds):
        entry = queue.pop(lambda _: True)
        served[entry.tenant] += entry.cost
        number += 1
        queue.push(QueueEntry(str(number), entry.tenant, entry.weight, 1, costs()))
        yield served


class FairQueueTest(unittest.TestCase):
    def test_machine(self):
        run_machine(FairQueueMachine)

    def largest_unfairness(self):
        """Return the largest weighted service difference of two tenants, relative to its bound."""
        largest = 0.0
        for seed in range(20):
            draw = random.Random(seed)
            for served in serve(FairQueue(), TENANTS, lambda d=draw: d.uniform(1, 100), 300):
                for one, other in itertools.combinations(TENANTS, 2):
                    difference = served[one] / WEIGHTS[one] - served[other] / WEIGHTS[other]
                    bound = 100 / WEIGHTS[one] + 100 / WEIGHTS[other]
                    largest = max(largest, abs(difference) / bound)
        return largest

    def test_backlogged_tenants_get_their_weighted_shares(self):
        self.assertLessEqual(self.largest_unfairness(), 1.0)

    def test_unweighted_variant_is_seen(self):
        def finish(self, entry):
            return self.start + entry.cost

        with mock.patch.object(fair_queue._TenantQueue, "finish", finish):
            self.assertGreater(self.largest_unfairness(), 1.0)

    def test_low_priority_waits_for_at_most_the_bound(self):
        self.assertEqual(self.low_priority_wait(), MAX_PASSED_OVER)

    def test_variant_without_a_starvation_bound_is_seen(self):
        with mock.patch.object(fair_queue, "MAX_PASSED_OVER", 10**9):
            self.assertGreater(self.low_priority_wait(), MAX_PASSED_OVER)

    def low_priority_wait(self):
        """Return how many urgent requests are served before one that isn't urgent."""
        queue = FairQueue()
        queue.push(QueueEntry("low", "a", 1.0, 9, 1.0))
        for number in range(100):
            queue.push(QueueEntry(str(number), "b", 1.0, 1, 1.0))
            if queue.pop(lambda _: True).entry_id == "low":
                return number
        return 100

    def test_dropped_requests_cost_their_tenant_nothing(self):
        queue = FairQueue()
        for number in range(50):
            queue.push(QueueEntry(f"a{number}", "a", 1.0, 1, 100.0))
        for number in range(49):
            queue.remove(f"a{number}")
        queue.push(QueueEntry("b", "b", 1.0, 1, 1.0))
        self.assertEqual(queue.pop(lambda _: True).entry_id, "a49")

    def test_a_new_tenant_waits_for_at_most_one_request_of_a_flooding_tenant(self):
        queue = FairQueue()
        for number in range(50):
            queue.push(QueueEntry(f"a{number}", "a", 1.0, 1, 10.0))
        queue.pop(lambda _: True)
        entry = QueueEntry("b", "b", 1.0, 1, 10.0)
        self.assertLessEqual(queue.count_before(entry, lambda _: True), 1)


if __name__ == "__main__":
    unittest.main()
