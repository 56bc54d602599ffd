"""Admission: bounded fair queue, early refusals, goodput under overload, released slots."""

import statistics
import unittest
from unittest import mock

import msgspec
import trio

from emulator.engine.config import EngineConfig
from hopstep.domain import fair_queue
from hopstep.domain.configuration.document import Tenant, TenantLimits
from hopstep.domain.limits.limiter import PARTS_PER_LIMIT
from hopstep.domain.queue_pace import QueuePace
from hopstep.exceptions import ErrorCode, Execution, ServiceError
from hopstep.services.requests import attempt_factory
from hopstep.services.requests.admission import AdmissionService
from hopstep.services.requests.engine_slots import EngineSlots, engine_priority
from hopstep.services.requests.tenant_limits import TenantLimitService
from tests.services.requests.request_path import (
    TENANT,
    RequestPath,
    configuration,
    engine,
    oracle,
    run,
    tokens_of,
)

FLOODING = Tenant("flooding", limits=TenantLimits(max_queued_requests=200))
WITHIN = Tenant("within", limits=TenantLimits(max_queued_requests=200))
SLOTS = 4
TOKENS = 4
ENGINE = EngineConfig(max_batch_size=SLOTS, decode_base_seconds=0.1, heartbeat_seconds=10.0)
SERVICE_SECONDS = TOKENS * 0.102 + 0.02
CAPACITY = 2 * SLOTS / SERVICE_SECONDS
"""Approximate requests per second that two engines with ``SLOTS`` slots serve."""


class Load:
    """Requests offered at a steady rate, and their results by tenant."""

    def __init__(self, path):
        self.path = path
        self.complete = {}
        self.refusals = []
        self.first_waits = {}

    async def one(self, tenant):
        request = self.path.request(
            tenant=tenant, max_tokens=TOKENS, deadline=trio.current_time() + 30
        )
        began = trio.current_time()
        try:
            parts = await self.path.answer(request)
        except ServiceError as error:
            self.refusals.append((error, trio.current_time() - began))
            return
        if tokens_of(parts) == oracle(request):
            self.complete[tenant.name] = self.complete.get(tenant.name, 0) + 1
            self.first_waits.setdefault(tenant.name, []).append(trio.current_time() - began)

    async def offer(self, tenant, rate, seconds):
        async with trio.open_nursery() as nursery:
            for _ in range(round(rate * seconds)):
                nursery.start_soon(self.one, tenant)
                await trio.sleep(1 / rate)


def overloaded_path(max_concurrent_requests=SLOTS):
    document = configuration(
        tenants=(FLOODING, WITHIN), max_concurrent_requests=max_concurrent_requests
    )
    quick = msgspec.structs.replace(document.classes[0], max_queue_seconds=1.0)
    document = msgspec.structs.replace(document, classes=(quick, *document.classes[1:]))
    return RequestPath(document, engine_config=ENGINE)


def offered(*loads, seconds=20, max_concurrent_requests=SLOTS):
    """Offer load at pairs of tenant and rate; return the load and the time at its end."""

    async def scenario():
        path = overloaded_path(max_concurrent_requests)
        await path.learn_facts()
        load = Load(path)
        async with trio.open_nursery() as nursery:
            for tenant, rate in loads:
                nursery.start_soon(load.offer, tenant, rate, seconds)
        return load, trio.current_time()

    return run(scenario)


