"""Owners of keys: stable, balanced, weighted, and equal in updated and new tables."""

import collections
import unittest

from hopstep.domain.rendezvous import Rendezvous, owners

KEYS = [f"engine-{number}" for number in range(4_000)]
NAMES = [f"router-{number}" for number in range(20)]
PINNED = [("router-14", "router-16"), ("router-19", "router-9"), ("router-0", "router-15")]


def share(table, position=0):
    return collections.Counter(table.owners(key, position + 1)[position] for key in KEYS)


class RendezvousTest(unittest.TestCase):
    def test_owners_are_pinned_across_versions_of_the_program(self):
        table = Rendezvous.unweighted(NAMES)
        chosen = [table.owners(key, 2) for key in KEYS[:3]]
        self.assertEqual(chosen, PINNED)

    def test_order_of_members_does_not_matter(self):
        forward, backward = Rendezvous.unweighted(NAMES), Rendezvous.unweighted(NAMES[::-1])
        self.assertEqual(
            [forward.owners(key, 3) for key in KEYS], [backward.owners(key, 3) for key in KEYS]
        )

    def test_keys_spread_evenly_for_first_and_second_owners(self):
        table = Rendezvous.unweighted(NAMES)
        for position in (0, 1):
            counts = share(table, position)
            self.assertEqual(len(counts), len(NAMES))
            self.assertLess(max(counts.values()), 1.3 * len(KEYS) / len(NAMES))
            self.assertGreater(min(counts.values()), 0.7 * len(KEYS) / len(NAMES))

    def test_weights_set_the_share(self):
        counts = share(Rendezvous({"small": 1.0, "large": 3.0, "none": 0.0}))
        self.assertEqual(set(counts), {"small", "large"})
        self.assertAlmostEqual(counts["large"] / counts["small"], 3.0, delta=0.4)

    def test_a_lost_member_moves_only_its_own_keys(self):
        before, after = Rendezvous.unweighted(NAMES), Rendezvous.unweighted(NAMES[1:])
        for key in KEYS:
            if before.owners(key)[0] != NAMES[0]:
                self.assertEqual(before.owners(key), after.owners(key))

    def test_updated_tables_equal_new_ones(self):
        changes = (NAMES[:-1], [*NAMES, "new"], [*NAMES[2:], "new-1", "new-2"], NAMES[:2], [])
        for names in changes:
            table = Rendezvous.unweighted(NAMES)
            for key in KEYS[:500]:
                table.owners(key, 3)
            weights = dict.fromkeys(names, 1.0)
            updated, fresh = table.updated(weights), Rendezvous(weights)
            for key in KEYS[:500]:
                self.assertEqual(updated.owners(key, 3), fresh.owners(key, 3))

    def test_fewer_members_than_replicas(self):
        self.assertEqual(owners("key", {"only": 1.0}, 3), ("only",))
        self.assertEqual(owners("key", {}, 3), ())
