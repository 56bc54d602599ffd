"""Nodes refuse requests under which instances crash, and their logs say why."""

import structlog
import trio

from hopstep.domain.quarantine.crash_ledger import TERMINATIONS_TO_REFUSE
from hopstep.domain.quarantine.crash_records import RETENTION_SECONDS
from hopstep.exceptions import ErrorCode, Execution
from hopstep.services.quarantine.records import MAX_TRIALS
from tests.services.exchanges.quarantine_case import (
    FATAL,
    REPORTED_SECONDS,
    STORED_SECONDS,
    QuarantinedRequestsCase,
)


class RefusalTest(QuarantinedRequestsCase):
    def test_the_refusal_is_immediate_and_says_when_the_request_may_come_again(self):
        async def script(world):
            await self.crash_instances(world)
            started_at = trio.current_time()
            answer = await world.request("stream", body=FATAL)
            self.assertEqual(trio.current_time(), started_at)
            self.assertEqual(answer.error.code, ErrorCode.REQUEST_QUARANTINED)
            self.assertIs(answer.error.execution, Execution.NOT_RUN)
            self.assertGreater(answer.error.retry_after_seconds, RETENTION_SECONDS - 5.0)
            self.assertEqual(self.ended(world), TERMINATIONS_TO_REFUSE)

        self.run_world(script)

    def test_a_request_that_is_refused_between_two_instances_may_have_run(self):
        async def script(world):
            answer = await world.request("resumable", body=FATAL)
            self.assertEqual(answer.error.code, ErrorCode.EXECUTION_UNKNOWN)
            self.assertEqual(self.ended(world), 2)
            answer = await world.request("resumable", body=FATAL)
            self.assertEqual(answer.error.code, ErrorCode.REQUEST_QUARANTINED)
            self.assertIs(answer.error.execution, Execution.UNKNOWN)

        self.run_world(script)

    def test_the_last_end_is_known_before_the_request_goes_to_another_instance(self):
        async def script(world):
            await self.crash_instances(world, 2, name="resumable")
            await self.crash_instances(world, 1, name="resumable")
            self.assertEqual(self.ended(world), TERMINATIONS_TO_REFUSE)

        self.run_world(script)

    def test_what_may_run_once_runs_once_and_is_refused_like_any_other(self):
        async def script(world):
            for _ in range(TERMINATIONS_TO_REFUSE):
                answer = await world.request("unsafe2", body=FATAL)
                self.assertEqual(answer.error.code, ErrorCode.EXECUTION_UNKNOWN)
                self.assertIs(answer.error.execution, Execution.UNKNOWN)
            await trio.sleep(REPORTED_SECONDS)
            self.assertEqual(self.ended(world), TERMINATIONS_TO_REFUSE)
            self.assertTrue(await self.refused(world, name="unsafe2"))

        self.run_world(script, service="plain")

    def test_it_may_run_again_some_time_after_the_last_end(self):
        async def script(world):
            await self.crash_instances(world)
            self.assertTrue(await self.refused(world, node=2))
            self.unlist_ended(world)
            await trio.sleep(RETENTION_SECONDS / 2)
            self.assertFalse(await self.refused(world, node=2))
            await trio.sleep(REPORTED_SECONDS)
            for node in range(3):
                self.assertTrue(await self.refused(world, node=node))
            self.assertEqual(self.ended(world), TERMINATIONS_TO_REFUSE + MAX_TRIALS)
            await trio.sleep(RETENTION_SECONDS / 2 - STORED_SECONDS)
            for node in range(3):
                self.assertTrue(await self.refused(world, node=node))
            await trio.sleep(RETENTION_SECONDS + STORED_SECONDS)
            self.unlist_ended(world)
            await trio.sleep(STORED_SECONDS)
            world.instances.fatal_bodies.clear()
            for node in range(3):
                self.assertEqual((await world.request("stream", node, body=FATAL)).status, 200)

        self.run_world(script)


class LogTest(QuarantinedRequestsCase):
    def test_the_log_leads_from_a_refusal_to_the_ends_and_the_nodes_that_saw_them(self):
        async def script(world):
            with structlog.testing.capture_logs() as lines:
                for node in range(TERMINATIONS_TO_REFUSE):
                    await world.request("stream", node, body=FATAL)
                    await trio.sleep(REPORTED_SECONDS)
                await world.request("stream", body=FATAL, request_id="last")
            refused = [line for line in lines if line.get("request_id") == "last"][-1]
            self.assertEqual(refused["outcome"], "request_quarantined:not_run")
            found = [line for line in lines if line.get("fingerprint") == refused["fingerprint"]]
            quarantined = [line for line in found if line["event"] == "request_quarantined"]
            self.assertEqual(len(quarantined), len(world.nodes))
            nodes = {end.rpartition(" ")[2] for end in quarantined[0]["ends"]}
            self.assertEqual(nodes, {"n0", "n1", "n2"})
            attempts = [line for line in found if line.get("execution") == "unknown"]
            self.assertEqual(len(attempts), TERMINATIONS_TO_REFUSE)

        self.run_world(script)
