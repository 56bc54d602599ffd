"""When nodes ask whether a limit still holds."""

import unittest

from hopstep.domain.limits.limit_recheck import LimitRecheck, recheck_from

HEARD_AT = 100.0
TOLD_SECONDS = 0.4
MOST_ASKING = 30
"""Nodes that ask before they have heard from the first one: twenty and what chance adds."""


def starts(nodes, life="i1@1"):
    """Return when each node of a fleet comes to doubt a limit, the first one first."""
    return sorted(recheck_from(HEARD_AT, life, f"n{node}", nodes) for node in range(nodes))


class DoubtedFromTest(unittest.TestCase):
    def test_a_whole_fleet_asks_at_once(self):
        for nodes in (1, 6, 79, 390):
            with self.subTest(nodes=nodes):
                doubted = starts(nodes)
                asking = [at for at in doubted if at <= doubted[0] + TOLD_SECONDS]
                self.assertLessEqual(len(asking), MOST_ASKING)

    def test_some_node_never_asks(self):
        for nodes in (1, 6, 79, 390):
            with self.subTest(nodes=nodes):
                doubted = starts(nodes)
                self.assertGreaterEqual(doubted[0], HEARD_AT + 2.0)
                self.assertLessEqual(doubted[-1], HEARD_AT + 2.0 + nodes / 50.0)

    def test_the_same_nodes_ask_first_for_all_lives(self):
        first = {
            min(range(79), key=lambda node: recheck_from(HEARD_AT, f"i{life}@1", f"n{node}", 79))
            for life in range(40)
        }
        self.assertGreater(len(first), 20)


class LimitDoubtTest(unittest.TestCase):
    def test_a_node_asks_for_permits_and_asks_with_requests_once_a_second(self):
        doubt = LimitRecheck()
        self.assertTrue(doubt.wants_permit(10.0))
        self.assertFalse(doubt.wants_permit(10.9))
        self.assertTrue(doubt.may_recheck(10.5))
        doubt.note_recheck(10.5)
        self.assertFalse(doubt.may_recheck(11.4))
        self.assertFalse(doubt.wants_permit(11.4))
        self.assertTrue(doubt.wants_permit(11.5))
        self.assertTrue(doubt.may_recheck(11.5))


if __name__ == "__main__":
    unittest.main()
