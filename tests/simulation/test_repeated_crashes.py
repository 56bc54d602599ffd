"""All routers refuse a prompt that crashes each engine which starts it.

Guards against counting attempts by request only (nodes of routed exchanges are tested likewise in
``tests.services.exchanges.test_repeated_crashes``): a caller that sends such a prompt again, at any
router, then crashes two engines or more each time.
"""

import trio

from emulator.platform.in_memory import InMemoryStore
from hopstep.services.quarantine.reader import POLL_SECONDS
from hopstep.services.quarantine.stored_requests import QUARANTINE_PREFIX
from tests.simulation.harness import STEADY, SimulationTest, call, under_load

ROUTERS = ("r0", "r1", "r2")
TEXT = "the fatal one"
REPEATS = 12
BETWEEN_SECONDS = 0.5
CRASHES_BEFORE_REFUSAL = 3
STORE_SECONDS = 1.0
SPREAD_SECONDS = 2 * POLL_SECONDS
"""Time until routers have read the store again, and the others have received the change."""


class RepeatedCrashesTest(SimulationTest):
    def make_fatal(self, cluster, request):
        cluster.world.engines.fatal_prompts.add(request.prompt)

    async def send_again(self, cluster, request, repeats=REPEATS):
        """Send a request repeatedly, to one router after the other; return the answers."""
        answers = []
        for number in range(repeats):
            answers.append(await cluster.ask(ROUTERS[number % len(ROUTERS)], request))
            await trio.sleep(BETWEEN_SECONDS)
        return answers

    def test_routers_stop_sending_a_prompt_under_which_three_engines_have_ended(self):
        async def body(cluster):
            request = call(text=TEXT)
            self.make_fatal(cluster, request)
            answers = await self.send_again(cluster, request)
            self.assertEqual(len(cluster.world.engines.crash_times), CRASHES_BEFORE_REFUSAL)
            self.assertEqual(answers[-1].code, "request_quarantined")
            self.assertTrue(answers[-1].reports_not_run)
            self.assertEqual(answers[-1].ended_at, answers[-1].started_at)
            other = await cluster.ask("r1", call(text="another one"))
            self.assertEqual(other.code, "")

        self.run_clean(body)

    def test_routers_that_start_later_read_the_record_from_the_store(self):
        async def body(cluster):
            request = call(text=TEXT)
            self.make_fatal(cluster, request)
            await self.send_again(cluster, request, repeats=4)
            ends = len(cluster.world.engines.crash_times)
            await trio.sleep(STORE_SECONDS)
            await cluster.restart()
            await trio.sleep(STORE_SECONDS)
            await self.send_again(cluster, request)
            self.assertEqual(len(cluster.world.engines.crash_times), ends)

        self.run_clean(body)

    def test_operators_allow_a_prompt_again_at_all_routers(self):
        async def body(cluster):
            request = call(text=TEXT)
            self.make_fatal(cluster, request)
            await self.send_again(cluster, request, repeats=4)
            await trio.sleep(STORE_SECONDS)
            cluster.world.engines.fatal_prompts.clear()
            store = InMemoryStore(cluster.world.store)
            [kept] = await store.list(QUARANTINE_PREFIX)
            await store.compare_and_swap(kept.key, kept.version, b'{"lifted": true}')
            await trio.sleep(SPREAD_SECONDS)
            for answer in await self.send_again(cluster, request, repeats=3):
                self.assertEqual(answer.code, "")

        self.run_clean(body)

    def test_another_tenant_and_ordinary_requests_at_the_same_time_are_served(self):
        async def body(cluster):
            request = call(text=TEXT)
            self.make_fatal(cluster, request)

            async def attack(cluster):
                await self.send_again(cluster, request, repeats=8)

            await under_load(cluster, attack, seconds=6.0, mix=STEADY)
            refused = [
                answer
                for answer in cluster.history.answers
                if answer.code == "request_quarantined" and answer.call != request
            ]
            self.assertEqual(refused, [])
            cluster.world.engines.fatal_prompts.clear()
            other = await cluster.ask("r1", call(tenant="inland", text=TEXT))
            self.assertEqual(other.code, "")

        self.run_clean(body)

    def test_a_prompt_that_may_run_once_is_refused_too_and_runs_once(self):
        async def body(cluster):
            request = call(request_class="once", text=TEXT)
            self.make_fatal(cluster, request)
            answers = await self.send_again(cluster, request)
            self.assertEqual(len(cluster.world.engines.crash_times), CRASHES_BEFORE_REFUSAL)
            self.assertEqual(answers[0].execution, "unknown")
            self.assertTrue(answers[-1].reports_not_run)

        self.run_clean(body)
