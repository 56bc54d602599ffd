"""Rechecks of instance limits: when each node begins, and how often it asks."""

import unittest

from hopstep.domain.limits.limit_recheck import LimitRecheck, recheck_from

NAMED_AT = 100.0
REPORT_SECONDS = 0.4
MAX_ASKING = 30
"""Nodes that recheck before they have the first one's report: twenty, and some for chance."""


def starts(nodes, incarnation="i1@1"):
    """Return when each node of a fleet begins to recheck a limit, the first one first."""
    return sorted(recheck_from(NAMED_AT, incarnation, f"n{node}", nodes) for node in range(nodes))


class DoubtedFromTest(unittest.TestCase):
    def test_a_whole_fleet_asks_at_once(self):
        for nodes in (1, 6, 79, 390):
            with self.subTest(nodes=nodes):
                starts_at = starts(nodes)
                early = [at for at in starts_at if at <= starts_at[0] + REPORT_SECONDS]
                self.assertLessEqual(len(early), MAX_ASKING)

    def test_some_node_never_asks(self):
        for nodes in (1, 6, 79, 390):
            with self.subTest(nodes=nodes):
                starts_at = starts(nodes)
                self.assertGreaterEqual(starts_at[0], NAMED_AT + 2.0)
                self.assertLessEqual(starts_at[-1], NAMED_AT + 2.0 + nodes / 50.0)

    def test_the_same_nodes_ask_first_for_all_lives(self):
        first = {
            min(
                range(79),
                key=lambda node: recheck_from(NAMED_AT, f"i{incarnation}@1", f"n{node}", 79),
            )
            for incarnation in range(40)
        }
        self.assertGreater(len(first), 20)


class LimitDoubtTest(unittest.TestCase):
    def test_a_node_asks_for_permits_and_asks_with_requests_once_a_second(self):
        recheck = LimitRecheck()
        self.assertTrue(recheck.wants_permit(10.0))
        self.assertFalse(recheck.wants_permit(10.9))
        self.assertTrue(recheck.may_recheck(10.5))
        recheck.note_recheck(10.5)
        self.assertFalse(recheck.may_recheck(11.4))
        self.assertFalse(recheck.wants_permit(11.4))
        self.assertTrue(recheck.wants_permit(11.5))
        self.assertTrue(recheck.may_recheck(11.5))


if __name__ == "__main__":
    unittest.main()
