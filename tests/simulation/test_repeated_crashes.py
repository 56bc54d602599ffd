"""A prompt that ends each engine which begins it is kept from engines by all routers.

Routers of the OpenAI-style interface counted attempts by request, as nodes of routed exchanges did
(see ``tests.services.exchanges.test_repeated_crashes``): a caller that sent such a prompt again, at
any router, ended two engines or more each time.
"""

import trio

from tests.simulation.harness import SimulationTest, call

ROUTERS = ("r0", "r1", "r2")
TEXT = "the fatal one"
TRIES = 12
BETWEEN_SECONDS = 0.5
ENDS_BEFORE_REFUSAL = 3
KEPT_SECONDS = 1.0


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
            self.assertEqual(len(cluster.world.engines.ends), ENDS_BEFORE_REFUSAL)
            self.assertEqual(answers[-1].code, "request_quarantined")
            self.assertTrue(answers[-1].says_not_run)
            self.assertEqual(answers[-1].ended_at, answers[-1].started_at)
            other = await cluster.ask("r1", call(text="another one"))
            self.assertEqual(other.code, "")

        self.run_clean(body)

    def test_routers_that_start_later_know_it_from_the_store(self):
        async def body(cluster):
            request = call(text=TEXT)
            self.make_fatal(cluster, request)
            await self.send_again(cluster, request, tries=4)
            ends = len(cluster.world.engines.ends)
            await trio.sleep(KEPT_SECONDS)
            await cluster.restart()
            await trio.sleep(KEPT_SECONDS)
            await self.send_again(cluster, request)
            self.assertEqual(len(cluster.world.engines.ends), ends)

        self.run_clean(body)
