"""The retry budget: its bound over random traffic, and its floor."""

import random
import unittest

from hopstep.domain.retry_budget import (
    FLOOR_RETRIES_PER_SECOND,
    MAX_SAVED_RETRIES,
    RetryBudget,
)


class RetryBudgetTest(unittest.TestCase):
    def test_retries_stay_within_the_stated_bound(self):
        for seed in range(20):
            draw = random.Random(seed)
            budget = RetryBudget(0.0)
            now = 0.0
            first = retries = 0
            for _ in range(500):
                now += draw.expovariate(5.0)
                if draw.random() < 0.6:
                    first += 1
                    budget.record_first_attempt(0.1)
                retries += budget.take(now)
                bound = 0.1 * first + FLOOR_RETRIES_PER_SECOND * now + MAX_SAVED_RETRIES
                self.assertLessEqual(retries, bound + 1e-9)
            self.assertGreater(retries, 0)

    def test_empty_budget_refills_by_its_floor(self):
        budget = RetryBudget(0.0)
        while budget.take(0.0):
            pass
        self.assertFalse(budget.allows(0.9 / FLOOR_RETRIES_PER_SECOND))
        self.assertTrue(budget.take(1.0 / FLOOR_RETRIES_PER_SECOND))


if __name__ == "__main__":
    unittest.main()
