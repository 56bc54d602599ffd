"""An instance that restarts under its id is a new incarnation without its earlier state.

Reports of an earlier incarnation don't affect the later one, however late they arrive.
"""

import unittest

import msgspec
import structlog
import trio

from emulator.exchange_platform.emulated_instance import Behaviour
from hopstep.domain.exchanges.instances import InstanceIncarnation
from hopstep.domain.exchanges.load_ledger import InstanceLoad
from hopstep.domain.exchanges.segments import SegmentKey
from hopstep.domain.exchanges.store_contents import CacheEvent
from hopstep.exceptions import Execution
from hopstep.ports.node_exchange import LoadingEngine, SegmentUpdate, SentPrompt
from hopstep.ports.serving_directory import InstanceListed
from tests.services.exchanges.exchange_world import BOUNDS, MODEL, ExchangeWorld

FIRST, SECOND = 1_700_000_000_000, 1_700_000_009_000
REPORTED_SECONDS = 1.0
BOUND_SECONDS = BOUNDS.weights_ms / 1_000
LEASE_SECONDS = BOUNDS.lease_ms / 1_000
ORDER_DELAY_SECONDS = 3.0
PROMPT_TOKENS = 3_500
SHARED_TOKENS = 3_000


class InstanceLivesCase(unittest.TestCase):
    def run_world(self, script, nodes=1, engines=1, service="llm"):
        world = ExchangeWorld(nodes)
        for number in range(engines):
            world.add(f"e{number}", service, born_ms=FIRST)
        world.run(script)
        return world

    def views(self, world, instance_id="e0"):
        return [node.knowledge.table.get(instance_id) for node in world.nodes]

    async def read_tokens(self, world, node=0):
        """Send a prompt and return the tokens that its engine was expected to read."""
        with structlog.testing.capture_logs() as lines:
            answer = await world.request("stream", node)
        self.assertEqual(answer.status, 200)
        [ended] = [line for line in lines if line["event"] == "exchange_ended"]
        return ended["read_tokens"]


class SecondLifeTest(InstanceLivesCase):
    def test_nothing_is_taken_for_kept(self):
        async def script(world):
            self.assertEqual(await self.read_tokens(world), PROMPT_TOKENS)
            self.assertLess(await self.read_tokens(world), PROMPT_TOKENS)
            world.restart("e0", SECOND)
            await trio.sleep(REPORTED_SECONDS)
            self.assertEqual(await self.read_tokens(world), PROMPT_TOKENS)

        self.run_world(script)

    def test_its_weights_are_those_that_it_tells(self):
        async def script(world):
            world.name_weights(2)
            await trio.sleep(BOUND_SECONDS)
            self.assertEqual(self.views(world)[0].versions, {MODEL: 2})
            world.restart("e0", SECOND, versions={MODEL: 1})
            await trio.sleep(REPORTED_SECONDS / 2)
            self.assertEqual(self.views(world)[0].versions, {MODEL: 1})

        self.run_world(script)

    def test_failures_silence_and_load_of_before_count_no_longer(self):
        async def script(world):
            world.instances.servers["e0"].behaviour = Behaviour.UNREACHABLE
            for _ in range(4):
                await world.request("stream")
            view = self.views(world)[0]
            view.set_load_of_others(InstanceLoad(view.incarnation, 9, 9_000), trio.current_time())
            self.assertFalse(view.is_usable(trio.current_time()))
            world.restart("e0", SECOND)
            await trio.sleep(REPORTED_SECONDS / 2)
            again = self.views(world)[0]
            now = trio.current_time()
            self.assertTrue(again.is_usable(now))
            self.assertEqual((again.failure_rate, again.total_active(now)), (0.0, 0))

        self.run_world(script)

    def test_what_is_under_way_in_the_earlier_life_may_have_run(self):
        async def script(world):
            server = world.instances.servers["e0"]
            server.work_seconds = 2.0
            answers = []

            async def ask():
                answers.append(await world.request("unsafe2"))

            world.nursery.start_soon(ask)
            await trio.sleep(0.5)
            world.restart("e0", SECOND)
            await trio.sleep(3.0)
            self.assertIs(answers[0].error.execution, Execution.UNKNOWN)
            self.assertEqual(world.instances.servers["e0"].runs, [])
            self.assertEqual(self.views(world)[0].active, 0)

        self.run_world(script, service="plain")

    def test_a_retry_does_not_take_the_start_second_for_another_instance(self):
        async def script(world):
            server = world.instances.servers["e0"]
            server.work_seconds = 0.5

            async def restart_soon():
                await trio.sleep(0.2)
                world.restart("e0", SECOND)

            world.nursery.start_soon(restart_soon)
            answer = await world.request("safe")
            self.assertIsNone(answer.status)
            self.assertEqual(world.instances.servers["e0"].arrivals, 0)

        self.run_world(script, service="plain")

    def test_an_entry_that_tells_no_start_is_of_the_life_that_is_known(self):
        async def script(world):
            await self.read_tokens(world)
            born = world.listed["e0"]
            world.publish(InstanceListed(msgspec.structs.replace(born, born_ms=0, slots=9)))
            await trio.sleep(REPORTED_SECONDS)
            view = self.views(world)[0]
            self.assertEqual(view.instance.incarnation, InstanceIncarnation("e0", FIRST))
            self.assertEqual(view.instance.slots, 9)
            world.publish(InstanceListed(born))
            await trio.sleep(REPORTED_SECONDS)
            self.assertLess(await self.read_tokens(world), PROMPT_TOKENS)

        self.run_world(script)

    def test_the_newer_revision_decides_when_the_start_it_tells_is_earlier(self):
        async def script(world):
            await self.read_tokens(world)
            world.restart("e0", FIRST - 5_000)
            await trio.sleep(REPORTED_SECONDS)
            self.assertEqual(self.views(world)[0].instance.born_ms, FIRST - 5_000)
            self.assertEqual(await self.read_tokens(world), PROMPT_TOKENS)

        self.run_world(script)


