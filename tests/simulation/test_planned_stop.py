"""A planned stop interrupts no request."""

import trio

from emulator.platform.faults import FaultOrder
from emulator.simulation.deployment import sample_deployment
from emulator.simulation.history import Outcome
from hopstep.services.lifecycle import Lifecycle
from tests.simulation.harness import STEADY, SimulationTest, alone_and_in_pairs, call, under_load


async def stop_one(cluster):
    await cluster.stop_router("r1")


async def stop_twice(cluster):
    cluster.routers["r0"].stop()
    await trio.sleep(0.1)
    await cluster.stop_router("r0")


async def rolling_restart(cluster):
    for name in ("r2", "r1"):
        await cluster.stop_router(name)
        await cluster.start_router(name)


async def store_outage(cluster):
    cluster.order_platform_faults(FaultOrder(outage=True))


async def engine_crash(cluster):
    for engine in ("e0", "e1", "e2"):
        cluster.crash(engine)
        await trio.sleep(0.2)


FAULTS = {
    "one router": stop_one,
    "a store outage": store_outage,
    "twice in a row": stop_twice,
    "an engine crash": engine_crash,
    "a rolling restart": rolling_restart,
}


async def drain_nothing(lifecycle):
    await trio.lowlevel.checkpoint()
    return True


class PlannedStopTest(SimulationTest):
    def test_streams_complete_and_later_requests_are_refused_as_not_run(self):
        for names in alone_and_in_pairs(FAULTS):
            with self.subTest(stop=names):

                async def body(cluster, names=names):
                    await under_load(cluster, *[FAULTS[name] for name in names], mix=STEADY)

                cluster = self.run_clean(body)
                self.assert_all_complete(cluster, Outcome.CONNECTION_REFUSED)

    async def stop_with_a_queue(self, cluster):
        async with trio.open_nursery() as nursery:
            for number in range(12):
                nursery.start_soon(cluster.ask, "r1", call("harbour", text=str(number)))
            await trio.sleep(0.2)
            await cluster.stop_router("r1")

    def test_queued_requests_are_served_before_the_end(self):
        cluster = self.run_clean(
            self.stop_with_a_queue, deployment=sample_deployment(max_concurrent_requests=2)
        )
        outcomes = [answer.outcome for answer in cluster.history.answers]
        self.assertEqual(outcomes, [Outcome.COMPLETE] * 12)
        self.assertFalse(cluster.routers["r1"].running)

    def test_a_stop_that_does_not_wait_is_caught(self):
        self.assert_caught(
            "planned stop", self.stop_with_a_queue, (Lifecycle, "drain", drain_nothing)
        )
