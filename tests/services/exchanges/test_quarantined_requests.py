"""Nodes refuse requests under which instances crash, and no other requests."""

import functools
import unittest

import msgspec
import structlog
import trio

from emulator.exchange_platform.instances import Behaviour
from emulator.platform.faults import FaultOrder
from emulator.platform.in_memory import InMemoryStore
from hopstep.domain.quarantine.crash_ledger import TERMINATIONS_TO_REFUSE
from hopstep.domain.quarantine.crash_records import RETENTION_SECONDS
from hopstep.exceptions import ErrorCode, Execution
from hopstep.ports.serving_directory import InstanceListed, InstanceRemoved
from hopstep.services.quarantine.records import (
    MAX_TRIALS,
    QUARANTINE_PREFIX,
    TRIAL_AFTER_SECONDS,
    StoredRequest,
)
from hopstep.services.quarantine.trial_verdicts import VERDICT_CHECK_SECONDS, VERDICT_SECONDS
from tests.services.exchanges.exchange_world import ISOLATED_KEY, ExchangeWorld

FATAL = b"fatal"
ENGINES = 8
REPORTED_SECONDS = 0.05
"""Seconds until a datagram has reached all nodes through the relays."""

STORED_SECONDS = 2.0
"""Seconds until a node's observations are in the store and all nodes have read them."""


class QuarantinedRequestsCase(unittest.TestCase):
    def run_world(self, script, nodes=3, zones=1, service="llm"):
        world = ExchangeWorld(nodes, zones=zones)
        for number in range(ENGINES):
            world.add(f"i{number}", service)
        world.instances.fatal_bodies.add(FATAL)
        world.run(script)
        return world

    def ended(self, world):
        """Return how many instances have terminated."""
        return sum(server.ended_at is not None for server in world.instances.servers.values())

    def unlist_ended(self, world):
        """Remove the entries of terminated instances, as when their leases expire."""
        for instance_id, server in world.instances.servers.items():
            if server.ended_at is not None:
                world.publish(InstanceRemoved(instance_id))

    async def crash_instances(
        self, world, count=TERMINATIONS_TO_REFUSE, node=0, name="stream", **options
    ):
        """Let a request crash instances, one after the other, through one node."""
        for _ in range(count):
            await world.request(name, node, body=FATAL, **options)
        await trio.sleep(REPORTED_SECONDS)

    async def refused(self, world, node=0, name="stream", **options):
        """Return whether a node refuses the fatal request without sending it on."""
        before = len(world.instances.calls)
        answer = await world.request(name, node, body=FATAL, **options)
        refused = answer.error is not None and answer.error.code is ErrorCode.REQUEST_QUARANTINED
        return refused and len(world.instances.calls) == before


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


class TrialTest(QuarantinedRequestsCase):
    def test_a_client_that_leaves_the_try_does_not_have_the_request_refused_for_good(self):
        async def script(world):
            await self.crash_instances(world)
            self.unlist_ended(world)
            world.instances.fatal_bodies.clear()
            for server in world.instances.servers.values():
                server.work_seconds = 1.0
            await trio.sleep(2 * TRIAL_AFTER_SECONDS)
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
            await self.crash_instances(world)
            self.unlist_ended(world)
            world.instances.fatal_bodies.clear()
            for server in world.instances.servers.values():
                server.work_seconds = 1.0
            await trio.sleep(2 * TRIAL_AFTER_SECONDS)
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


