"""A node's view stays within the operators' bounds, whatever faults the nodes have that it queries.

A node that can reach the store has each configuration in force, and sends nothing to an instance
that shuts down, within the operators' bounds. This also holds while the relay of its zone has lost
the store and still answers.
"""

import random
import unittest
from unittest import mock

import msgspec
import structlog
import trio

from hopstep.ports.node_exchange import MessageTooLongError, RelayAnswer
from hopstep.ports.serving_directory import ConfigurationPublished, InstanceListed
from tests.services.exchanges.exchange_world import ExchangeWorld, configuration

BOUND_SECONDS = 2.0
"""Bound for configurations and leaving instances, on the smallest of the users' deployments."""

STORM_SECONDS = 0.4
"""Time between two configurations: each watch of a healthy relay is answered at once."""

SAMPLE_SECONDS = 0.02
FAULT_SECONDS = 12.0
NODES = 8
ZONES = 4


class FreshnessCase(unittest.TestCase):
    def run_world(self, script, seed=1, nodes=NODES, zones=ZONES):
        world = ExchangeWorld(nodes, seed, zones)
        for number in range(3):
            world.add(f"p{number}")
        world.run(script)

    def relays(self, world):
        """Return the numbers of the nodes that are relays."""
        return [n for n, node in enumerate(world.nodes) if not node.knowledge.relays.relay()]

    def lose_store(self, world, numbers, fault):
        """Set a fault of the store at some nodes, and return the numbers of the others."""
        for number in numbers:
            setattr(world.directories[number], fault, True)
        return [number for number in range(len(world.nodes)) if number not in numbers]

    def cut_from_other_zones(self, world, number):
        """Block messages between a node and the nodes of other zones, in both directions."""
        name, zone = f"n{number}", world.nodes[number].knowledge.record.zone
        for other in world.nodes:
            if other.knowledge.record.zone != zone:
                world.network.cut.add((name, other.knowledge.name))
                world.network.cut.add((other.knowledge.name, name))

    async def publish_storm(self, world):
        """Publish a configuration every ``STORM_SECONDS``."""
        for version in range(2, 1_000):
            world.publish(ConfigurationPublished(configuration(version)))
            await trio.sleep(STORM_SECONDS)

    async def worst_delay(self, world, numbers, seconds):
        """Return the longest time until a configuration was in force at one of some nodes."""
        published = {}
        worst = 0.0
        with trio.move_on_after(seconds):
            while True:
                now = trio.current_time()
                newest = world.published_version
                published.setdefault(newest, now)
                for number in numbers:
                    version = world.nodes[number].knowledge.current.version
                    missing = [at for known, at in published.items() if known > version]
                    worst = max([worst, *(now - at for at in missing)])
                await trio.sleep(SAMPLE_SECONDS)
        return worst


