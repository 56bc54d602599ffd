"""Sharing of limits over real membership messages, in a small hollow cluster."""

import unittest

from emulator.limit_scale import MOVING_TENANT, SharingCluster
from hopstep.domain.limits.limiter import OVERSHOOT_BOUND, PARTS_PER_LIMIT
from hopstep.domain.membership import MembershipConfig

NODES = 12
SECONDS = 45
REQUESTS = 10


class LimitScaleTest(unittest.TestCase):
    def test_parts_follow_demand_within_the_bound_and_the_byte_budget(self):
        cluster = SharingCluster(NODES, 1)
        tenants = (MOVING_TENANT, "tenant-00000", "tenant-00001")
        sums = []
        for _ in range(SECONDS):
            cluster.simulate_second(REQUESTS)
            sums += map(cluster.part_sum, tenants)
        self.assertLessEqual(max(sums), 1 + OVERSHOOT_BOUND)
        largest = max(
            router.sharing.part(MOVING_TENANT, cluster.now) for router in cluster.routers.values()
        )
        self.assertGreater(largest, PARTS_PER_LIMIT * 0.8)
        config = MembershipConfig()
        rate = config.bytes_per_second * config.limits_ratio
        allowed = rate * (SECONDS + config.burst_seconds)
        for router in cluster.routers.values():
            self.assertGreater(router.limit_bytes, 0)
            self.assertLessEqual(router.limit_bytes, allowed)


if __name__ == "__main__":
    unittest.main()
