"""Cache events of engines: one node reads each engine's and reports them to all nodes."""

import unittest

import structlog
import trio

from hopstep.domain.exchanges.request import PromptSegment
from hopstep.domain.exchanges.segments import segment_keys
from hopstep.domain.exchanges.store_contents import CacheEvent
from hopstep.domain.instance_notices import InstanceNotice
from hopstep.services.exchanges.instances.engine_cache_watch import RETRY_SECONDS
from tests.services.exchanges.exchange_world import MODEL, ExchangeWorld

SALT = "1."
KEYS = segment_keys(MODEL, SALT, (PromptSegment("a1", 3_000),))
REPORTED_SECONDS = 1.5
"""Seconds until an event has reached all nodes: the reader's batching and three relay hops."""


def event(segment_id="a1", tokens=3_000):
    return CacheEvent(SALT, segment_id, tokens, MODEL)


class EngineCacheWatchTest(unittest.TestCase):
    def run_world(self, script, nodes=6):
        world = ExchangeWorld(nodes, zones=2)
        world.add("e0", "llm")
        address = world.listed["e0"].address
        world.cache_events.events[address] = []
        world.run(script)

    def add_event(self, world, event):
        world.cache_events.add(world.listed["e0"].address, event)

    def kept(self, world):
        views = [node.knowledge.table.get("e0") for node in world.nodes]
        return [view.segments.cached_tokens(KEYS) for view in views]

    def test_one_node_follows_an_engine(self):
        async def script(world):
            await trio.sleep(2.0)
            self.assertEqual(world.cache_events.readers[world.listed["e0"].address], 1)

        self.run_world(script)

    def test_what_an_engine_has_dropped_is_known_at_all_nodes(self):
        async def script(world):
            await world.request("stream", node=3)
            self.add_event(world, event())
            await trio.sleep(REPORTED_SECONDS)
            self.assertEqual(self.kept(world), [3_000] * 6)
            self.add_event(world, event(tokens=0))
            await trio.sleep(REPORTED_SECONDS)
            self.assertEqual(self.kept(world), [0] * 6)

        self.run_world(script)

    def test_a_node_that_has_just_started_learns_what_is_kept(self):
        async def script(world):
            self.add_event(world, event())
            world.start_node(world.nursery, "late", "z1")
            await trio.sleep(RETRY_SECONDS + 2 * REPORTED_SECONDS)
            self.assertEqual(self.kept(world)[0], 3_000)

        self.run_world(script, nodes=1)

    def test_an_engine_without_events_is_logged_once_and_costs_nothing_else(self):
        async def script(world):
            del world.cache_events.events[world.listed["e0"].address]
            with structlog.testing.capture_logs() as lines:
                await trio.sleep(10.0)
                answer = await world.request("stream")
            self.assertEqual(answer.status, 200)
            changed = [line for line in lines if line["event"] == "engine_events_changed"]
            self.assertEqual([line["readable"] for line in changed], [False])

        self.run_world(script)


class NoticesOfEventsTest(unittest.TestCase):
    """Calls for events name no instance, so a notice counts only if its batch states the start."""

    def run_world(self, script, **entry):
        world = ExchangeWorld()
        world.add("e0", "llm", **entry)
        world.cache_events.events[world.listed["e0"].address] = []
        world.run(script)

    def announce(self, world, notice):
        world.cache_events.notices[world.listed["e0"].address] = notice

    def test_the_word_of_leaving_counts_with_the_start_of_the_listed_life(self):
        for stated_ms, leaves in ((5, True), (4, False), (0, False)):
            with self.subTest(stated_ms=stated_ms):

                async def script(world, stated_ms=stated_ms, leaves=leaves):
                    world.cache_events.born_ms[world.listed["e0"].address] = stated_ms
                    self.announce(world, InstanceNotice(leaving=True))
                    await trio.sleep(4.0)
                    view = world.nodes[0].knowledge.table.get("e0")
                    self.assertIs(view.announced_state.has_announced_leaving, leaves)

                self.run_world(script, born_ms=5)

    def test_a_refused_reader_keeps_to_the_wait(self):
        async def script(world):
            address = world.listed["e0"].address
            await trio.sleep(2.0)
            self.announce(world, InstanceNotice(backoff_seconds=5.0))
            del world.cache_events.events[address]
            await trio.sleep(2.0)
            reads = world.cache_events.reads[address]
            await trio.sleep(2.5)
            self.assertEqual(world.cache_events.reads[address], reads)
            await trio.sleep(4.5)
            self.assertGreater(world.cache_events.reads[address], reads)

        self.run_world(script)
