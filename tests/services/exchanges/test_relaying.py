"""Nodes exchange updates: few read the store, and none relies on a view that is too old."""

import random
import unittest
from unittest import mock

import msgspec
import structlog
import trio

from hopstep.domain.exchanges.freshness import freshness_limits
from hopstep.domain.exchanges.instances import Instance
from hopstep.domain.exchanges.prompt_work import prompt_work
from hopstep.domain.exchanges.segments import SegmentKey
from hopstep.domain.exchanges.selection import Candidate
from hopstep.domain.exchanges.spread_choice import Rating
from hopstep.ports.node_exchange import MessageTooLongError, RelayAnswer
from hopstep.ports.serving_directory import (
    ConfigurationPublished,
    InstanceListed,
    InstanceRemoved,
)
from hopstep.services.exchanges.peers import answer_processor, relay_answers
from tests.services.exchanges.exchange_world import (
    BOUNDS,
    MODEL,
    ROUTES,
    TENANTS,
    ExchangeWorld,
    configuration,
)

REVOCATION_SECONDS = BOUNDS.revocation_ms / 1_000
KEYS = (SegmentKey(1, 9_000), SegmentKey(2, 500))
WITHOUT_KEY = configuration(2, tenants=TENANTS[1:])


class RelayingCase(unittest.TestCase):
    def run_world(self, script, nodes=12, zones=3, seed=1):
        world = ExchangeWorld(nodes, seed, zones)
        world.add("p0")
        world.add("e0", "llm")
        world.run(script)
        return world

    def name(self, node):
        return node.knowledge.name

    def relays(self, world):
        return [node for node in world.nodes if not node.knowledge.relays.relay()]

    def others(self, world):
        return [node for node in world.nodes if node.knowledge.relays.relay()]

    def versions(self, world):
        return {node.knowledge.current.version for node in world.nodes}


class DirectoryTest(RelayingCase):
    def test_one_node_of_each_zone_reads_the_store_for_all(self):
        async def script(world):
            self.assertEqual(len(self.relays(world)), 3)
            world.calls = 0
            seconds = 20.0
            for version in range(2, 7):
                world.publish(ConfigurationPublished(configuration(version)))
                await trio.sleep(seconds / 5)
            self.assertEqual(self.versions(world), {6})
            interval = freshness_limits(BOUNDS.drain_ms / 1_000).answer_interval
            self.assertLessEqual(world.calls, 3 * (seconds / interval + 5 + 2))
            for node in world.nodes:
                self.assertLess(node.knowledge.keys.age_seconds, 3.0)

        self.run_world(script)

    def test_changes_are_everywhere_within_a_second(self):
        async def script(world):
            world.publish(ConfigurationPublished(configuration(2, ROUTES[:1])))
            world.publish(InstanceRemoved("p0"))
            instance = Instance("e9", "llm", "10.0.0.9:1", "z1", 4, versions={MODEL: 1})
            world.publish(InstanceListed(instance))
            await trio.sleep(1.0)
            for node in world.nodes:
                knowledge = node.knowledge
                self.assertEqual(knowledge.current.version, 2)
                self.assertIsNone(knowledge.table.get("p0"))
                self.assertIsNotNone(knowledge.table.get("e9"))

        self.run_world(script)

    def test_logs_tell_from_whom_a_node_has_what_it_takes(self):
        async def script(world):
            relays = {self.name(node) for node in self.relays(world)}
            isolated = self.others(world)[0].knowledge.relays.relay()
            with structlog.testing.capture_logs() as lines:
                world.publish(ConfigurationPublished(configuration(2)))
                await trio.sleep(1.0)
                world.network.isolate(isolated)
                await trio.sleep(1.0)
            applied = [line for line in lines if line["number"] == "HS4101"]
            self.assertEqual(len(applied), len(world.nodes))
            self.assertEqual({line["source"] for line in applied}, {"store", *relays})
            self.assertTrue(all(0 <= line["age_ms"] < 3_000 for line in applied))
            left = [line["previous"] for line in lines if line["number"] == "HS4106"]
            self.assertEqual(set(left), {isolated})

        self.run_world(script)

    def test_nodes_of_a_silent_relay_hear_from_another(self):
        async def script(world):
            for relay in self.relays(world):
                world.network.isolate(self.name(relay))
            world.publish(ConfigurationPublished(configuration(2)))
            await trio.sleep(1.8)
            self.assertEqual(self.versions(world), {2})

        self.run_world(script)

    def test_a_relay_without_the_store_hears_from_other_zones(self):
        async def script(world):
            cut = self.relays(world)[0]
            world.directories[world.nodes.index(cut)].down = True
            await trio.sleep(REVOCATION_SECONDS)
            world.publish(ConfigurationPublished(configuration(2)))
            await trio.sleep(2.0)
            self.assertEqual(self.versions(world), {2})
            for node in world.nodes:
                self.assertTrue(node.is_ready)

        self.run_world(script)

    def test_nodes_without_any_other_read_the_store_themselves(self):
        async def script(world):
            for node in world.nodes:
                world.network.isolate(self.name(node))
            await trio.sleep(REVOCATION_SECONDS)
            world.publish(ConfigurationPublished(configuration(2)))
            await trio.sleep(1.0)
            self.assertEqual(self.versions(world), {2})
            for node in world.nodes:
                self.assertTrue(node.is_ready)

        self.run_world(script)

    def test_what_fits_no_datagram_is_read_from_the_store(self):
        async def script(world):
            send = type(world.network.attach("x", "x:1", b"")).send

            async def bounded(exchange, message, node):
                if isinstance(message, RelayAnswer) and any(
                    isinstance(e.entry.change, ConfigurationPublished) for e in message.entries
                ):
                    raise MessageTooLongError
                await send(exchange, message, node)

            with mock.patch.object(type(world.network.attach("x", "x:1", b"")), "send", bounded):
                world.publish(ConfigurationPublished(configuration(2)))
                await trio.sleep(2.0)
                self.assertEqual(self.versions(world), {2})

        self.run_world(script)

    def test_many_changes_come_in_parts(self):
        async def script(world):
            for number in range(3 * relay_answers.MAX_ENTRIES):
                instance = Instance(f"m{number}", "plain", f"10.0.1.1:{number}", "z1", 4)
                world.publish(InstanceListed(instance))
            await trio.sleep(1.5)
            for node in world.nodes:
                self.assertEqual(len(node.knowledge.table.of_service("plain")), 121)

        self.run_world(script)

    def test_a_node_that_starts_while_the_store_is_down_refuses_until_it_is_back(self):
        async def script(world):
            late = world.start_node(world.nursery, "late")
            world.directories[-1].down = True
            await trio.sleep(3.0)
            self.assertFalse(late.is_ready)
            world.directories[-1].down = False
            await trio.sleep(2.0)
            self.assertTrue(late.is_ready)

        self.run_world(script)


