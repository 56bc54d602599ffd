"""Faults at random times, in combination and repeated, by seeded schedules."""

import trio

from emulator.simulation.callers import Crowd
from emulator.simulation.chaos import Chaos
from emulator.simulation.deployment import sample_deployment
from emulator.simulation.history import Outcome
from tests import fuzz_settings
from tests.simulation.harness import SimulationTest, call

RUNS_IN_CI = 3
CHAOS_SECONDS = 30.0
RECOVERY_SECONDS = 20.0
UNPLACED = "no_admissible_back_end"


class ChaosTest(SimulationTest):
    def check_run(self, seed):
        async def body(cluster):
            chaos = Chaos(cluster, seed)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(Crowd(cluster, seed).run, CHAOS_SECONDS)
                await chaos.run(CHAOS_SECONDS)
            await chaos.recover()
            await trio.sleep(RECOVERY_SECONDS)
            for router in ("r0", "r1", "r2"):
                answer = await cluster.ask(router, call(text=router))
                self.assertEqual(answer.outcome, Outcome.COMPLETE)
            answer = await cluster.ask("r1", call("harbour"))
            self.assertIn((answer.outcome, answer.code), ALLOWED_IN_THE_HARBOUR)

        deployment = sample_deployment(kv_cache_store=seed % 2 == 0)
        cluster = self.run_clean(body, seed=seed, deployment=deployment)
        complete = [item for item in cluster.history.answers if item.outcome is Outcome.COMPLETE]
        self.assertGreater(len(complete), 10)

    def test_the_oracle_finds_no_violation_under_chaos(self):
        first = 1_000 * (fuzz_settings.seed() or 0) + 1
        for seed in range(first, first + fuzz_settings.max_examples(RUNS_IN_CI)):
            with self.subTest(seed=seed):
                self.check_run(seed)


ALLOWED_IN_THE_HARBOUR = ((Outcome.COMPLETE, ""), (Outcome.REFUSED, UNPLACED))
"""Edits may have left no engine on which the tenant may be placed."""
