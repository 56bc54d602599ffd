"""Names of the groups of tenants that share cached segments."""

import itertools
import unittest

from hopstep.domain.exchanges.cache_groups import CacheGroups
from hopstep.domain.exchanges.serving import ServingConfiguration, ServingIndex, Tenant

STATES = ("absent", "sharing", "isolated")
NAMES = ("a", "b", "ab", "shared-")


class CacheGroupsTest(unittest.TestCase):
    def test_the_common_group_has_one_name_for_each_set_of_tenants(self):
        """Guards against a name under which a tenant wrote that has left the group since."""
        names = {}
        for size in range(len(NAMES) + 1):
            for sharing in itertools.combinations(NAMES, size):
                names.setdefault(CacheGroups(frozenset(sharing)).common, set()).add(sharing)
        self.assertTrue(all(len(sets) == 1 for sets in names.values()))
        self.assertEqual(CacheGroups({"b", "a"}).common, CacheGroups({"a", "b"}).common)

    def test_isolated_and_unknown_tenants_have_groups_of_their_own(self):
        groups = CacheGroups({"a", "b"})
        self.assertEqual({groups.of(name) for name in ("", "a", "b")}, {groups.common})
        alone = {groups.of(name) for name in ("c", "shared-", groups.common)}
        self.assertEqual(len(alone), 3)
        self.assertNotIn(groups.common, alone)

    def test_a_tenant_that_any_entry_isolates_is_isolated(self):
        entries = (Tenant("a", ("1",)), Tenant("a", ("2",), isolated=True), Tenant("b", ("3",)))
        groups = ServingIndex(ServingConfiguration(1, (), (), entries)).cache_groups
        self.assertEqual(groups.common, CacheGroups({"b"}).common)
        self.assertNotEqual(groups.of("a"), groups.common)


if __name__ == "__main__":
    unittest.main()
