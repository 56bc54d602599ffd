"""Tenant limits of one router: leases that begin and end between requests, dropped limiters."""

import unittest
from unittest import mock

import trio

from hopstep.domain.configuration.document import Tenant, TenantLimits
from hopstep.domain.limits.limiter import FLOOR_RATIO
from hopstep.domain.limits.owners import LEASE_SECONDS, RENEWALS
from hopstep.services.limit_leases import LimitLeaseService
from hopstep.services.requests import tenant_limits
from hopstep.services.requests.tenant_limits import IDLE_SECONDS, TenantLimitService
from tests.services.requests.request_path import RequestPath, configuration, run

LIMITED = Tenant("library", limits=TenantLimits(requests_per_second=100.0))


class World:
    """The limits of one router, which owns all tenants' limits."""

    def __init__(self, nursery, tenants=(LIMITED,)):
        self.path = RequestPath(configuration(tenants=tenants))
        membership = mock.Mock(own=mock.Mock())
        membership.own.name = "r1"
        membership.alive_routers.return_value = membership.members.return_value = [membership.own]
        self.leases = LimitLeaseService(membership, self.path.holder)
        self.limits = TenantLimitService(self.path.holder, self.leases.part)
        nursery.start_soon(self.leases.run, self.limits)

    def offer(self, count, tenant=LIMITED):
        """Offer requests at once; return the number that was admitted."""
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

    def test_an_owner_uses_its_floor_until_earlier_leases_have_ended(self):
        async def scenario(world):
            self.assertEqual(world.offer(200), int(100 * FLOOR_RATIO))
            await trio.sleep(LEASE_SECONDS * (1 + 1 / RENEWALS) - 2)
            self.assertEqual(world.offer(200), int(100 * FLOOR_RATIO))
            await trio.sleep(2 + LEASE_SECONDS)
            self.assertEqual(world.offer(200), 100)

        self.in_world(scenario)

    def test_a_lease_ends_while_no_request_is_made_and_nothing_is_renewed(self):
        async def scenario(world):
            await trio.sleep(30)
            world.leases._sharing.reports = mock.Mock(return_value=())
            self.assertEqual(world.offer(200), 100)
            await trio.sleep(LEASE_SECONDS)
            self.assertEqual(world.offer(200), int(100 * FLOOR_RATIO))

        self.in_world(scenario)

    def test_idle_tenants_are_dropped_and_those_with_debts_are_not(self):
        tenants = tuple(Tenant(f"t{number}") for number in range(600))
        debtor = Tenant("debtor", limits=TenantLimits(tokens_per_second=1.0))

        async def scenario(world):
            await trio.sleep(30)
            for tenant in tenants:
                self.assertEqual(world.offer(1, tenant), 1)
            with world.limits.entered(
                world.path.request(tenant=debtor, max_tokens=500), lambda: 500
            ):
                pass
            self.assertEqual(world.limits.known_tenants(), 601)
            await trio.sleep(IDLE_SECONDS + 8)
            self.assertEqual(world.limits.known_tenants(), 1)
            self.assertEqual(world.offer(1, debtor), 0)

        self.in_world(scenario, (*tenants, debtor))


if __name__ == "__main__":
    unittest.main()
