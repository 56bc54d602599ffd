"""Engines' cache events: one node follows each engine, and all nodes hear of it."""

import unittest

import structlog
import trio

from hopstep.domain.exchanges.request import PromptSegment
from hopstep.domain.exchanges.segments import segment_keys
from hopstep.domain.exchanges.store_contents import CacheEvent
from hopstep.services.exchanges.engine_cache_watch import RETRY_SECONDS
from tests.services.exchanges.exchange_world import MODEL, ExchangeWorld

SALT = "1."
KEYS = segment_keys(MODEL, SALT, (PromptSegment("a1", 3_000),))
HEARD_SECONDS = 1.5
"""From an event to all nodes: a pause of the reader, and three hops of the relays."""


def event(segment_id="a1", tokens=3_000):
    return CacheEvent(SALT, segment_id, tokens, MODEL)


class EngineCacheWatchTest(unittest.TestCase):
    def run_world(self, script, nodes=6):
        world = ExchangeWorld(nodes, zones=2)
        world.add("e0", "llm")
        address = world.listed["e0"].address
        world.cache_events.events[address] = []
        world.run(script)

    def tell(self, world, event):
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
            self.tell(world, event())
            await trio.sleep(HEARD_SECONDS)
            self.assertEqual(self.kept(world), [3_000] * 6)
            self.tell(world, event(tokens=0))
            await trio.sleep(HEARD_SECONDS)
            self.assertEqual(self.kept(world), [0] * 6)

        self.run_world(script)

    def test_a_node_that_has_just_started_learns_what_is_kept(self):
        async def script(world):
            self.tell(world, event())
            world.start_node(world.nursery, "late", "z1")
            await trio.sleep(RETRY_SECONDS + 2 * HEARD_SECONDS)
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