class OverloadTest(unittest.TestCase):
    def test_goodput_holds_at_twice_capacity_and_refusals_are_early(self):
        best, best_seconds = offered((FLOODING, CAPACITY))
        twice, twice_seconds = offered((FLOODING, 2 * CAPACITY))
        best_rate = best.complete["flooding"] / best_seconds
        rate = twice.complete["flooding"] / twice_seconds
        self.assertGreaterEqual(rate, 0.9 * best_rate)
        self.assertGreater(len(twice.refusals), 0)
        for error, waited in twice.refusals:
            self.assertEqual(error.code, ErrorCode.OVERLOADED)
            self.assertEqual(error.execution, Execution.NOT_RUN)
            self.assertGreater(error.retry_after_seconds, 0)
            self.assertLessEqual(waited, 1.0 + 1e-6)
        at_once = sum(waited == 0 for _, waited in twice.refusals)
        self.assertGreater(at_once, 0.8 * len(twice.refusals))

    def early_share(self):
        """Return the share of immediate refusals while another tenant's requests go first."""
        load, _ = offered((FLOODING, 2 * CAPACITY), (WITHIN, 0.45 * CAPACITY), seconds=40)
        self.assertEqual({error.code for error, _ in load.refusals}, {ErrorCode.OVERLOADED})
        return sum(waited == 0 for _, waited in load.refusals) / len(load.refusals)

    def test_refusals_are_early_when_other_tenants_go_before(self):
        self.assertGreater(self.early_share(), 0.98)

    def test_variant_that_expects_the_wait_by_order_alone_is_detected(self):
        with mock.patch.object(QueuePace, "expected_wait", return_value=0.0):
            self.assertLess(self.early_share(), 0.98)

    def within_share(self):
        """Return the ratio of complete responses and the worst time of the tenant ``WITHIN``."""
        load, _ = offered((FLOODING, 2 * CAPACITY), (WITHIN, 0.2 * CAPACITY))
        sent = round(0.2 * CAPACITY * 20)
        return load.complete.get("within", 0) / sent, max(load.first_waits["within"])

    def test_tenant_within_its_share_is_not_harmed(self):
        complete, worst = self.within_share()
        self.assertEqual(complete, 1.0)
        self.assertLess(worst, 2 * SERVICE_SECONDS + 0.5)

    def test_variant_that_serves_in_order_of_arrival_is_detected(self):
        def in_order(self):
            entries = [e for queue in self.tenants.values() for e in queue.entries.values()]
            yield from sorted(entries, key=lambda entry: int(entry.entry_id))

        def count_all(self, entry, competes):
            return len(self)

        with (
            mock.patch.object(fair_queue._PriorityQueue, "in_order", in_order),
            mock.patch.object(fair_queue.FairQueue, "count_before", count_all),
        ):
            complete, worst = self.within_share()
        self.assertTrue(complete < 1.0 or worst >= 2 * SERVICE_SECONDS + 0.5)

    def median_wait_at_queueing_engines(self):
        """Return the median time of a tenant within its share, with queues at the engines too."""
        load, _ = offered(
            (FLOODING, 2 * CAPACITY),
            (WITHIN, 0.2 * CAPACITY),
            max_concurrent_requests=4 * SLOTS,
        )
        return statistics.median(load.first_waits["within"])

    def test_a_flooding_tenant_yields_in_the_queues_of_engines(self):
        median = self.median_wait_at_queueing_engines()
        self.assertLess(median, 2 * SERVICE_SECONDS)
        with mock.patch.object(attempt_factory, "engine_priority", lambda priority, _: priority):
            self.assertGreater(self.median_wait_at_queueing_engines(), 1.5 * median)

    def test_engine_priorities_keep_classes_apart(self):
        order = [(1, False), (1, True), (2, False), (2, True)]
        priorities = [engine_priority(*item) for item in order]
        self.assertEqual(priorities, sorted(set(priorities)))


