"""An accepted configuration is in force everywhere within seconds and never reverts."""

from unittest import mock

import msgspec
import trio

from emulator.platform.faults import FaultOrder
from emulator.simulation.cluster import run_simulation
from emulator.simulation.deployment import sample_deployment
from emulator.simulation.history import Outcome
from hopstep.domain.configuration.log import Section
from hopstep.services.configuration.holder import ConfigurationHolder
from hopstep.services.configuration.restoration import ConfigurationRestoration
from hopstep.services.configuration.submission import SubmitStatus
from hopstep.services.configuration.sync import ConfigurationSync
from tests.simulation.harness import STEADY, SimulationTest, alone_and_in_pairs, call, under_load

ROUTERS = ("r0", "r1", "r2")
CONVERGENCE_SECONDS = 14.0


def moved(cluster, engine, zone):
    return msgspec.structs.replace(cluster.back_end(engine), labels={"zone": zone})


async def agree(cluster):
    """Wait until every router has the latest revision, at most the convergence time."""
    with trio.fail_after(CONVERGENCE_SECONDS):
        for router in cluster.routers.values():
            await router.services.holder.wait_above(cluster.world.latest().revision - 1)


async def settle(cluster):
    """Wait for routers to write the changes that a backup lacks again, and to converge."""
    await trio.sleep(CONVERGENCE_SECONDS + 1)
    await agree(cluster)


def silently_lost(cluster):
    """Return accepted changes that are missing in the store and not reported as displaced."""
    kept = set(cluster.stored_changes())
    named = {
        displaced.lost.change_id
        for router in cluster.routers.values()
        for displaced in router.services.synchronization.displaced
    }
    return cluster.accepted_changes - kept - named


async def racing_operators(cluster):
    async with trio.open_nursery() as nursery:
        for zone in ("a", "b", "c"):
            nursery.start_soon(cluster.edit, moved(cluster, "e1", zone), Section.BACK_ENDS)
        nursery.start_soon(cluster.edit, moved(cluster, "e2", "b"), Section.BACK_ENDS)


async def edit(cluster):
    outcome = await cluster.edit(moved(cluster, "e4", "c"), Section.BACK_ENDS)
    assert outcome is None or outcome.status is SubmitStatus.ACCEPTED


async def lost_answer(cluster):
    cluster.order_platform_faults(FaultOrder(lost_answers=1))
    await edit(cluster)


async def watch_with_gaps(cluster):
    cluster.order_platform_faults(FaultOrder(dropped_changes=1))
    await edit(cluster)
    cluster.order_platform_faults(FaultOrder(dropped_changes=0))


async def stale_answers_after_an_outage(cluster):
    await edit(cluster)
    cluster.order_platform_faults(FaultOrder(outage=True))
    await trio.sleep(1)
    cluster.order_platform_faults(FaultOrder(outage=False, stale_reads=6))
    await racing_operators(cluster)
    await trio.sleep(2)
    cluster.order_platform_faults(FaultOrder(stale_reads=0))


async def restart_one(cluster):
    await edit(cluster)
    await cluster.restart("r2")


async def restart_all(cluster):
    await edit(cluster)
    await cluster.restart()


async def partition(cluster):
    cluster.cut_peers("r0")
    await edit(cluster)
    await trio.sleep(3)
    cluster.heal()


async def pause(cluster):
    cluster.pause("r1")
    await edit(cluster)
    await trio.sleep(4)
    cluster.resume("r1")


async def rate_limit(cluster):
    cluster.order_platform_faults(FaultOrder(requests_per_second=2.0))
    await edit(cluster)
    cluster.order_platform_faults(FaultOrder(requests_per_second=0.0))


async def restored_store(cluster):
    """Restore the store from a backup that lacks a change which all routers have."""
    backup = cluster.back_up_store()
    await edit(cluster)
    await trio.sleep(3)
    cluster.restore_store(backup)


async def without_store(cluster):
    """Cut two of three routers off from the store for the longest time that a revision may take."""
    for name in ("r0", "r1"):
        cluster.cut_platform(name)
    await edit(cluster)
    await trio.sleep(CONVERGENCE_SECONDS + 1)


