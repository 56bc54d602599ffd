"""A router that restarts serves within its time limit, and refuses at once before that."""

import trio

from emulator.engine.faults import EngineFaults
from emulator.platform.faults import FaultOrder
from emulator.simulation.history import Outcome
from hopstep.services.configuration.sync import ConfigurationSync
from tests.simulation.harness import STEADY, SimulationTest, call, under_load

ROUTERS = ("r0", "r1", "r2")
ONE = ("r1",)
STEP_SECONDS = 0.05
UP = FaultOrder()
SLOW = FaultOrder(slow_seconds=1.0)
DOWN = FaultOrder(outage=True)

CASES = (
    ("one, store up", ONE, UP, 1.0),
    ("one, store slow", ONE, SLOW, 2.0),
    ("one, store down", ONE, DOWN, 2.0),
    ("two, store down", ("r1", "r2"), DOWN, 2.0),
    ("all, store up", ROUTERS, UP, 1.0),
    ("all, store slow", ROUTERS, SLOW, 5.0),
)
"""Name, restarted routers, faults of the store, and longest seconds to the first response."""


async def seconds_to_first_answer(cluster, router, limit):
    """Send requests until one is complete; each one before must be refused at once as not run."""
    began_at = trio.current_time()
    while trio.current_time() < began_at + limit + 5.0:
        answer = await cluster.ask(router, call(max_tokens=1))
        if answer.outcome is Outcome.COMPLETE:
            return answer.first_token_at - began_at
        assert answer.reports_not_run, answer
        assert answer.ended_at == answer.started_at, answer
        await trio.sleep(STEP_SECONDS)
    return float("inf")


async def ask_no_peer(synchronization):
    await trio.lowlevel.checkpoint()


class RestartTest(SimulationTest):
    def time_to_serve(self, routers, order, limit, backlog=False):
        taken = []

        async def body(cluster):
            await under_load(cluster, seconds=2.0, mix=STEADY)
            if backlog:
                for back_end in cluster.deployment.back_ends:
                    if back_end.models:
                        faults = EngineFaults(event_delay_seconds=30.0, report_lag_seconds=30.0)
                        cluster.set_engine_faults(back_end.name, faults)
            cluster.order_platform_faults(order)
            await cluster.restart(*routers)
            taken.append(await seconds_to_first_answer(cluster, routers[0], limit))

        self.run_clean(body)
        return taken[0]

    def test_the_first_answer_comes_in_time(self):
        for name, routers, order, limit in CASES:
            for backlog in (False, True):
                with self.subTest(restart=name, backlog=backlog):
                    self.assertLess(self.time_to_serve(routers, order, limit, backlog), limit)

    def test_all_restarted_with_the_store_down_refuse_at_once_and_serve_when_it_is_back(self):
        async def body(cluster):
            cluster.order_platform_faults(DOWN)
            await cluster.restart()
            for _ in range(20):
                answer = await cluster.ask("r1", call())
                self.assertEqual((answer.code, answer.execution), ("not_ready", "not_run"))
                self.assertEqual(answer.ended_at, answer.started_at)
                await trio.sleep(1)
            cluster.order_platform_faults(FaultOrder(outage=False))
            self.assertLess(await seconds_to_first_answer(cluster, "r1", 7.0), 7.0)

        self.run_clean(body)

    def test_a_router_that_does_not_ask_its_peers_is_caught(self):
        original = ConfigurationSync._ask_for_first
        ConfigurationSync._ask_for_first = ask_no_peer
        self.addCleanup(setattr, ConfigurationSync, "_ask_for_first", original)
        pull = ConfigurationSync._pull
        ConfigurationSync._pull = lambda synchronization, peer: ask_no_peer(synchronization)
        self.addCleanup(setattr, ConfigurationSync, "_pull", pull)
        self.assertGreater(self.time_to_serve(ONE, DOWN, 2.0), 2.0)