class LostStoreTest(FreshnessCase):
    """Relays lose the store and still answer other nodes."""

    def test_configurations_are_in_force_in_time_behind_relays_without_the_store(self):
        for fault in ("unresponsive", "down"):
            for lost in (1, 2):
                with self.subTest(fault=fault, lost=lost):
                    self.assertLess(self.worst_in_a_storm(fault, lost, seed=lost), BOUND_SECONDS)

    def worst_in_a_storm(self, fault, lost, seed):
        found = []

        async def script(world):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.publish_storm, world)
                await trio.sleep(random.Random(seed).uniform(1.0, 2.0))
                others = self.lose_store(world, self.relays(world)[:lost], fault)
                found.append(await self.worst_delay(world, others, FAULT_SECONDS))
                nursery.cancel_scope.cancel()

        self.run_world(script, seed)
        return found[0]

    def test_a_relay_without_the_store_hears_the_other_nodes_of_a_lone_zone(self):
        for fault in ("unresponsive", "down"):
            for nodes in (2, 3, 8):
                with self.subTest(fault=fault, nodes=nodes):
                    self.assertEqual(set(self.statuses_of_relay(fault, nodes)), {200})

    def statuses_of_relay(self, fault, nodes):
        """Let the relay of a single zone lose the store; return the statuses of its answers."""
        statuses = []

        async def script(world):
            (relay,) = self.relays(world)
            self.lose_store(world, [relay], fault)
            until = trio.current_time() + FAULT_SECONDS
            while trio.current_time() < until:
                statuses.append((await world.request("safe", node=relay)).status)
                await trio.sleep(0.2)

        self.run_world(script, nodes=nodes, zones=1)
        return statuses

    def test_a_leaving_instance_gets_nothing_in_time_behind_relays_without_the_store(self):
        for fault in ("unresponsive", "down"):
            for seed in range(1, 4):
                with self.subTest(fault=fault, seed=seed):
                    self.assertEqual(self.late_arrivals(fault, seed), [])

    def late_arrivals(self, fault, seed):
        """Return the instances that received requests too long after announcing their shutdown."""
        late = []

        async def script(world):
            generator = random.Random(seed)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.publish_storm, world)
                await trio.sleep(generator.uniform(1.0, 2.0))
                others = self.lose_store(world, self.relays(world)[:1], fault)
                for instance_id in ("p0", "p1"):
                    await trio.sleep(generator.uniform(1.0, 3.0))
                    late.extend(await self.drain_and_send(world, instance_id, others))
                nursery.cancel_scope.cancel()

        self.run_world(script, seed)
        return late

    async def drain_and_send(self, world, instance_id, numbers):
        """Drain an instance, and send requests to nodes until well after the bound."""
        leaving = msgspec.structs.replace(world.listed[instance_id], draining=True)
        world.publish(InstanceListed(leaving))
        left_at = trio.current_time()
        while trio.current_time() < left_at + 2 * BOUND_SECONDS:
            async with trio.open_nursery() as nursery:
                for number in numbers:
                    nursery.start_soon(world.request, "safe", number)
            await trio.sleep(0.05)
        runs = world.instances.servers[instance_id].runs
        delays = [round(run.at - left_at, 2) for run in runs]
        return [(instance_id, delay) for delay in delays if delay > BOUND_SECONDS]

    def test_configurations_are_in_force_in_time_behind_a_relay_that_hears_its_zone_only(self):
        found = []

        async def script(world):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.publish_storm, world)
                await trio.sleep(1.0)
                relay = self.relays(world)[0]
                others = self.lose_store(world, [relay], "unresponsive")
                self.cut_from_other_zones(world, relay)
                found.append(await self.worst_delay(world, others, FAULT_SECONDS))
                nursery.cancel_scope.cancel()

        self.run_world(script)
        self.assertLess(found[0], BOUND_SECONDS)

    def test_a_zone_behind_a_relay_without_the_store_asks_others_and_not_the_store(self):
        calls = {}

        async def script(world):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.publish_storm, world)
                relays = self.relays(world)
                world.calls = 0
                await trio.sleep(FAULT_SECONDS)
                calls["before"] = world.calls
                others = self.lose_store(world, relays[:1], "unresponsive")
                world.calls = 0
                worst = await self.worst_delay(world, others, FAULT_SECONDS)
                calls["after"] = world.calls
                self.assertLess(worst, BOUND_SECONDS)
                nursery.cancel_scope.cancel()

        self.run_world(script, nodes=40, zones=1)
        self.assertLess(calls["after"], 1.3 * calls["before"])

    def test_the_log_tells_of_a_lost_store_as_soon_as_an_answer_is_overdue(self):
        async def script(world):
            with structlog.testing.capture_logs() as lines:
                self.lose_store(world, self.relays(world)[:1], "unresponsive")
                await trio.sleep(BOUND_SECONDS)
            lost = [line for line in lines if line["number"] == "HS4104"]
            self.assertEqual([line["reason"] for line in lost], ["overdue"])

        self.run_world(script)

    def test_a_relay_that_knows_too_much_for_a_datagram_has_not_lost_the_store(self):
        async def script(world):
            exchange = type(world.network.attach("x", "x:1", b""))
            send = exchange.send

            async def bounded(sender, message, node):
                if isinstance(message, RelayAnswer) and message.entries:
                    raise MessageTooLongError
                await send(sender, message, node)

            members = [n for n in world.nodes if n.knowledge.relays.relay()]
            with mock.patch.object(exchange, "send", bounded):
                world.publish(ConfigurationPublished(configuration(2)))
                await trio.sleep(BOUND_SECONDS)
            for member in members:
                self.assertEqual(member.knowledge.current.version, 2)
                self.assertTrue(member.knowledge.relays.has_source)

        self.run_world(script)


class DrawnFaultsTest(FreshnessCase):
    """Some nodes have random faults, in series and at the same time; the others keep the bound."""

    def worst_with_victims(self, seed):
        found = []

        async def script(world):
            generator = random.Random(seed)
            world.network.loss = generator.choice((0.0, 0.02, 0.05))
            victims = generator.sample(range(NODES), generator.randrange(1, 5))
            others = [number for number in range(NODES) if number not in victims]
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.publish_storm, world)
                for victim in victims:
                    nursery.start_soon(self.disturb, world, generator, victim)
                found.append(await self.worst_delay(world, others, 2 * FAULT_SECONDS))
                nursery.cancel_scope.cancel()

        self.run_world(script, seed)
        return found[0]

    async def disturb(self, world, generator, number):
        """Inject random faults at a node, some of them at the same time."""
        directory = world.directories[number]
        name = world.nodes[number].knowledge.name
        while True:
            await trio.sleep(generator.uniform(0.0, 3.0))
            match generator.randrange(4):
                case 0:
                    directory.unresponsive = True
                case 1:
                    directory.down = True
                case 2:
                    self.cut_from_other_zones(world, number)
                case 3:
                    inbound = generator.random() < 0.7
                    world.network.isolate(name, inbound=inbound, outbound=not inbound)
            await trio.sleep(generator.uniform(0.0, 5.0))
            if generator.random() < 0.7:
                directory.unresponsive = directory.down = False
            if generator.random() < 0.7:
                world.network.cut -= {pair for pair in world.network.cut if name in pair}

    def test_nodes_with_a_way_of_their_own_are_never_late(self):
        for seed in range(1, 7):
            with self.subTest(seed=seed):
                self.assertLess(self.worst_with_victims(seed), BOUND_SECONDS)
