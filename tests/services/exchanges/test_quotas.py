"""Tenants' quotas over several nodes: refusals, counted requests, requests that have not run."""

import unittest

import msgspec
import trio

from hopstep.domain.limits.quota_ledger import TenantQuota
from hopstep.exceptions import ErrorCode, Execution
from hopstep.ports.serving_directory import ConfigurationPublished, InstanceRemoved
from tests.services.exchanges.exchange_world import (
    BOUNDS,
    ISOLATED_KEY,
    KEY,
    TENANTS,
    ExchangeWorld,
    configuration,
)

PER_SECOND = 1_000.0
QUOTA = TenantQuota(per_second=PER_SECOND, burst=500.0, in_tokens=True, plain_tokens=20)
WINDOW = BOUNDS.quota_window_seconds
ALLOWED = (PER_SECOND * WINDOW + QUOTA.burst) * (1 + BOUNDS.quota_overshoot)
SETTLED_SECONDS = 2.5
AGED_SECONDS = WINDOW + 1.0
"""Seconds until nodes are older than the window; a younger one adds an estimate for the time before
its start."""


class QuotasTest(unittest.TestCase):
    def run_world(self, script, nodes=3, quota=QUOTA, **options):
        async def settled(world):
            await trio.sleep(AGED_SECONDS)
            self.limit(world, quota)
            await trio.sleep(SETTLED_SECONDS)
            await script(world)

        world = ExchangeWorld(nodes, **options)
        for number in range(4):
            world.add(f"e{number}", "llm")
            world.add(f"p{number}", "plain")
        world.run(settled)
        return world

    def limit(self, world, quota, version=2):
        """Give the first tenant a quota."""
        limited = msgspec.structs.replace(TENANTS[0], quota=quota)
        changed = configuration(version, tenants=(limited, *TENANTS[1:]))
        world.publish(ConfigurationPublished(changed))

    async def use_up(self, world, node=0, size=500):
        """Send requests of a tenant until one is refused; return the tokens that were admitted."""
        admitted = 0
        while True:
            answer = await world.request("stream", node, usage_tokens=size)
            if answer.error is not None:
                return admitted, answer.error
            admitted += size

    def test_what_is_over_the_quota_is_refused_and_told_when_to_come_back(self):
        async def script(world):
            admitted, error = await self.use_up(world)
            self.assertEqual(error.code, ErrorCode.RATE_LIMITED)
            self.assertIs(error.execution, Execution.NOT_RUN)
            self.assertTrue(0.0 < error.retry_after_seconds <= WINDOW)
            self.assertLessEqual(admitted, ALLOWED)
            self.assertGreater(admitted, 0.8 * PER_SECOND * WINDOW)

        self.run_world(script)

    def test_a_refused_request_reaches_no_instance(self):
        async def script(world):
            await self.use_up(world)
            before = len(world.instances.calls)
            await world.request("stream", usage_tokens=5_000)
            self.assertEqual(len(world.instances.calls), before)

        self.run_world(script)

    def test_what_one_node_admits_the_others_count(self):
        async def script(world):
            await self.use_up(world)
            await trio.sleep(1.0)
            for node in (1, 2):
                admitted, _ = await self.use_up(world, node)
                self.assertLessEqual(admitted, 1.5 * PER_SECOND)

        self.run_world(script, zones=3)

    def test_other_tenants_are_not_refused(self):
        async def script(world):
            await self.use_up(world)
            answer = await world.request("stream", key=ISOLATED_KEY, usage_tokens=50_000)
            self.assertIsNone(answer.error)

        self.run_world(script)

    def test_a_request_without_its_own_count_counts_what_the_operators_say(self):
        async def script(world):
            for _ in range(30):
                answer = await world.request("safe", usage_tokens=None)
                self.assertIsNone(answer.error)
            [usage] = world.nodes[0].quotas.usage_table.own_report().usage
            self.assertEqual(usage.admitted, 30 * QUOTA.plain_tokens)

        self.run_world(script)

    def test_what_has_not_run_does_not_count(self):
        async def script(world):
            for number in range(4):
                world.publish(InstanceRemoved(f"e{number}"))
            await trio.sleep(SETTLED_SECONDS)
            answer = await world.request("stream", usage_tokens=4_000)
            self.assertIs(answer.error.execution, Execution.NOT_RUN)
            self.assertEqual(
                [usage.admitted for usage in world.nodes[0].quotas.usage_table.own_report().usage],
                [0],
            )

        self.run_world(script)

    def test_a_lower_quota_holds_from_its_configuration_on(self):
        async def script(world):
            answer = await world.request("stream", usage_tokens=9_000)
            self.assertIsNone(answer.error)
            self.limit(world, TenantQuota(100.0, 0.0, in_tokens=True), version=3)
            await trio.sleep(1.0)
            answer = await world.request("stream", usage_tokens=100)
            self.assertEqual(answer.error.code, ErrorCode.RATE_LIMITED)

        self.run_world(script)

    def test_a_tenant_without_a_quota_has_no_limit(self):
        async def script(world):
            for _ in range(5):
                answer = await world.request("stream", key=KEY, usage_tokens=1_000_000)
                self.assertIsNone(answer.error)

        self.run_world(script, quota=None)

    def test_a_node_that_starts_waits_to_hear_what_others_used_before_it_refuses(self):
        async def script(world):
            async with trio.open_nursery() as nursery:
                world.start_node(nursery, "late")
                answer = await world.request("stream", -1, usage_tokens=4_000)
                self.assertIsNone(answer.error)
                self.assertTrue(world.nodes[-1].knowledge.last_answer_at > 0)
                nursery.cancel_scope.cancel()

        self.run_world(script)


if __name__ == "__main__":
    unittest.main()