class QueueTest(unittest.TestCase):
    def busy_path(self, tenant=TENANT, **changes):
        document = configuration(engines=1, tenants=(tenant,), max_concurrent_requests=1)
        return RequestPath(document, **changes)

    async def hold(self, path, task_status):
        """Take the only slot until cancelled."""
        async with path.dispatcher.run(path.request(max_tokens=4000)) as stream:
            await anext(stream)
            task_status.started()
            await trio.sleep_forever()

    def queued_while_busy(self, scenario, tenant=TENANT):
        async def with_busy_engine():
            path = self.busy_path(tenant)
            await path.learn_facts()
            async with trio.open_nursery() as nursery:
                await nursery.start(lambda task_status: self.hold(path, task_status))
                await scenario(path, nursery)
                nursery.cancel_scope.cancel()
            self.assertEqual((path.admission.slots.total(), path.admission.queued), (0, 0))

        run(with_busy_engine)

    def test_caller_that_leaves_the_queue_never_runs(self):
        async def scenario(path, nursery):
            request = path.request()
            with trio.move_on_after(1.0):
                await path.answer(request)
            self.assertEqual(path.admission.queued, 0)
            nursery.cancel_scope.cancel()
            await trio.lowlevel.checkpoint_if_cancelled()

        self.queued_while_busy(scenario)

    def test_deadline_in_the_queue_is_answered_at_once(self):
        async def scenario(path, nursery):
            request = path.request(deadline=trio.current_time() + 0.7)
            with self.assertRaises(ServiceError) as caught:
                await path.answer(request)
            self.assertAlmostEqual(trio.current_time(), request.deadline, places=3)
            self.assertEqual(caught.exception.execution, Execution.NOT_RUN)
            self.assertEqual(path.runs(request), 0)

        self.queued_while_busy(scenario)

    def test_queue_is_bounded_by_the_tenant(self):
        tenant = Tenant("library", limits=TenantLimits(max_queued_requests=2))

        async def scenario(path, nursery):
            path.admission._mean_hold_seconds = 1.0
            for _ in range(2):
                nursery.start_soon(path.answer, path.request(tenant=tenant))
            await trio.testing.wait_all_tasks_blocked()
            with self.assertRaises(ServiceError) as caught:
                await path.answer(path.request(tenant=tenant))
            self.assertEqual(caught.exception.code, ErrorCode.OVERLOADED)

        self.queued_while_busy(scenario, tenant)

    def test_request_queued_for_an_engine_that_leaves_is_refused_or_served_elsewhere(self):
        async def scenario(path, nursery):
            request = path.request()
            refused = []

            async def ask():
                try:
                    await path.answer(request)
                except ServiceError as error:
                    refused.append((error, trio.current_time()))

            nursery.start_soon(ask)
            await trio.sleep(0.5)
            path.apply(configuration(engines=1, leaving=True))
            applied_at = trio.current_time()
            await trio.sleep(0.5)
            error, at = refused[0]
            self.assertEqual(error.code, ErrorCode.NO_ADMISSIBLE_BACK_END)
            self.assertEqual(error.execution, Execution.NOT_RUN)
            self.assertLessEqual(at - applied_at, 0.2)
            self.assertEqual(path.runs(request), 0)

        self.queued_while_busy(scenario)

    def test_load_of_other_routers_counts(self):
        async def scenario():
            path = self.busy_path()
            await path.learn_facts()
            admission = AdmissionService(path.holder, path.table, lambda address: 1)
            with trio.move_on_after(0.5) as scope:
                await admission.acquire(path.request())
            self.assertTrue(scope.cancelled_caught)
            self.assertEqual((admission.queued, admission.slots.total()), (0, 0))

        run(scenario)

    def test_slot_is_released_once(self):
        async def scenario():
            path = self.busy_path()
            slot = await path.admission.acquire(path.request())
            other = path.admission.try_acquire(path.request(), frozenset())
            self.assertIsNone(other)
            slot.release()
            again = await path.admission.acquire(path.request())
            slot.release()
            self.assertEqual(path.admission.slots.total(), 1)
            again.release()

        run(scenario)


class EngineSlotsTest(unittest.TestCase):
    def test_window_shrinks_on_overload_and_grows_back(self):
        engine_of_eight = engine(0, max_concurrent_requests=8)
        slots = EngineSlots()
        for _ in range(8):
            slots.take(engine_of_eight.address)
        self.assertFalse(slots.is_free(engine_of_eight))
        slots.record_overloaded(engine_of_eight)
        self.assertEqual(slots.window(engine_of_eight), 5)
        for _ in range(10):
            slots.record_overloaded(engine_of_eight)
        self.assertEqual(slots.window(engine_of_eight), 1)
        windows = []
        for _ in range(60):
            slots.release_one(engine_of_eight)
            windows.append(slots.window(engine_of_eight))
            slots.take(engine_of_eight.address)
        self.assertEqual(windows, sorted(windows))
        self.assertEqual(windows[-1], 8)


class TenantLimitServiceTest(unittest.TestCase):
    def test_refuses_at_once_and_follows_the_configuration_in_force(self):
        async def scenario():
            limited = Tenant("library", limits=TenantLimits(max_concurrent_requests=1))
            path = RequestPath(configuration(tenants=(limited,)))
            limits = TenantLimitService(path.holder)
            await trio.sleep(20)
            path.dispatcher._limits = limits
            async with path.dispatcher.run(path.request()) as stream:
                await anext(stream)
                with self.assertRaises(ServiceError) as caught:
                    await path.answer(path.request())
                self.assertEqual(caught.exception.code, ErrorCode.RATE_LIMITED)
                self.assertEqual(caught.exception.execution, Execution.NOT_RUN)
                self.assertEqual(
                    limits.take_wanted(1.0, lambda tenant: 1.0), {"library": PARTS_PER_LIMIT}
                )
                path.apply(configuration(tenants=(Tenant("library"),)))
                await trio.sleep(1)
                await path.answer(path.request())
            self.assertEqual(limits.take_wanted(1.0, lambda tenant: 1.0), {})
            path.apply(configuration(tenants=(limited,)))
            faded = [limits.take_wanted(1.0, lambda tenant: 1.0)["library"] for _ in range(50)]
            self.assertEqual(faded, sorted(faded, reverse=True))
            self.assertEqual(faded[-1], 0)

        run(scenario)


if __name__ == "__main__":
    unittest.main()