class RevocationTest(RelayingCase):
    """A revoked key is accepted by no node beyond its bound, whatever the network and store do."""

    def late_runs(self, seed):
        late = []

        async def script(world):
            generator = random.Random(seed)
            network = world.network
            network.loss = generator.choice((0.0, 0.05, 0.3))
            network.repeats = generator.choice((0.0, 0.2))
            network.extra_delay_seconds = generator.choice((0.0, 0.5, 4.0))
            lonely = generator.choice(world.directories)
            revoked = trio.Event()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.disturb, world, generator, lonely)
                nursery.start_soon(self.send_requests, world, late, revoked)
                await trio.sleep(generator.uniform(0.5, 4.0))
                world.publish(ConfigurationPublished(WITHOUT_KEY))
                revoked.set()
                await trio.sleep(2.5 * REVOCATION_SECONDS)
                nursery.cancel_scope.cancel()

        self.run_world(script, nodes=6, seed=seed)
        return late

    def late_runs_behind_slow_frames(self):
        """Revoke a key while a node without the store and with slow frames is isolated."""
        late = []

        async def script(world):
            world.directories[-1].down = True
            world.network.delay_seconds = 3.5
            await trio.sleep(2 * REVOCATION_SECONDS)
            world.publish(ConfigurationPublished(WITHOUT_KEY))
            world.network.isolate(self.name(world.nodes[-1]))
            revoked = trio.Event()
            revoked.set()
            with trio.move_on_after(2.5 * REVOCATION_SECONDS):
                await self.send_requests(world, late, revoked)

        self.run_world(script, nodes=6)
        return late

    def test_answers_on_their_way_keep_no_revoked_key_alive(self):
        self.assertEqual(self.late_runs_behind_slow_frames(), [])

    async def disturb(self, world, generator, lonely):
        """Inject random faults of nodes and stores, and end some; one node never has the store."""
        while True:
            lonely.down = True
            await trio.sleep(generator.uniform(0.2, 1.5))
            node = generator.choice(world.nodes)
            directory = generator.choice(world.directories)
            match generator.randrange(5):
                case 0:
                    world.network.isolate(
                        self.name(node), inbound=generator.random() < 0.7, outbound=True
                    )
                case 1:
                    world.network.cut.clear()
                case 2:
                    directory.down = True
                case 3:
                    for other in world.directories:
                        other.down = generator.random() < 0.5
                case 4:
                    directory.down = False

    async def send_requests(self, world, late, revoked):
        """Send requests to every node, and record those that run too late."""
        await revoked.wait()
        revoked_at = trio.current_time()
        while True:
            for number in range(len(world.nodes)):
                sent_at = trio.current_time()
                answer = await world.request("unsafe", node=number)
                if answer.status == 200 and sent_at > revoked_at + REVOCATION_SECONDS:
                    late.append((number, sent_at - revoked_at))
            await trio.sleep(0.1)

    def test_no_fault_lets_a_revoked_key_run_beyond_its_bound(self):
        for seed in range(1, 13):
            with self.subTest(seed=seed):
                self.assertEqual(self.late_runs(seed), [])

    def test_dating_by_the_arrival_of_an_answer_is_caught(self):
        confirm = answer_processor.AnswerProcessor._confirm_keys

        def by_arrival(self, answer, _sent_at):
            confirm(self, answer, trio.current_time())

        with mock.patch.object(answer_processor.AnswerProcessor, "_confirm_keys", by_arrival):
            self.assertTrue(self.late_runs_behind_slow_frames())

    def test_confirming_by_a_part_of_the_changes_is_caught(self):
        make = relay_answers.RelayAnswers.make

        def forgetful(self, asker, query):
            answer = make(self, asker, query)
            return msgspec.structs.replace(answer, entries=(), newer=(), configuration=0)

        with mock.patch.object(relay_answers.RelayAnswers, "make", forgetful):
            self.assertTrue(any(self.late_runs(seed) for seed in range(1, 13)))


