import unittest
from collections import Counter

from hopstep.domain.exchanges.instances import Instance
from hopstep.domain.exchanges.nodes import NodeRecord
from hopstep.domain.exchanges.watch_plan import WatchPlan

NODES = {f"n{number}": NodeRecord("10.0.0.1:1", f"z{number % 3}") for number in range(9)}


def engines(zone="z1", count=200):
    return [Instance(f"e{number}", "llm", "10.0.0.2:1", zone, 4) for number in range(count)]


def plan(nodes):
    made = WatchPlan()
    made.set_nodes(nodes)
    return made


class WatchPlanTest(unittest.TestCase):
    def test_engines_are_followed_by_nodes_of_their_zone_in_even_shares(self):
        shares = Counter(plan(NODES).watcher(engine) for engine in engines())
        self.assertEqual(set(shares), {"n1", "n4", "n7"})
        self.assertGreater(min(shares.values()), 40)

    def test_without_nodes_in_the_zone_any_node_follows(self):
        self.assertGreater(len({plan(NODES).watcher(engine) for engine in engines("z9")}), 5)
        self.assertEqual(plan({}).watcher(engines()[0]), "")

    def test_a_removed_node_moves_only_its_own_engines(self):
        before, without = plan(NODES), plan({n: r for n, r in NODES.items() if n != "n4"})
        for engine in engines():
            if before.watcher(engine) != "n4":
                self.assertEqual(before.watcher(engine), without.watcher(engine))

    def test_larger_nodes_follow_more(self):
        large = NODES["n1"]
        nodes = {**NODES, "n1": NodeRecord(large.address, large.zone, b"", 4.0)}
        shares = Counter(plan(nodes).watcher(engine) for engine in engines())
        self.assertGreater(shares["n1"], 2 * shares["n4"])
