"""Which nodes partitioned nodes use as gateways."""

import unittest
from collections import Counter

from hopstep.domain.exchanges.instances import Instance
from hopstep.domain.exchanges.nodes import NodeRecord
from hopstep.domain.reachability.gateways import MAX_EXCLUSION_SECONDS, GatewayChoice

ZONES = 3
SERVICE = "s"
INSTANCES = 40


def instance(number):
    return Instance(f"i{number}", SERVICE, f"10.1.0.{number}:80", "z0", 1)


def nodes(count):
    return {f"n{n}": NodeRecord(f"10.0.0.{n}:1", f"z{n % ZONES}", b"k") for n in range(count)}


class GatewayChoiceTest(unittest.TestCase):
    def test_nodes_of_the_own_zone_come_first_and_this_node_never(self):
        known = nodes(7)
        choice = GatewayChoice("n0", "z0")
        ranked = choice.candidates(known, instance(1), 0.0, 10)
        self.assertEqual({gateway.name for gateway in ranked[:2]}, {"n3", "n6"})
        self.assertEqual({gateway.name for gateway in ranked}, known.keys() - {"n0"})

    def test_the_second_choice_is_of_another_zone(self):
        # All nodes of a zone had lost the same service, and only they were asked.
        known = nodes(390)
        choice = GatewayChoice("n0", "z0")
        zones = [
            known[gateway.name].zone for gateway in choice.candidates(known, instance(1), 0.0, 3)
        ]
        self.assertEqual(zones[0], "z0")
        self.assertNotEqual(zones[1], "z0")

    def test_a_node_that_has_served_comes_first(self):
        known = nodes(390)
        choice = GatewayChoice("n0", "z0")
        choice.note_served("n1", SERVICE, 0.0)
        self.assertEqual(choice.candidates(known, instance(1), 1.0, 3)[0].name, "n1")

    def test_partitioned_nodes_spread_over_the_others(self):
        # All partitioned nodes chose the same gateway, and overran it.
        for count in (7, 75, 390):
            with self.subTest(nodes=count):
                known = nodes(count)
                used = Counter()
                for name, record in known.items():
                    choice = GatewayChoice(name, record.zone)
                    for number in range(INSTANCES):
                        used[choice.candidates(known, instance(number), 0.0, 1)[0].name] += 1
                self.assertLess(max(used.values()), 2.5 * INSTANCES)

    def test_a_node_that_could_not_serve_is_left_out_ever_longer(self):
        known = nodes(2)
        choice = GatewayChoice("n0", "z0")
        now, out = 0.0, []
        for _ in range(5):
            choice.note_failed("n1", SERVICE, now)
            began = now
            while not choice.candidates(known, instance(1), now, 1):
                now += 0.05
            out.append(round(now - began, 1))
        self.assertEqual(out, sorted(out))
        self.assertAlmostEqual(out[-1], MAX_EXCLUSION_SECONDS, delta=0.1)
        choice.note_served("n1", SERVICE, now)
        choice.note_failed("n1", SERVICE, now)
        self.assertTrue(choice.candidates(known, instance(1), now + 1.1, 1))

    # A gateway that worked again was left out for four seconds after three tunnels at once.
    def test_failures_side_by_side_count_as_one(self):
        choice = GatewayChoice("n0", "z0")
        for failed_at in (0.0, 0.3, 0.7):
            choice.note_failed("n1", SERVICE, failed_at)
        self.assertFalse(choice.candidates(nodes(2), instance(1), 0.9, 1))
        self.assertTrue(choice.candidates(nodes(2), instance(1), 1.1, 1))

    def test_nodes_that_are_gone_are_forgotten(self):
        choice = GatewayChoice("n0", "z0")
        choice.note_failed("n1", SERVICE, 0.0)
        choice.retain({"n0"})
        self.assertTrue(choice.candidates(nodes(2), instance(1), 0.0, 1))
