import unittest

from hypothesis import given
from hypothesis import strategies as st

from hopstep.domain.exchanges.repeat_budget import RepeatBounds, RepeatBudget

BOUNDS = RepeatBounds(ratio=0.2, extra=54.0, window_seconds=10.0)


class RepeatBudgetTest(unittest.TestCase):
    @given(
        st.integers(1, 9),
        st.lists(st.tuples(st.integers(0, 8), st.floats(0.0, 0.5), st.booleans()), max_size=400),
    )
    def test_all_nodes_together_stay_within_every_window(self, nodes, steps):
        budgets = [RepeatBudget(BOUNDS) for _ in range(nodes)]
        now = 0.0
        requests, repeats = [], []
        for node, pause, wants_repeat in steps:
            now += pause
            budget = budgets[node % nodes]
            if not wants_repeat:
                budget.record_request(now)
                requests.append(now)
            elif budget.allows(now, nodes):
                budget.record_repeat(now)
                repeats.append(now)
        for start in repeats:
            window = [at for at in repeats if start <= at <= start + BOUNDS.window_seconds]
            asked = [
                at
                for at in requests
                if start - BOUNDS.window_seconds <= at <= start + BOUNDS.window_seconds
            ]
            self.assertLessEqual(len(window), BOUNDS.ratio * len(asked) + BOUNDS.extra)

    def test_a_node_among_many_has_its_part_of_the_constant(self):
        budget = RepeatBudget(BOUNDS)
        allowed = 0
        while budget.allows(1.0, 7):
            budget.record_repeat(1.0)
            allowed += 1
        self.assertGreater(allowed, 0)
        self.assertLessEqual(7 * allowed, BOUNDS.extra)

    def test_repeats_before_the_window_do_not_count(self):
        budget = RepeatBudget(BOUNDS)
        while budget.allows(1.0, 1):
            budget.record_repeat(1.0)
        self.assertTrue(budget.allows(11.5, 1))