class EvidenceTest(QuarantinedRequestsCase):
    async def disconnect_waiting(self, world, server):
        """Let a request wait at an unresponsive instance until its client disconnects."""
        server.behaviour = Behaviour.UNRESPONSIVE
        others = [other for other in world.instances.servers.values() if other is not server]
        for other in others:
            other.instance = msgspec.structs.replace(other.instance, draining=True)
            world.relist(other.instance)
        await trio.sleep(1.0)
        with trio.move_on_after(0.5):
            await world.request("unsafe", body=FATAL)

    def test_a_silent_instance_whose_entry_lapses_has_ended_under_what_it_left_unanswered(self):
        async def script(world):
            server = world.instances.servers["i0"]
            await self.disconnect_waiting(world, server)
            self.assertTrue(world.nodes[0].quarantine.is_idle)
            world.publish(InstanceRemoved("i0"))
            await trio.sleep(STORED_SECONDS)
            self.assertFalse(world.nodes[0].quarantine.is_idle)

        self.run_world(script, service="plain")

    def test_an_instance_that_starts_again_under_its_id_has_ended(self):
        async def script(world):
            server = world.instances.servers["i0"]
            await self.disconnect_waiting(world, server)
            again = msgspec.structs.replace(server.instance, born_ms=1_700_000_000_000)
            world.publish(InstanceListed(again))
            await trio.sleep(STORED_SECONDS)
            self.assertFalse(world.nodes[0].quarantine.is_idle)

        self.run_world(script, service="plain")

    def test_an_instance_that_said_it_leaves_has_not_ended_under_a_request(self):
        async def script(world):
            server = world.instances.servers["i0"]
            await self.disconnect_waiting(world, server)
            world.relist(msgspec.structs.replace(server.instance, draining=True))
            await trio.sleep(STORED_SECONDS)
            world.publish(InstanceRemoved("i0"))
            await trio.sleep(STORED_SECONDS)
            self.assertTrue(world.nodes[0].quarantine.is_idle)

        self.run_world(script, service="plain")

    def test_ends_of_one_instance_that_starts_again_under_its_id_count_each(self):
        async def script(world):
            for number in range(1, ENGINES):
                world.publish(InstanceRemoved(f"i{number}"))
            await trio.sleep(1.0)
            for incarnation in range(1, TERMINATIONS_TO_REFUSE + 1):
                born = msgspec.structs.replace(world.listed["i0"], born_ms=incarnation)
                world.instances.add(born)
                world.publish(InstanceListed(born))
                await trio.sleep(STORED_SECONDS)
                await world.request("unsafe", body=FATAL)
            await trio.sleep(REPORTED_SECONDS)
            self.assertTrue(await self.refused(world, name="unsafe"))

        self.run_world(script, service="plain")


