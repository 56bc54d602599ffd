"""Requests under way while the configuration changes what they are judged by."""

import random
import unittest

import msgspec
import trio

from emulator.exchange_platform.emulated_instance import Behaviour
from hopstep.domain.exchanges.serving import (
    CacheStore,
    RequestKind,
    Service,
    ServiceShare,
    ServingConfiguration,
    Tenant,
)
from hopstep.exceptions import ErrorCode
from hopstep.ports.serving_directory import ConfigurationPublished
from tests.services.exchanges.exchange_world import (
    KEY,
    ROUTES,
    SERVICES,
    ExchangeWorld,
    RecordedAnswer,
)

OTHER = Service("other")
STORE = CacheStore("10.9.9.9:1", "z1", 1_000_000, 1_000.0)
STORE_SECONDS = 2.0
"""Time in which a node finds a configured cache store reachable."""

WORK_SECONDS = 0.3
CONNECT_SECONDS = 0.2
TENANTS = (Tenant("t1", (KEY,), 1), Tenant("t2", ("key-2",), 1))
MOVED = (Tenant("t1", ("key-3",), 1), Tenant("t2", ("key-2", KEY), 1))


def changed_route(name, **changes):
    """Return the routes with changes to one of them."""
    return tuple(
        msgspec.structs.replace(each, **changes) if each.name == name else each for each in ROUTES
    )


class SentCalls:
    """Compares each call with the configuration in force when its first byte is sent."""

    def __init__(self, world):
        self.world = world
        self.wrong = []
        world.instances.on_sent = self.judge

    def judge(self, call):
        current = self.world.nodes[0].knowledge.index
        request = call.request
        route = next(
            (r for r in current.configuration.routes if r.name == request.route.name), None
        )
        if route is None:
            self.wrong.append((request.request_id, "no route"))
            return
        is_public = route.public or not current.keys_required
        tenant = None if is_public else current.find_tenant(self.world.keys[request.request_id])
        expected = tenant.name if tenant is not None else ""
        if not is_public and tenant is None:
            self.wrong.append((request.request_id, "no key"))
        if request.caller != expected:
            self.wrong.append((request.request_id, f"tenant {request.caller}, not {expected}"))
        if call.instance.service not in {share.service for share in route.shares}:
            self.wrong.append((request.request_id, f"service {call.instance.service}"))
        stores = {store.address for store in current.cache_stores()}
        if call.cache_target and call.cache_target not in stores:
            self.wrong.append((request.request_id, f"store {call.cache_target}"))