class LateWordTest(InstanceLivesCase):
    async def start_second(self, world):
        """Start the second incarnation, and return the text form of the first."""
        first = self.views(world)[0].incarnation
        world.restart("e0", SECOND)
        await trio.sleep(REPORTED_SECONDS)
        return first

    def test_what_other_nodes_tell_of_the_earlier_life(self):
        async def script(world):
            first = await self.start_second(world)
            sharing = world.nodes[0].sharing
            segments = SegmentUpdate(first, (SegmentKey(7, 800),))
            sharing.apply_urgent("n1", (SentPrompt(segments, 9_000),), (LoadingEngine(first, 900),))
            view = self.views(world)[0]
            now = trio.current_time()
            self.assertEqual(view.total_pending_tokens(now), 0)
            self.assertTrue(view.is_usable(now))
            self.assertEqual(view.segments.cached_tokens((SegmentKey(7, 800),)), 0)

        self.run_world(script, nodes=2)

    def test_an_answer_of_the_earlier_life(self):
        async def script(world):
            server = world.instances.servers["e0"]
            server.event_seconds = 1.0
            earlier = self.views(world)[0]
            world.nursery.start_soon(world.request, "stream")
            await trio.sleep(0.5)
            world.restart("e0", SECOND, versions={MODEL: 1})
            await trio.sleep(REPORTED_SECONDS)
            earlier.learn_version(MODEL, 7)
            self.assertEqual(self.views(world)[0].versions, {MODEL: 1})
            self.assertEqual(self.views(world)[0].active, 0)

        self.run_world(script)

    def test_a_report_of_another_life(self):
        async def script(world):
            server = world.restart("e0", SECOND, versions={MODEL: 1})
            await trio.sleep(REPORTED_SECONDS)
            server.reported_born_ms = FIRST
            server.versions = {MODEL: 5}
            world.name_weights(2)
            await trio.sleep(2.0)
            self.assertEqual(server.received_orders, [])
            self.assertEqual(self.views(world)[0].versions, {MODEL: 1})

        self.run_world(script)

    def test_cache_events_of_another_life(self):
        async def script(world):
            address = world.listed["e0"].address
            world.cache_events.events[address] = []
            world.restart("e0", SECOND)
            await trio.sleep(REPORTED_SECONDS)
            world.cache_events.born_ms[address] = FIRST
            world.cache_events.add(address, CacheEvent("1.", "a1", SHARED_TOKENS, MODEL))
            await trio.sleep(2 * REPORTED_SECONDS)
            self.assertEqual(await self.read_tokens(world), PROMPT_TOKENS)
            world.cache_events.born_ms[address] = SECOND
            world.cache_events.add(address, CacheEvent("1.", "b9", 16, MODEL))

        self.run_world(script)


class LateOrderTest(InstanceLivesCase):
    def test_an_order_that_is_carried_out_in_the_next_life_is_put_right(self):
        async def script(world):
            await trio.sleep(LEASE_SECONDS + 1.0)
            world.instances.servers["e0"].order_delay_seconds = ORDER_DELAY_SECONDS
            world.name_weights(2)
            await trio.sleep(1.0)
            again = world.restart("e0", SECOND, versions={MODEL: 3})
            world.name_weights(3)
            named_at = trio.current_time()
            await trio.sleep(ORDER_DELAY_SECONDS)
            self.assertEqual([order.weights.version for _, order in again.orders][:1], [2])
            while trio.current_time() < named_at + BOUND_SECONDS:
                await world.request("stream")
                await trio.sleep(0.1)
            self.assertEqual(again.versions, {MODEL: 3})
            self.assertEqual((await world.request("stream")).status, 200)
            late = [run for run in again.runs if run.at > named_at + BOUND_SECONDS]
            self.assertEqual({run.version for run in late}, {3})

        self.run_world(script)

    def test_a_node_orders_no_longer_what_it_began_to_order_in_the_earlier_life(self):
        async def script(world):
            await trio.sleep(LEASE_SECONDS + 1.0)
            world.instances.servers["e0"].order_delay_seconds = 60.0
            world.name_weights(2)
            await trio.sleep(1.0)
            again = world.restart("e0", SECOND, versions={MODEL: 3})
            world.name_weights(3)
            await trio.sleep(5.0)
            self.assertEqual(again.received_orders, [])

        self.run_world(script)
