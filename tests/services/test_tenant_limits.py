"""Tenant limits of one router: views between two requests, memory."""

import unittest
from unittest import mock

import trio

from hopstep.domain.configuration import Tenant, TenantLimits
from hopstep.domain.limits import FLOOR_RATIO
from hopstep.services import tenant_limits
from hopstep.services.cluster import USAGE_SECONDS, Cluster
from hopstep.services.tenant_limits import IDLE_SECONDS, TenantLimitService
from tests.services.request_path import RequestPath, configuration, run

LIMITED = Tenant("library", limits=TenantLimits(requests_per_second=100.0))


class World:
    """One router's limits and publishing loop, beside routers that only appear in gossip."""

    def __init__(self, nursery, tenants=(LIMITED,)):
        self.path = RequestPath(configuration(tenants=tenants))
        self.usage = {"r1": 1.0}
        self.limits = TenantLimitService(
            "r1", self.path.holder, lambda: frozenset({"r1", "r2"}), lambda tenant: self.usage
        )
        cluster = Cluster(mock.Mock(**{"entries.return_value": []}), self.path.holder)
        cluster.attach(mock.Mock(), mock.Mock(), mock.Mock(), self.limits)
        nursery.start_soon(cluster.run)

    def offer(self, count, tenant=LIMITED):
        """Offer requests at once; return how many were let in."""
        admitted = 0
        for _ in range(count):
            try:
                with self.limits.entered(self.path.request(tenant=tenant), lambda: 0):
                    admitted += 1
            except tenant_limits.ServiceError:
                pass
        return admitted


class TenantLimitsTest(unittest.TestCase):
    def in_world(self, scenario, tenants=(LIMITED,)):
        async def main():
            async with trio.open_nursery() as nursery:
                await scenario(World(nursery, tenants))
                nursery.cancel_scope.cancel()

        run(main)

    def test_views_between_two_requests_count(self):
        """The demand goes to another router and comes back while no request is made here."""

        async def scenario(world):
            await trio.sleep(10)
            self.assertEqual(world.offer(200), 90)
            await trio.sleep(10)
            world.usage = {"r2": 1.0}
            await trio.sleep(2 * USAGE_SECONDS)
            world.usage = {"r1": 1.0}
            await trio.sleep(0.5)
            self.assertEqual(world.offer(200), int(100 * FLOOR_RATIO / 2))

        self.in_world(scenario)

    def test_idle_tenants_are_forgotten_and_debts_are_not(self):
        tenants = tuple(Tenant(f"t{number}") for number in range(600))
        debtor = Tenant("debtor", limits=TenantLimits(tokens_per_second=1.0))

        async def scenario(world):
            for tenant in tenants:
                self.assertEqual(world.offer(1, tenant), 1)
            with world.limits.entered(
                world.path.request(tenant=debtor, max_tokens=500), lambda: 500
            ):
                pass
            self.assertEqual(world.limits.known_tenants(), 601)
            await trio.sleep(IDLE_SECONDS + 4 * USAGE_SECONDS)
            self.assertEqual(world.limits.known_tenants(), 1)
            self.assertEqual(world.offer(1, debtor), 0)

        self.in_world(scenario, (*tenants, debtor))


if __name__ == "__main__":
    unittest.main()
