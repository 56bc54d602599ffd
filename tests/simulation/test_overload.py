"""Limits while routers start and stop, outages without amplification, immediate refusals."""

from unittest import mock

import msgspec
import trio

from emulator.simulation.callers import Crowd, Mix
from emulator.simulation.deployment import sample_deployment
from emulator.simulation.history import Outcome
from hopstep.domain.configuration.document import TenantLimits
from hopstep.domain.limits.limiter import FLOOR_RATIO, OVERSHOOT_BOUND, PARTS_PER_LIMIT
from hopstep.domain.retry_budget import RetryBudget
from hopstep.services.limit_leases import LimitLeaseService
from hopstep.services.requests.dispatcher import Dispatcher
from tests.simulation.harness import SimulationTest, call

RATE = 4.0
CONCURRENT = 6

MIN_USED_SHARE = 0.5
"""Least share of the limit that the tenant must get while routers start and stop."""

ROUTERS = 3
STORM = Mix(requests_per_second=30.0, once_share=0.0, leave_share=0.0, classes=("batch",))
BUSY = Mix(requests_per_second=10.0, once_share=0.0, leave_share=0.0, slow_share=0.0, max_tokens=4)


def one_tenant(**limits):
    document = sample_deployment(routers=ROUTERS)
    tenant = msgspec.structs.replace(document.tenants[0], limits=TenantLimits(**limits))
    return msgspec.structs.replace(document, tenants=(tenant,))


def unlimited():
    return one_tenant()


def limited():
    return one_tenant(requests_per_second=RATE)


def concurrent():
    return one_tenant(max_concurrent_requests=CONCURRENT)


async def restart_routers(cluster):
    """Send more than the limit while routers are killed, started and stopped."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(Crowd(cluster, 3, BUSY).run, 20.0)
        await trio.sleep(8)
        cluster.routers["r0"].kill()
        await trio.sleep(3)
        await cluster.start_router("r0")
        await trio.sleep(4)
        await cluster.stop_router("r1")
        await cluster.start_router("r1")


def over_bound(cluster):
    """Return the spans of time in which more requests were admitted than the stated bound."""
    entered = sorted(
        answer.started_at
        for answer in cluster.history.answers
        if answer.code != "rate_limited" and answer.outcome is not Outcome.CONNECTION_REFUSED
    )
    incarnations = cluster.history.incarnations
    spans = []
    for first, began_at in enumerate(entered):
        for last in range(first, len(entered)):
            seconds = entered[last] - began_at
            starts = sum(
                began_at <= incarnation.began_at <= entered[last] for incarnation in incarnations
            )
            bound = RATE * (1 + OVERSHOOT_BOUND) * (seconds + 1)
            bound += RATE * FLOOR_RATIO / ROUTERS * starts
            if last - first + 1 > bound:
                spans.append((began_at, entered[last], last - first + 1, bound))
    return spans


def most_at_once(cluster):
    """Return the largest number of requests that ran or waited at one time."""
    entered = [item for item in cluster.history.answers if item.code != "rate_limited"]
    return max(
        sum(other.started_at <= item.started_at < other.ended_at for other in entered)
        for item in entered
    )


class LimitsTest(SimulationTest):
    def test_the_rate_stays_within_its_bound(self):
        cluster = self.run_clean(restart_routers, deployment=limited())
        self.assertEqual(over_bound(cluster), [])
        codes = {answer.code for answer in cluster.history.answers}
        self.assertIn("rate_limited", codes)
        complete = sum(item.outcome is Outcome.COMPLETE for item in cluster.history.answers)
        self.assertGreater(complete, RATE * 20 * MIN_USED_SHARE)

    def test_a_router_that_takes_the_whole_limit_is_caught(self):
        variant = mock.patch.object(LimitLeaseService, "part", lambda *_: PARTS_PER_LIMIT)
        variant.start()
        self.addCleanup(variant.stop)
        cluster = self.run_clean(restart_routers, deployment=limited(), settle_seconds=10.0)
        self.assertTrue(over_bound(cluster))

    def test_concurrency_stays_within_its_bound(self):
        cluster = self.run_clean(restart_routers, deployment=concurrent())
        self.assertLessEqual(most_at_once(cluster), CONCURRENT * (1 + OVERSHOOT_BOUND) + ROUTERS)


class OutageTest(SimulationTest):
    @staticmethod
    async def outage(cluster):
        for address in cluster.world.engine_addresses:
            cluster.world.engines.set_down(address, True)
        await Crowd(cluster, 5, STORM).run(10.0)

    def test_an_outage_of_all_engines_is_not_amplified(self):
        cluster = self.run_clean(self.outage, deployment=unlimited())
        dispatches = cluster.history.dispatches
        firsts = len({item.sending for item in dispatches})
        # A tenth, plus the floor and the saved retries of three routers.
        self.assertLess(len(dispatches) / firsts, 1.5)
        for answer in cluster.history.answers:
            self.assertTrue(answer.reports_not_run, answer)

    def test_a_budget_that_allows_everything_is_caught(self):
        variant = (RetryBudget, "allows", lambda *_: True)
        self.assert_caught("amplification", self.outage, variant, deployment=unlimited())

    def test_a_full_queue_refuses_at_once(self):
        document = sample_deployment(engines=1, max_concurrent_requests=1)
        document = msgspec.structs.replace(
            document, tenants=one_tenant(max_queued_requests=2).tenants
        )

        async def body(cluster):
            async with trio.open_nursery() as nursery:
                for number in range(8):
                    nursery.start_soon(cluster.ask, "r0", call(text=str(number), max_tokens=40))
                    await trio.sleep(0.01)

        cluster = self.run_clean(body, deployment=document)
        refused = [item for item in cluster.history.answers if item.code == "overloaded"]
        self.assertGreater(len(refused), 2)
        for answer in refused:
            self.assertTrue(answer.reports_not_run)
            self.assertEqual(answer.ended_at, answer.started_at)

    def test_a_refusal_that_waits_for_cancels_is_caught(self):
        """The error of a failed request must not wait for its clean-up at the engines."""
        execute = Dispatcher._execute

        async def execute_late(execution, stream):
            fail = stream.fail

            def fail_late(error):
                execution._late = error

            stream.fail = fail_late
            await execute(execution, stream)
            await trio.sleep(2)
            if hasattr(execution, "_late"):
                fail(execution._late)

        async def body(cluster):
            for address in cluster.world.engine_addresses:
                cluster.world.engines.set_down(address, True)
            await cluster.ask("r0", call())

        variant = (Dispatcher, "_execute", staticmethod(execute_late))
        self.assert_caught("refusal", body, variant)
