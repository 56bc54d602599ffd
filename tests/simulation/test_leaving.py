"""A back end about to shut down gets no new work after a few seconds."""

import msgspec
import trio

from emulator.platform.faults import FaultOrder
from emulator.simulation.deployment import sample_deployment
from emulator.simulation.history import Call, Outcome
from hopstep.domain.configuration.log import Section
from hopstep.domain.leaving_machines import LeavingMachines, ReportedMachines
from hopstep.domain.routing.routing_table import RoutingTable
from hopstep.services.cluster import Cluster
from tests.simulation.harness import STEADY, SimulationTest, alone_and_in_pairs, under_load

ENGINE = "e1"
SECONDS = 10.0
DEATH_SECONDS = 16.0
"""Time after which killed routers count as dead."""


async def machine_list(cluster):
    cluster.machine_list_shows_leaving(ENGINE)


async def lagging_list(cluster):
    cluster.order_platform_faults(FaultOrder(machine_list_lag_seconds=2.0))
    cluster.machine_list_shows_leaving(ENGINE, lag_seconds=2.0)


async def flapping_list(cluster):
    cluster.machine_list_shows_leaving(ENGINE, flapping=True)


async def list_goes_down(cluster):
    cluster.machine_list_shows_leaving(ENGINE)
    await trio.sleep(1.5)
    cluster.order_platform_faults(FaultOrder(machine_list_outage=True))
    await cluster.restart("r0")


async def engine_announces_it(cluster):
    cluster.engine_leaves(ENGINE)


async def operator_announces_it(cluster):
    leaving = msgspec.structs.replace(cluster.back_end(ENGINE), leaving=True)
    await cluster.edit(leaving, Section.BACK_ENDS)


async def cut_off_from_peers(cluster):
    cluster.cut_peers("r1")
    cluster.machine_list_shows_leaving(ENGINE)


async def cut_off_from_the_platform(cluster):
    cluster.cut_platform("r1")
    cluster.machine_list_shows_leaving(ENGINE)


async def cut_off_and_reporting_routers_killed(cluster):
    cluster.cut_platform("r1")
    cluster.machine_list_shows_leaving(ENGINE)
    await trio.sleep(2.5)
    for name in ("r0", "r2"):
        cluster.routers[name].kill()
    await trio.sleep(DEATH_SECONDS)
    for number in range(24):
        answer = await cluster.ask("r1", Call("anywhere", "batch", f"{number} " * 40, 1))
        assert answer.outcome is Outcome.COMPLETE, answer


async def crashes(cluster):
    for engine in ("e4", "e0"):
        cluster.crash(engine)
        await trio.sleep(1)


FAULTS = {
    "the list shows it": machine_list,
    "the list lags": lagging_list,
    "the list flaps": flapping_list,
    "the list goes down": list_goes_down,
    "the engine announces it": engine_announces_it,
    "the operator announces it": operator_announces_it,
    "a router is cut off from its peers": cut_off_from_peers,
    "a router is cut off from the platform": cut_off_from_the_platform,
    "retries": crashes,
}


def replace_all(machines, leaving, live):
    return frozenset(leaving)


class LeavingTest(SimulationTest):
    def test_no_new_work_after_a_few_seconds(self):
        for names in alone_and_in_pairs(FAULTS):
            with self.subTest(faults=names):
                cluster = self.run_clean(self.body(*names))
                self.assert_all_complete(cluster)

    def test_queued_requests_go_elsewhere(self):
        cluster = self.run_clean(
            self.body("the list shows it"), deployment=sample_deployment(max_concurrent_requests=1)
        )
        self.assert_all_complete(cluster)

    def test_reports_of_peers_stay_valid_after_their_death(self):
        self.run_clean(cut_off_and_reporting_routers_killed)
        variant = (ReportedMachines, "update", lambda machines, reported, *_: frozenset(reported))
        self.assert_caught("leaving", cut_off_and_reporting_routers_killed, variant)

    def test_wrong_variants_are_caught(self):
        for name, fault, variant in (
            (
                "leaving ignored",
                "the list shows it",
                (RoutingTable, "update_leaving", lambda *_: None),
            ),
            (
                "each answer replaces the last",
                "the list flaps",
                (LeavingMachines, "update", replace_all),
            ),
            (
                "nothing reported to peers",
                "a router is cut off from the platform",
                (Cluster, "leaving_by_peers", lambda _: {}),
            ),
        ):
            with self.subTest(variant=name):
                self.assert_caught_by_some_seed("leaving", self.body(fault), variant)

    @staticmethod
    def body(*names):
        async def run(cluster):
            faults = [FAULTS[name] for name in names]
            await under_load(cluster, *faults, seconds=SECONDS, mix=STEADY)

        return run
