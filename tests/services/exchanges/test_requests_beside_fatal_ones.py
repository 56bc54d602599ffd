"""Nodes refuse no other requests than those under which instances crash."""

import trio

from emulator.exchange_platform.emulated_instance import Behaviour
from hopstep.domain.quarantine.crash_ledger import TERMINATIONS_TO_REFUSE
from hopstep.exceptions import ErrorCode
from tests.services.exchanges.exchange_world import ISOLATED_KEY
from tests.services.exchanges.quarantine_case import ENGINES, FATAL, QuarantinedRequestsCase


class OtherRequestsTest(QuarantinedRequestsCase):
    def test_other_requests_and_other_callers_are_served(self):
        async def script(world):
            await self.crash_instances(world)
            self.assertTrue(await self.refused(world))
            self.assertEqual((await world.request("stream", body=b"other")).status, 200)
            world.instances.fatal_bodies.clear()
            other = await world.request("stream", key=ISOLATED_KEY, body=FATAL)
            self.assertEqual(other.status, 200)

        self.run_world(script)

    def test_honest_requests_beside_a_fatal_one_are_not_refused(self):
        async def script(world):
            codes = set()

            async def repeat_honest():
                while True:
                    answer = await world.request("safe", body=b"honest")
                    codes.add(answer.error.code if answer.error else answer.status)
                    await trio.sleep(0.01)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(repeat_honest)
                await self.crash_instances(world, 6, name="unsafe")
                self.assertTrue(await self.refused(world, name="unsafe"))
                await trio.sleep(1.0)
                nursery.cancel_scope.cancel()
            self.assertIn(200, codes)
            self.assertNotIn(ErrorCode.REQUEST_QUARANTINED, codes)

        self.run_world(script, service="plain")

    def test_a_popular_request_outlives_instances_that_end_for_their_own_reasons(self):
        async def script(world):
            async with trio.open_nursery() as nursery:
                for server in list(world.instances.servers.values())[:-1]:
                    for node in range(3):
                        nursery.start_soon(world.request, "safe", node)
                        nursery.start_soon(world.request, "safe", node)
                    await trio.sleep(0.01)
                    server.end()
                    await trio.sleep(0.5)
                    for node in range(3):
                        self.assertEqual((await world.request("safe", node)).status, 200)

        self.run_world(script, service="plain")

    def test_a_popular_request_outlives_the_end_of_all_instances_at_once(self):
        async def script(world):
            for node in range(3):
                for _ in range(4):
                    self.assertEqual((await world.request("safe", node)).status, 200)
            async with trio.open_nursery() as nursery:
                for number in range(3 * ENGINES):
                    nursery.start_soon(world.request, "safe", number % 3)
                await trio.sleep(0.01)
                for server in list(world.instances.servers.values()):
                    server.end()
                await trio.sleep(1.0)
            self.unlist_ended(world)
            world.add("new")
            await trio.sleep(1.0)
            for node in range(3):
                self.assertEqual((await world.request("safe", node)).status, 200)

        self.run_world(script, service="plain")

    def test_answers_that_break_off_at_instances_that_live_do_not_count(self):
        async def script(world):
            for server in world.instances.servers.values():
                server.behaviour = Behaviour.LOSE_ANSWER
            for _ in range(3 * TERMINATIONS_TO_REFUSE):
                answer = await world.request("unsafe")
                self.assertEqual(answer.error.code, ErrorCode.EXECUTION_UNKNOWN)
            self.assertTrue(world.nodes[0].quarantine.is_idle)

        self.run_world(script, service="plain")

    def test_clients_that_leave_do_not_count(self):
        async def script(world):
            for server in world.instances.servers.values():
                server.behaviour = Behaviour.UNRESPONSIVE
            for _ in range(3 * TERMINATIONS_TO_REFUSE):
                with trio.move_on_after(0.1):
                    await world.request("unsafe")
            self.assertTrue(world.nodes[0].quarantine.is_idle)

        self.run_world(script, service="plain")