class ChangedConfigurationTest(unittest.TestCase):
    def run_world(self, script):
        world = ExchangeWorld()
        world.keys = {}
        for number in range(2):
            world.add(f"p{number}").work_seconds = WORK_SECONDS
            world.add(f"o{number}", "other").work_seconds = WORK_SECONDS
            world.add(f"e{number}", "llm")
        world.run(script)
        return world

    async def publish(self, world, routes=ROUTES, tenants=TENANTS, stores=()):
        """Publish a configuration, and wait until it is in force."""
        version = world.published_version + 1
        kept = tuple(Service(f"store{n}", cache_store=store) for n, store in enumerate(stores))
        services = (*SERVICES, OTHER, *kept)
        world.publish(
            ConfigurationPublished(ServingConfiguration(version, routes, services, tenants))
        )
        knowledge = world.nodes[0].knowledge
        while knowledge.current.version < version:
            await knowledge.changed.wait()

    async def request(self, world, name, request_id, answer, key=KEY):
        world.keys[request_id] = key
        await world.request(name, key=key, request_id=request_id, answer=answer, patience=3.0)

    async def play(self, world, name, setup, **changes):
        """Send a request, change the configuration while it is under way, return its answer."""
        calls, answer = SentCalls(world), RecordedAnswer()
        world.cache_events.events[STORE.address] = []
        await self.publish(world, stores=(STORE,))
        await trio.sleep(STORE_SECONDS)
        setup(world)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.request, world, name, "r", answer)
            await trio.sleep(0.05)
            await self.publish(world, **changes)
        self.assertEqual(calls.wrong, [])
        return answer

    def slow_connections(self, world):
        for server in world.instances.servers.values():
            server.connect_seconds = CONNECT_SECONDS

    def failing(self, world):
        """Let every instance fail after its work, so that a request needs another attempt."""
        for server in world.instances.servers.values():
            server.behaviour = Behaviour.FAIL

    def test_a_key_that_moves_to_another_tenant_is_not_used_for_the_first_one(self):
        """Guards against requests that are sent, or denied for good, for a tenant of before."""
        for setup in (self.slow_connections, self.failing):
            with self.subTest(setup.__name__):

                async def script(world, setup=setup):
                    answer = await self.play(world, "safe", setup, tenants=MOVED)
                    self.assertEqual(answer.error.code, ErrorCode.CONFIGURATION_CHANGED)

                self.run_world(script)

    def test_a_route_that_turns_private_gets_no_request_without_its_tenant(self):
        async def script(world):
            routes = changed_route("open", public=False)
            answer = await self.play(world, "open", self.slow_connections, routes=routes)
            self.assertEqual(answer.error.code, ErrorCode.CONFIGURATION_CHANGED)
            self.assertTrue(answer.promised_not_run)

        self.run_world(script)

    def test_a_service_that_a_route_has_left_gets_no_further_attempt(self):
        for setup in (self.slow_connections, self.failing):
            with self.subTest(setup.__name__):

                async def script(world, setup=setup):
                    routes = changed_route("safe", shares=(ServiceShare("other"),))
                    answer = await self.play(world, "safe", setup, routes=routes)
                    self.assertEqual(answer.error.code, ErrorCode.CONFIGURATION_CHANGED)
                    self.assertEqual(answer.promised_not_run, setup == self.slow_connections)

                self.run_world(script)

    def test_a_request_that_may_run_once_by_now_is_not_repeated(self):
        async def script(world):
            routes = changed_route("safe", kind=RequestKind.AT_MOST_ONCE)
            answer = await self.play(world, "safe", self.failing, routes=routes)
            self.assertFalse(answer.promised_not_run)
            self.assertEqual(len(world.instances.runs("r")), 1)

        self.run_world(script)

    def test_a_store_that_is_not_configured_any_more_gets_no_prompt(self):
        async def script(world):
            answer = await self.play(world, "stream", self.slow_connections, stores=())
            self.assertEqual(answer.status, 200)

        self.run_world(script)

    def test_an_answer_that_has_begun_goes_on_whatever_changes(self):
        async def script(world):
            for server in world.instances.servers.values():
                server.behaviour = Behaviour.BREAK_STREAM
                server.event_seconds = 0.1
            routes = tuple(each for each in ROUTES if each.name != "resumable")
            await self.publish(world)
            answer = RecordedAnswer()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.request, world, "resumable", "r", answer)
                await trio.sleep(0.2)
                for server in world.instances.servers.values():
                    server.behaviour = Behaviour.SERVE
                await self.publish(world, routes=routes)
            self.assertTrue(answer.finished)

        self.run_world(script)

    def test_any_changes_leave_each_attempt_with_the_configuration_of_its_first_byte(self):
        for seed in range(6):
            with self.subTest(seed=seed):

                async def script(world, seed=seed):
                    await self.play_many(world, random.Random(seed))

                self.run_world(script)

    async def play_many(self, world, generator):
        """Send many requests while keys, routes, services and instances change at random."""
        calls = SentCalls(world)
        await self.publish(world)
        async with trio.open_nursery() as nursery:
            for number in range(150):
                name = generator.choice(("safe", "unsafe", "open", "stream", "resumable"))
                key = generator.choice((KEY, "key-2"))
                nursery.start_soon(self.request, world, name, f"r{number}", RecordedAnswer(), key)
                await trio.sleep(generator.expovariate(40))
                for server in world.instances.servers.values():
                    server.connect_seconds = generator.choice((0.0, 0.05, 0.3))
                    server.behaviour = generator.choice(
                        (Behaviour.SERVE, Behaviour.SERVE, Behaviour.FAIL, Behaviour.REJECT)
                    )
                if number % 5 == 0:
                    nursery.start_soon(self.change, world, generator)
        self.assertEqual(calls.wrong, [])

    async def change(self, world, generator):
        """Publish a configuration with random changes."""
        shares = generator.choice((("plain",), ("other",), ("plain", "other")))
        changes = {
            "safe": {"shares": tuple(ServiceShare(name) for name in shares)},
            "unsafe": {
                "kind": generator.choice((RequestKind.AT_MOST_ONCE, RequestKind.REPEATABLE))
            },
            "open": {"public": generator.random() < 0.5},
        }
        routes = tuple(
            msgspec.structs.replace(each, **changes.get(each.name, {}))
            for each in ROUTES
            if generator.random() > 0.05
        )
        tenants = generator.choice((TENANTS, MOVED))
        stores = generator.choice(((), (STORE,)))
        await self.publish(world, routes=routes, tenants=tenants, stores=stores)


if __name__ == "__main__":
    unittest.main()