class SharingTest(QuarantinedRequestsCase):
    async def spread_crashes(self, world):
        """Let the request crash instances, each through another node."""
        for node in range(TERMINATIONS_TO_REFUSE):
            await world.request("stream", node, body=FATAL)
            await trio.sleep(REPORTED_SECONDS)

    def test_ends_that_different_nodes_see_add_up_at_all_nodes(self):
        async def script(world):
            await self.spread_crashes(world)
            for node in range(len(world.nodes)):
                self.assertTrue(await self.refused(world, node))
            self.assertEqual(self.ended(world), TERMINATIONS_TO_REFUSE)

        self.run_world(script, nodes=7, zones=3)

    def test_no_node_sends_anything_to_an_instance_that_another_has_seen_end(self):
        async def script(world):
            near = world.instances.servers["i0"]
            for instance in list(world.listed.values())[1:]:
                world.publish(InstanceListed(msgspec.structs.replace(instance, zone="z9")))
            await trio.sleep(1.0)
            await self.crash_instances(world, 1, name="unsafe")
            self.assertIsNotNone(near.ended_at)
            world.instances.calls.clear()
            for number in range(30):
                answer = await world.request("safe", number % 3, body=b"%d" % number)
                self.assertEqual(answer.status, 200)
            called = [call.instance.instance_id for call in world.instances.calls]
            self.assertNotIn("i0", called)

        self.run_world(script, service="plain")

    def test_nodes_know_it_while_the_store_is_away(self):
        async def script(world):
            for directory in world.directories:
                directory.down = True
            world.shared.order_faults(FaultOrder(outage=True))
            await self.spread_crashes(world)
            for node in range(len(world.nodes)):
                self.assertTrue(await self.refused(world, node))

        self.run_world(script, nodes=7, zones=3)

    def test_nodes_learn_it_from_the_store_when_no_datagram_arrives(self):
        async def script(world):
            await world.request("stream", 0, body=FATAL)
            world.network.loss = 1.0
            await self.crash_instances(world, TERMINATIONS_TO_REFUSE - 1)
            await trio.sleep(STORED_SECONDS + 2.0)
            world.network.loss = 0.0
            await trio.sleep(STORED_SECONDS)
            for node in range(len(world.nodes)):
                self.assertTrue(await self.refused(world, node))

        self.run_world(script, nodes=5, zones=2)

    def test_nodes_learn_it_once_datagrams_arrive_from_a_node_without_the_store(self):
        async def script(world):
            world.stores[0].cut_off = world.directories[0].unresponsive = True
            world.network.loss = 1.0
            await self.crash_instances(world)
            await trio.sleep(1.5)
            world.network.loss = 0.0
            await trio.sleep(3.0)
            for node in range(len(world.nodes)):
                self.assertTrue(await self.refused(world, node))

        self.run_world(script, nodes=5, zones=2)

    def test_what_is_seen_while_the_store_is_away_is_kept_once_it_is_back(self):
        async def script(world):
            world.shared.order_faults(FaultOrder(outage=True))
            await self.crash_instances(world)
            await trio.sleep(3.0)
            world.shared.order_faults(FaultOrder(outage=False))
            await trio.sleep(STORED_SECONDS)
            world.kill_nodes()
            world.start_node(world.nursery, "n0")
            await trio.sleep(STORED_SECONDS)
            self.assertTrue(await self.refused(world))

        self.run_world(script)

    def test_one_end_is_not_written_to_the_store(self):
        async def script(world):
            await self.crash_instances(world, 1)
            await trio.sleep(STORED_SECONDS + 3.0)
            self.assertEqual(await self.stored_requests(world), [])

        self.run_world(script)

    async def stored_requests(self, world):
        """Return the requests that are in the store."""
        store = InMemoryStore(world.shared)
        return await store.list(QUARANTINE_PREFIX)

    def test_operators_find_a_request_in_the_store_and_allow_it(self):
        async def script(world):
            await self.crash_instances(world)
            await trio.sleep(STORED_SECONDS)
            [value] = await self.stored_requests(world)
            stored = msgspec.json.decode(value.value, type=StoredRequest)
            self.assertEqual((stored.tenant, stored.route), ("t1", "stream"))
            self.assertEqual(len(stored.crashes), TERMINATIONS_TO_REFUSE)
            await InMemoryStore(world.shared).compare_and_swap(
                value.key, value.version, b'{"lifted": true}'
            )
            self.unlist_ended(world)
            await trio.sleep(STORED_SECONDS)
            world.instances.fatal_bodies.clear()
            for node in range(len(world.nodes)):
                self.assertEqual((await world.request("stream", node, body=FATAL)).status, 200)

        self.run_world(script)

    def test_a_request_that_was_allowed_and_ends_instances_again_is_refused_again(self):
        async def script(world):
            await self.crash_instances(world)
            await trio.sleep(STORED_SECONDS)
            [value] = await self.stored_requests(world)
            await InMemoryStore(world.shared).compare_and_swap(
                value.key, value.version, b'{"lifted": true}'
            )
            await trio.sleep(STORED_SECONDS)
            self.assertFalse(await self.refused(world))
            await self.crash_instances(world, TERMINATIONS_TO_REFUSE - 1)
            self.assertTrue(await self.refused(world))

        self.run_world(script)

    def test_a_key_that_cannot_be_read_changes_nothing(self):
        async def script(world):
            await self.crash_instances(world)
            await trio.sleep(STORED_SECONDS)
            [value] = await self.stored_requests(world)
            await InMemoryStore(world.shared).compare_and_swap(
                value.key, value.version, b"\xff no document"
            )
            await trio.sleep(STORED_SECONDS)
            self.assertTrue(await self.refused(world, node=1))

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
