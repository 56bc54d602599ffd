"""Routers whose machines were suspended: overdue deadlines expire, and no router counts as dead.

The clock jumps for the whole cluster at a random time, as for machines that are suspended and
resumed together; faults with ``pause`` cover a single router that stops for a while.
"""

import random

import trio

from emulator.simulation.cluster import run_simulation
from hopstep.domain.peer_message import MemberState
from tests.simulation.harness import SimulationTest, call, under_load

SEEDS = range(1, 7)
SHORTEST, LONGEST = 0.3, 30.0
BEFORE_SECONDS = 2.0
SETTLING_SECONDS = 8.0


class SuspensionTest(SimulationTest):
    def body(self, seed, inspect):
        generator = random.Random(seed)
        before = generator.uniform(0.0, BEFORE_SECONDS)
        seconds = generator.uniform(SHORTEST, LONGEST)

        async def suspend(_cluster):
            await trio.sleep(before)
            trio.lowlevel.current_clock().jump(seconds)

        async def run(cluster):
            await under_load(cluster, suspend, seed=seed)
            await trio.sleep(SETTLING_SECONDS)
            await inspect(cluster)

        return run

    def test_promises_hold_and_all_routers_are_members_again(self):
        async def inspect(cluster):
            for router in cluster.routers.values():
                states = {record.state for record in router.services.membership.members()}
                self.assertEqual(states, {MemberState.ALIVE})
                self.assertFalse(router.services.is_partitioned())

        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.run_clean(self.body(seed, inspect), seed=seed)

    def test_every_router_serves_at_once_afterwards(self):
        async def inspect(cluster):
            for name in cluster.routers:
                answer = await cluster.ask(name, call(text=name, max_tokens=1))
                self.assertEqual(answer.code, "")

        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.run_clean(self.body(seed, inspect), seed=seed)

    def test_a_request_that_waits_for_capacity_ends_at_its_deadline(self):
        async def run(cluster):
            answers = []

            async def ask():
                answers.append(await cluster.ask("r0", call(request_class="quick", max_tokens=400)))

            async with trio.open_nursery() as nursery:
                for _ in range(3):
                    nursery.start_soon(ask)
                await trio.sleep(0.05)
                trio.lowlevel.current_clock().jump(90.0)
                woke_at = trio.current_time()
            self.assertEqual({answer.code for answer in answers}, {"deadline_exceeded"})
            self.assertLess(max(answer.ended_at for answer in answers), woke_at + 1.0)

        # Without the oracle: it would count the suspension as the router's delay.
        run_simulation(run)
