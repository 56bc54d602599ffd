"""Many nodes that see the same free places don't fill them all at once."""

import random
import unittest

from hopstep.domain.exchanges.room_sharing import RoomShare, ServiceRoom
from tests.domain.exchanges.room_fleet import measure

SHORT = ServiceRoom(places=100, free=30)


def sent(room, nodes, intervals=1, seed=1):
    """Return how many of 50 waiting requests one node sends in each of some intervals."""
    share = RoomShare(random.Random(seed))
    counts = []
    for _ in range(intervals):
        share.refresh(room, nodes)
        counts.append(sum(share.take() for _ in range(50)))
    return counts


class RoomShareTest(unittest.TestCase):
    def test_nothing_is_bounded_while_half_of_the_places_are_free(self):
        self.assertEqual(sent(ServiceRoom(100, 50), 75), [50])

    def test_a_node_takes_twice_an_even_share(self):
        self.assertEqual(sent(SHORT, 6), [10])

    def test_a_share_below_one_is_a_probability(self):
        counts = sent(SHORT, 390, intervals=4_000)
        self.assertLessEqual(max(counts), 1)
        self.assertAlmostEqual(sum(counts) / len(counts), 60 / 390, delta=0.02)

    def test_without_free_places_nothing_is_sent(self):
        self.assertEqual(sent(ServiceRoom(100, 0), 3), [0])
        self.assertEqual(sent(ServiceRoom(100, -20), 3), [0])

    def test_a_lone_node_is_bounded_by_the_free_places_alone(self):
        """Twice the free places are never reached: each instance's own room ends before."""
        self.assertEqual(sent(ServiceRoom(100, 20), 1), [40])


class FleetTest(unittest.TestCase):
    def test_instances_reject_less_and_stay_in_use(self):
        """Nodes that see the same report sent more to the freest instance than it had places."""
        for nodes in (24, 75):
            with self.subTest(nodes=nodes):
                rejected_before, used_before = measure(nodes, "even", "none", seeds=(1,))
                rejected, used = measure(nodes, "even", "share of two", seeds=(1,))
                self.assertLess(rejected, 0.6 * rejected_before)
                self.assertGreater(used, used_before)

    def test_demand_at_few_nodes_still_fills_most_slots(self):
        _rejected, used = measure(75, "three", "share of two", seeds=(1,))
        self.assertGreater(used, 0.85)
