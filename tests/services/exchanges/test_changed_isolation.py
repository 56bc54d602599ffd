"""Who finds whose cached prompt segments while tenants are isolated, shared, removed and added."""

import random
import unittest

import msgspec
import trio

from hopstep.domain.exchanges.serving import Tenant
from hopstep.ports.serving_directory import ConfigurationPublished
from tests.services.exchanges.exchange_world import ExchangeWorld, configuration

NAMES = ("a", "b", "c")
RESTART_SECONDS = 2.0


def tenants(isolated=(), absent=()):
    return tuple(
        Tenant(name, (f"key-{name}",), 1, name in isolated) for name in NAMES if name not in absent
    )


async def publish(world, isolated=(), absent=()):
    """Publish which tenants are isolated and absent, and wait until all nodes know it."""
    version = world.published_version + 1
    changed = configuration(version, tenants=tenants(isolated, absent))
    world.publish(ConfigurationPublished(changed))
    for node in world.nodes:
        while node.knowledge.current is None or node.knowledge.current.version < version:
            await node.knowledge.changed.wait()


class CachedSegments:
    """What engines keep under a salt, and whose requests touched what others had made."""

    def __init__(self, world):
        self.world = world
        self.makers = {}
        self.touched = set()
        self._judged = 0

    def judge(self):
        """Have the calls since the last time read and make segments."""
        calls = self.world.instances.calls
        for call in calls[self._judged :]:
            run = self.world.instances.runs(call.request.request_id)
            if not any(each.salt == call.cache_salt for each in run):
                continue
            tenant = call.request.tenant.name
            for segment in call.request.prompt.segments:
                key = (call.instance.instance_id, call.cache_salt, segment.segment_id)
                maker = self.makers.setdefault(key, tenant)
                if maker != tenant:
                    self.touched.add((tenant, maker))
        self._judged = len(calls)

    def take_touched(self):
        """Return pairs of a tenant and whose segments it touched since the last time."""
        self.judge()
        touched, self.touched = self.touched, set()
        return touched


class ChangedIsolationTest(unittest.TestCase):
    def run_world(self, script, nodes=2, engines=2):
        world = ExchangeWorld(nodes)
        for number in range(engines):
            world.add(f"e{number}", "llm")
        world.run(script)
        return world

    async def ask(self, world, *names):
        """Have each tenant send equal prompts to all nodes."""
        for name in names:
            for node in range(len(world.nodes)):
                for _ in range(2):
                    answer = await world.request("stream", node=node, key=f"key-{name}")
                    self.assertEqual(answer.status, 200, answer.error)

    def test_segments_of_a_tenant_that_becomes_isolated_are_found_by_nobody_else(self):
        """Guards against caches that others read under a salt that an isolated tenant wrote to."""

        async def script(world):
            segments = CachedSegments(world)
            await publish(world)
            await self.ask(world, "a", "b")
            self.assertEqual(segments.take_touched(), {("b", "a")})
            await publish(world, isolated="a")
            await self.ask(world, "b", "c", "a", "b")
            self.assertEqual(segments.take_touched(), {("c", "b")})

        self.run_world(script)

    def test_others_go_on_sharing_and_a_change_of_keys_or_routes_costs_nothing(self):
        async def script(world):
            segments = CachedSegments(world)
            await publish(world, isolated="a")
            await self.ask(world, "b")
            salts = {call.cache_salt for call in world.instances.calls}
            changed = configuration(world.published_version + 1, tenants=tenants(isolated="a"))
            keys = tuple(
                msgspec.structs.replace(tenant, keys=(*tenant.keys, f"new-{tenant.name}"))
                for tenant in changed.tenants
            )
            routes = changed.routes[:-1]
            changed = msgspec.structs.replace(changed, tenants=keys, routes=routes)
            world.publish(ConfigurationPublished(changed))
            await trio.sleep(1.0)
            await self.ask(world, "c")
            self.assertEqual({call.cache_salt for call in world.instances.calls}, salts)
            self.assertEqual(segments.take_touched(), {("c", "b")})

        self.run_world(script)

    def test_segments_of_a_tenant_that_was_isolated_and_is_removed_stay_unread(self):
        """Guards against an old salt that comes back once its last writer isn't configured."""

        async def script(world):
            segments = CachedSegments(world)
            await publish(world)
            await self.ask(world, "a")
            await publish(world, isolated="a")
            await self.ask(world, "b")
            await publish(world, absent="a")
            await self.ask(world, "b", "c")
            self.assertEqual(segments.take_touched(), {("c", "b")})

        self.run_world(script)

    def test_a_request_that_waits_for_its_connection_is_sent_for_the_group_of_now(self):
        """Guards against salts that were chosen before a tenant became isolated."""

        async def script(world):
            segments = CachedSegments(world)
            await publish(world)
            await self.ask(world, "a")
            for server in world.instances.servers.values():
                server.connect_seconds = 0.5
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.ask_once, world, "b", "waiting")
                await trio.sleep(0.05)
                await publish(world, isolated="a")
            self.assertEqual(len(world.instances.runs("waiting")), 1)
            self.assertEqual(segments.take_touched(), set())

        self.run_world(script, nodes=1)

    async def ask_once(self, world, name, request_id):
        key = f"key-{name}"
        answer = await world.request("resumable", key=key, request_id=request_id, patience=3.0)
        self.assertEqual(answer.status, 200, answer.error)

    def test_no_sequence_of_changes_and_restarts_shows_an_isolated_tenants_segments(self):
        for seed in range(12):
            with self.subTest(seed=seed):

                async def script(world, seed=seed):
                    await self.play(world, random.Random(seed))

                self.run_world(script)

    async def play(self, world, generator):
        """Change tenants at random, some of them at once, and check whose segments are read."""
        segments, barred = CachedSegments(world), set()
        for _ in range(8):
            states = {name: generator.choice(("sharing", "isolated", "absent")) for name in NAMES}
            if set(states.values()) == {"absent"}:
                continue
            isolated = {name for name in NAMES if states[name] == "isolated"}
            absent = {name for name in NAMES if states[name] == "absent"}
            barred = (barred & absent) | isolated
            if generator.random() < 0.3:
                names = [node.knowledge.name for node in world.nodes]
                world.kill_nodes()
                for name in names:
                    world.start_node(world.nursery, name, key_suffix=str(generator.random()))
                await trio.sleep(RESTART_SECONDS)
            await publish(world, isolated, absent)
            await self.ask(world, *(name for name in NAMES if name not in absent))
            for tenant, maker in segments.take_touched():
                self.assertFalse(barred & {tenant, maker}, (tenant, maker, states))


if __name__ == "__main__":
    unittest.main()
