import random
import unittest
from collections import Counter

import msgspec

from hopstep.domain.exchanges.spread_choice import (
    ChoiceBounds,
    Rating,
    choose_rated,
    sample_size,
)

INFINITE = float("inf")


class Rated(msgspec.Struct, frozen=True):
    name: int
    rating: Rating


def rate(*ratings):
    return [Rated(name, rating) for name, rating in enumerate(ratings)]


def chosen(rated, draws=200, **bounds):
    generator = random.Random(1)
    names = (choose_rated(rated, ChoiceBounds(**bounds), generator).name for _ in range(draws))
    return Counter(names)


class ChooseRatedTest(unittest.TestCase):
    def test_a_preference_never_makes_a_request_late(self):
        """Otherwise the cost of older weights sends requests to engines that answer too late."""
        rated = rate(Rating(0.6, 0.6), Rating(0.65, 0.4, policy_seconds=0.25))
        self.assertEqual(set(chosen(rated)), {0})
        self.assertEqual(set(chosen(rated, objective_seconds=0.5)), {1})
        self.assertEqual(set(chosen(rated, objective_seconds=0.3)), {1})

    def test_instances_with_capacity_come_first(self):
        """Otherwise a full instance rejects requests while others would be late but serve them."""
        rated = rate(Rating(0.1, 0.1, has_room=False), Rating(0.9, 0.9))
        self.assertEqual(set(chosen(rated, objective_seconds=0.5)), {1})
        self.assertEqual(set(chosen(rated[:1], objective_seconds=0.5)), {0})

    def test_instances_that_old_reports_cannot_tell_apart_are_chosen_at_random(self):
        """Otherwise all nodes send to the same instance until the next report."""
        rated = rate(*(Rating(cost, cost, wait_seconds=0.1) for cost in (0.20, 0.22, 0.24, 0.30)))
        self.assertEqual(set(chosen(rated, nodes=24)), {0, 1, 2})
        self.assertEqual(set(chosen(rated, nodes=1)), {0})

    def test_among_idle_instances_the_lowest_cost_decides(self):
        """Otherwise prompts leave the home instance of their segments without any need."""
        rated = rate(Rating(0.40, 0.40), Rating(0.41, 0.40))
        self.assertEqual(set(chosen(rated, nodes=75)), {0})

    def test_another_zone_is_not_chosen_by_chance(self):
        rated = rate(Rating(0.2, 0.2, 0.1), Rating(0.22, 0.2, 0.1, policy_seconds=0.02))
        self.assertEqual(set(chosen(rated, nodes=24)), {0})

    def test_short_prompts_of_many_nodes_go_to_the_best_of_a_sample(self):
        """Otherwise the instance that looks best gets the prompts of all nodes."""
        busy = [Rating(0.1 + 0.1 * rank, 0.1, occupancy=0.6 + rank) for rank in range(6)]
        counts = chosen(rate(*busy), draws=600, nodes=75)
        self.assertGreater(counts[0], counts[1])
        self.assertGreater(counts[1], counts[3])
        self.assertEqual(counts[5], 0)
        for idle in ({"nodes": 8}, {"nodes": 75, "sampling": False}):
            self.assertEqual(set(chosen(rate(*busy), **idle)), {0})
        long = [msgspec.structs.replace(each, uncached_tokens=4_000) for each in busy]
        self.assertEqual(set(chosen(rate(*long), nodes=75)), {0})

    def test_more_nodes_compare_fewer_instances(self):
        self.assertEqual([sample_size(36, nodes) for nodes in (8, 24, 75, 390)], [36, 12, 4, 2])

    def test_nothing_to_choose_from(self):
        self.assertIsNone(choose_rated([], ChoiceBounds(), random.Random(1)))
