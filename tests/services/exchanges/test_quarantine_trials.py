"""A quarantined request is released by a trial, and gets few trials."""

import functools

import trio

from hopstep.domain.quarantine.crash_ledger import TERMINATIONS_TO_REFUSE
from hopstep.services.quarantine.records import TRIAL_AFTER_SECONDS
from hopstep.services.quarantine.trial_verdicts import VERDICT_CHECK_SECONDS, VERDICT_SECONDS
from tests.services.exchanges.quarantine_case import (
    FATAL,
    REPORTED_SECONDS,
    STORED_SECONDS,
    QuarantinedRequestsCase,
)


class TrialTest(QuarantinedRequestsCase):
    async def refuse_a_slow_request(self, world):
        """Let a request be refused that crashes nothing any more, until its trial is due."""
        await self.crash_instances(world)
        self.unlist_ended(world)
        world.instances.fatal_bodies.clear()
        for server in world.instances.servers.values():
            server.work_seconds = 1.0
        await trio.sleep(2 * TRIAL_AFTER_SECONDS)

    def test_a_client_that_leaves_the_try_does_not_have_the_request_refused_for_good(self):
        async def script(world):
            await self.refuse_a_slow_request(world)
            with trio.move_on_after(0.1):
                await world.request("stream", body=FATAL)
            self.assertTrue(await self.refused(world))
            await trio.sleep(VERDICT_SECONDS + 2 * VERDICT_CHECK_SECONDS)
            answer = await world.request("stream", body=FATAL)
            self.assertEqual(answer.status, 200)
            self.assertEqual((await world.request("stream", body=FATAL)).status, 200)

        self.run_world(script)

    async def lose_trial(self, world, node, seconds=0.5):
        """Let a node run the trial, kill it after some seconds, and start it again."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(functools.partial(world.request, "stream", node, body=FATAL))
            await trio.sleep(seconds)
            world.kill_node(node)
            nursery.cancel_scope.cancel()
        world.restart_node(node)
        await trio.sleep(STORED_SECONDS)

    def test_a_trial_that_is_lost_with_its_node_is_followed_by_another_one(self):
        """Guards against a sound request that is refused for ten minutes, as a node was killed."""

        async def script(world):
            await self.refuse_a_slow_request(world)
            calls = len(world.instances.calls)
            await self.lose_trial(world, 1)
            self.assertEqual(len(world.instances.calls), calls + 1)
            for node in range(3):
                answer = await world.request("stream", node, body=FATAL)
                self.assertEqual(answer.status, 200)
                await trio.sleep(REPORTED_SECONDS)

        self.run_world(script)

    def test_a_fatal_request_gets_two_trials_however_many_nodes_are_killed_in_them(self):
        """Guards against trials that are repeated without end while nodes are killed."""

        async def script(world):
            await self.crash_instances(world)
            self.unlist_ended(world)
            await trio.sleep(2 * TRIAL_AFTER_SECONDS)
            for node in (1, 2, 0, 1, 2):
                await self.lose_trial(world, node, 0.02)
                self.unlist_ended(world)
                await trio.sleep(TRIAL_AFTER_SECONDS)
            for node in range(3):
                self.assertTrue(await self.refused(world, node=node))
            self.assertEqual(self.ended(world), TERMINATIONS_TO_REFUSE + 2)

        self.run_world(script)
