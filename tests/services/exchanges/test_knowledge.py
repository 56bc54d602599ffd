"""Configuration, keys and their age: when a node may still rely on its view."""

import unittest

import trio

from hopstep.exceptions import ErrorCode
from hopstep.ports.serving_directory import ConfigurationPublished, RejectReason, Unreadable
from hopstep.services.exchanges.directory.knowledge import FIRST_READING_SECONDS
from tests.services.exchanges.exchange_world import (
    BOUNDS,
    KEY,
    ROUTES,
    TENANTS,
    ExchangeWorld,
    configuration,
)

REVOCATION_SECONDS = BOUNDS.revocation_ms / 1_000


class KnowledgeTest(unittest.TestCase):
    def run_world(self, script, nodes=1):
        world = ExchangeWorld(nodes)
        world.add("p0")
        world.run(script)

    def test_a_new_configuration_is_in_force_within_a_moment(self):
        async def script(world):
            world.publish(ConfigurationPublished(configuration(2, ROUTES[:1])))
            await trio.sleep(0.1)
            answer = await world.request("unsafe")
            self.assertEqual(answer.error.code, ErrorCode.NOT_FOUND)

        self.run_world(script)

    def test_a_lower_version_never_replaces_a_higher_one(self):
        async def script(world):
            world.publish(ConfigurationPublished(configuration(5)))
            world.publish(ConfigurationPublished(configuration(4, ROUTES[:1])))
            await trio.sleep(0.1)
            self.assertEqual(world.nodes[0].knowledge.current.version, 5)

        self.run_world(script)

    def test_a_revoked_key_never_runs_beyond_the_bound_on_a_node_that_is_cut_off(self):
        async def script(world):
            world.directories[0].down = True
            world.publish(ConfigurationPublished(configuration(2, tenants=TENANTS[1:])))
            revoked_at = trio.current_time()
            while trio.current_time() < revoked_at + 2 * REVOCATION_SECONDS:
                sent_at = trio.current_time()
                answer = await world.request("unsafe")
                if sent_at > revoked_at + REVOCATION_SECONDS:
                    self.assertTrue(answer.promised_not_run)
                    self.assertEqual(answer.error.code, ErrorCode.ISOLATED)
                    self.assertGreater(answer.error.retry_after_seconds, 0)
                await trio.sleep(0.1)

        self.run_world(script)

    def test_a_watch_that_hears_nothing_dates_nothing_but_its_own_start(self):
        async def script(world):
            world.directories[0].watches_blocked = True
            world.publish(ConfigurationPublished(configuration(2, tenants=TENANTS[1:])))
            blocked_seconds = 1.0
            await trio.sleep(blocked_seconds)
            world.directories[0].watches_blocked = False
            world.publish(ConfigurationPublished(configuration(3, tenants=TENANTS[1:])))
            await trio.sleep(0.1)
            answer = await world.request("unsafe")
            self.assertEqual(answer.error.code, ErrorCode.INVALID_KEY)

        self.run_world(script)

    def test_requests_without_a_key_are_served_without_the_store(self):
        async def script(world):
            world.directories[0].down = True
            await trio.sleep(3 * REVOCATION_SECONDS)
            answer = await world.request("open", key="")
            self.assertEqual(answer.status, 200)

        self.run_world(script)

    def test_a_stale_node_says_nothing_of_unknown_routes_and_keys(self):
        async def script(world):
            world.directories[0].down = True
            await trio.sleep(2 * REVOCATION_SECONDS)
            for name, key in (("none", KEY), ("unsafe", "other")):
                answer = await world.request(name, key=key)
                self.assertEqual(answer.error.code, ErrorCode.ISOLATED)

        self.run_world(script)

    def test_a_node_is_ready_only_while_it_would_serve(self):
        async def script(world):
            services = world.nodes[0]
            self.assertTrue(services.is_ready)
            world.directories[0].down = True
            await trio.sleep(2 * REVOCATION_SECONDS)
            self.assertFalse(services.is_ready)
            world.directories[0].down = False
            await trio.sleep(2.0)
            self.assertTrue(services.is_ready)

        self.run_world(script)

    def test_nodes_that_start_while_the_store_is_down_refuse_until_it_is_back(self):
        async def script(world):
            services = world.start_node(world.nursery, "late")
            world.directories[-1].down = True
            await trio.sleep(5.0)
            self.assertFalse(services.is_ready)
            answer = await world.request("unsafe", node=1)
            self.assertEqual(answer.error.code, ErrorCode.NOT_READY)
            self.assertTrue(answer.promised_not_run)
            world.directories[-1].down = False
            await trio.sleep(2.0)
            self.assertEqual((await world.request("unsafe", node=1)).status, 200)

        self.run_world(script)

    def test_requests_to_a_node_that_has_just_started_wait_for_its_first_reading(self):
        async def script(world):
            world.start_node(world.nursery, "late")
            self.assertEqual((await world.request("unsafe", node=1)).status, 200)

        self.run_world(script)

    def test_requests_wait_for_the_first_reading_no_longer_than_a_start_may_take(self):
        async def script(world):
            world.start_node(world.nursery, "late")
            world.directories[-1].down = True
            started_at = trio.current_time()
            for waited in (FIRST_READING_SECONDS, FIRST_READING_SECONDS):
                answer = await world.request("unsafe", node=1)
                self.assertEqual(answer.error.code, ErrorCode.NOT_READY)
                self.assertAlmostEqual(trio.current_time() - started_at, waited)

        self.run_world(script)

    def test_an_entry_that_cannot_be_read_changes_nothing(self):
        async def script(world):
            world.publish(Unreadable("some/key", RejectReason.FIELD_TYPE, "x", "expected int"))
            await trio.sleep(0.1)
            self.assertEqual((await world.request("unsafe")).status, 200)

        self.run_world(script)

    def test_a_stopping_node_serves_what_ends_in_time_and_refuses_the_rest_as_not_run(self):
        async def script(world):
            lifecycle = world.nodes[0].lifecycle
            lifecycle.stop()
            self.assertFalse(world.nodes[0].is_ready)
            self.assertEqual((await world.request("unsafe")).status, 200)
            await trio.sleep(3.0)
            self.assertEqual((await world.request("unsafe")).status, 200)
            await trio.sleep(2.0)
            answer = await world.request("unsafe")
            self.assertEqual(answer.error.code, ErrorCode.STOPPING)
            self.assertTrue(answer.promised_not_run)

        self.run_world(script)