class HintsTest(RelayingCase):
    def test_a_node_sees_the_load_of_all_others_and_its_own_once(self):
        async def script(world):
            for number, node in enumerate(world.nodes):
                view = node.knowledge.table.get("e0")
                for request in range(number):
                    view.begin(f"{number}-{request}", 100, trio.current_time())
            await trio.sleep(1.0)
            total = sum(range(len(world.nodes)))
            for node in world.nodes:
                view = node.knowledge.table.get("e0")
                self.assertEqual(view.total_active(trio.current_time()), total)
                self.assertEqual(view.total_pending_tokens(trio.current_time()), 100 * total)

        self.run_world(script)

    def test_a_failure_seen_by_some_nodes_counts_at_all(self):
        async def script(world):
            for node in world.nodes[:2]:
                for _ in range(3):
                    node.knowledge.table.get("e0").failed(trio.current_time(), unreachable=True)
            await trio.sleep(0.6)
            for node in world.nodes[2:]:
                view = node.knowledge.table.get("e0")
                self.assertGreater(view.avoided_by(trio.current_time()), 0)

        self.run_world(script)

    def test_prompts_that_a_node_sent_are_known_at_the_others(self):
        async def script(world):
            await world.request("stream", node=5)
            await trio.sleep(1.0)
            for node in world.nodes:
                view = node.knowledge.table.get("e0")
                self.assertGreater(len(view.segments), 0)

        self.run_world(script)

    def test_a_long_prompt_is_known_to_all_nodes_at_once(self):
        async def script(world):
            await world.request("stream", node=5)
            now = trio.current_time()
            await trio.sleep(2.0)
            view = world.nodes[5].knowledge.table.get("e0")
            world.nodes[5].sharing.note_sent(Candidate(view, KEYS, Rating(0.0, 0.0), 9_000))
            await trio.sleep(0.01)
            now = trio.current_time()
            for node in world.nodes[:5] + world.nodes[6:]:
                pending = node.knowledge.table.get("e0").total_pending_tokens(now)
                self.assertEqual(pending, prompt_work(9_000))
                kept = node.knowledge.table.get("e0").segments.cached_tokens(KEYS[:1])
                self.assertEqual(kept, 9_000)
            await trio.sleep(1.0)
            for node in world.nodes:
                pending = node.knowledge.table.get("e0").total_pending_tokens(trio.current_time())
                self.assertEqual(pending, 0)

        self.run_world(script)

    def test_an_engine_that_loads_is_known_at_once(self):
        async def script(world):
            world.nodes[4].sharing.announce_loading("e0", 1.0)
            await trio.sleep(0.01)
            for node in world.nodes[:4] + world.nodes[5:]:
                self.assertFalse(node.knowledge.table.get("e0").is_usable(trio.current_time()))
            await trio.sleep(1.5)
            for node in world.nodes:
                self.assertTrue(node.knowledge.table.get("e0").is_usable(trio.current_time()))

        self.run_world(script)

    def test_messages_grow_with_the_nodes_and_not_with_their_square(self):
        frames = {}
        for nodes in (12, 48):

            async def script(world, nodes=nodes):
                world.network.frames = 0
                await trio.sleep(5.0)
                frames[nodes] = world.network.frames

            self.run_world(script, nodes=nodes)
        self.assertLess(frames[48], 5 * frames[12])