FAULTS = {
    "racing operators": racing_operators,
    "a lost answer": lost_answer,
    "a watch with gaps": watch_with_gaps,
    "stale answers after an outage": stale_answers_after_an_outage,
    "restart of one": restart_one,
    "restart of all": restart_all,
    "a partition": partition,
    "a paused router": pause,
    "a rate limit": rate_limit,
}
LASTING_FAULTS = {"two routers without the store": without_store}
RESTORED = {"a restored store": restored_store}


class ConfigurationTest(SimulationTest):
    def test_every_router_follows_and_none_goes_back(self):
        for names in alone_and_in_pairs(FAULTS):
            with self.subTest(faults=names):
                cluster = self.run_clean(self.body(*names, convergence=agree))
                self.assertGreater(cluster.world.latest().revision, 1)

    def test_no_accepted_change_is_silently_lost_with_a_restored_store(self):
        for other in ((), *((name,) for name in FAULTS)):
            with self.subTest(combined_with=other):
                cluster = self.run_clean(self.body(*RESTORED, *other, convergence=settle))
                self.assertEqual(silently_lost(cluster), set())

    def test_a_variant_that_writes_no_change_again_is_caught(self):
        variant = (ConfigurationRestoration, "is_due", lambda _restoration: False)
        with mock.patch.object(*variant):
            cluster = run_simulation(self.body(*RESTORED))
        self.assertTrue(silently_lost(cluster))

    def test_revisions_spread_among_peers_while_the_store_is_down(self):
        async def body(cluster):
            for name in ("r0", "r1"):
                cluster.cut_platform(name)
            await edit(cluster)
            await trio.sleep(8)
            held = {router.services.holder.revision for router in cluster.routers.values()}
            self.assertEqual(held, {2})

        self.run_clean(body)

    def test_a_cut_off_router_refuses_bound_tenants_and_serves_the_others(self):
        async def body(cluster):
            cluster.cut_router("r1")
            await cluster.edit(moved(cluster, "e1", "c"), Section.BACK_ENDS)
            await trio.sleep(CONVERGENCE_SECONDS)
            bound = await cluster.ask("r1", call("harbour"))
            free = await cluster.ask("r1", call("anywhere"))
            self.assertEqual((bound.code, bound.execution), ("isolated", "not_run"))
            self.assertEqual(free.outcome, Outcome.COMPLETE)
            cluster.heal()
            await trio.sleep(CONVERGENCE_SECONDS)
            bound = await cluster.ask("r1", call("harbour"))
            self.assertEqual(bound.outcome, Outcome.COMPLETE)

        self.run_clean(body)

    def test_wrong_variants_are_caught(self):
        for name, fault, routers, variant in (
            (
                "lower revisions applied",
                "a partition",
                6,
                (ConfigurationHolder, "apply", apply_twice),
            ),
            (
                "nothing pulled from peers",
                "two routers without the store",
                3,
                (ConfigurationSync, "_pull", no_pull),
            ),
        ):
            with self.subTest(variant=name):
                self.assert_caught(
                    "configuration",
                    self.body(fault, "racing operators"),
                    variant,
                    deployment=sample_deployment(routers=routers),
                )

    def test_routers_without_the_store_follow_their_peers(self):
        self.run_clean(self.body("two routers without the store", "racing operators"))

    @staticmethod
    def body(*names, convergence=None):
        async def run(cluster):
            faults = [{**FAULTS, **LASTING_FAULTS, **RESTORED}[name] for name in names]
            await under_load(cluster, *faults, mix=STEADY)
            cluster.end_faults()
            if convergence is None:
                await trio.sleep(CONVERGENCE_SECONDS + 1)
            else:
                await convergence(cluster)

        return run


APPLY = ConfigurationHolder.apply


def apply_twice(holder, accepted):
    """Put each revision in force, followed by the earlier one."""
    earlier = holder.current
    applied = APPLY(holder, accepted)
    if applied and earlier is not None:
        for listener in holder._listeners:
            listener(earlier)
    return applied


async def no_pull(synchronization, peer):
    await trio.lowlevel.checkpoint()
