"""A prompt that ends each engine which begins it is kept from engines by all routers.

Routers of the OpenAI-style interface counted attempts by request, as nodes of routed exchanges did
(see ``tests.services.exchanges.test_repeated_crashes``): a caller that sent such a prompt again, at
any router, ended two engines or more each time.
"""

import trio

from emulator.platform.in_memory import InMemoryStore
from hopstep.services.quarantine.reader import POLL_SECONDS
from hopstep.services.quarantine.records import QUARANTINE_PREFIX
from tests.simulation.harness import STEADY, SimulationTest, call, under_load

ROUTERS = ("r0", "r1", "r2")
TEXT = "the fatal one"
TRIES = 12
BETWEEN_SECONDS = 0.5
ENDS_BEFORE_REFUSAL = 3
KEPT_SECONDS = 1.0
HEARD_SECONDS = 2 * POLL_SECONDS
"""Until a few routers have read the store again, and told the others."""


class RepeatedCrashesTest(SimulationTest):
    def make_fatal(self, cluster, request):
        cluster.world.engines.fatal_prompts.add(request.prompt)

    async def send_again(self, cluster, request, tries=TRIES):
        """Send a request to one router after the other; return the answers."""
        answers = []
        for number in range(tries):
            answers.append(await cluster.ask(ROUTERS[number % len(ROUTERS)], request))
            await trio.sleep(BETWEEN_SECONDS)
        return answers

    def test_routers_stop_sending_a_prompt_under_which_three_engines_have_ended(self):
        async def body(cluster):
            request = call(text=TEXT)
            self.make_fatal(cluster, request)
            answers = await self.send_again(cluster, request)
            self.assertEqual(len(cluster.world.engines.crash_times), ENDS_BEFORE_REFUSAL)
            self.assertEqual(answers[-1].code, "request_quarantined")
            self.assertTrue(answers[-1].reports_not_run)
            self.assertEqual(answers[-1].ended_at, answers[-1].started_at)
            other = await cluster.ask("r1", call(text="another one"))
            self.assertEqual(other.code, "")

        self.run_clean(body)

    def test_routers_that_start_later_know_it_from_the_store(self):
        async def body(cluster):
            request = call(text=TEXT)
            self.make_fatal(cluster, request)
            await self.send_again(cluster, request, tries=4)
            ends = len(cluster.world.engines.crash_times)
            await trio.sleep(KEPT_SECONDS)
            await cluster.restart()
            await trio.sleep(KEPT_SECONDS)
            await self.send_again(cluster, request)
            self.assertEqual(len(cluster.world.engines.crash_times), ends)

        self.run_clean(body)

    def test_operators_allow_a_prompt_again_at_all_routers(self):
        async def body(cluster):
            request = call(text=TEXT)
            self.make_fatal(cluster, request)
            await self.send_again(cluster, request, tries=4)
            await trio.sleep(KEPT_SECONDS)
            cluster.world.engines.fatal_prompts.clear()
            store = InMemoryStore(cluster.world.store)
            [kept] = await store.list(QUARANTINE_PREFIX)
            await store.compare_and_swap(kept.key, kept.version, b'{"lifted": true}')
            await trio.sleep(HEARD_SECONDS)
            for answer in await self.send_again(cluster, request, tries=3):
                self.assertEqual(answer.code, "")

        self.run_clean(body)

    def test_another_tenant_and_honest_requests_beside_it_are_served(self):
        async def body(cluster):
            request = call(text=TEXT)
            self.make_fatal(cluster, request)

            async def attack(cluster):
                await self.send_again(cluster, request, tries=8)

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
            self.assertEqual(len(cluster.world.engines.crash_times), ENDS_BEFORE_REFUSAL)
            self.assertEqual(answers[0].execution, "unknown")
            self.assertTrue(answers[-1].reports_not_run)

        self.run_clean(body)
