"""A node whose machine was suspended at any await never acts on outdated state after it resumes.

The clock jumps by 0.3 to 30 s at a random step of a random task, as for a process whose machine was
suspended: all timers are overdue at once, and changes that operators made during the suspension
have not arrived yet.
"""

import random
import unittest

import msgspec
import structlog
import trio
import trio.abc

from emulator.exchange_platform.emulated_instance import Behaviour
from hopstep.domain.exchanges.serving import Tenant
from hopstep.ports.serving_directory import ConfigurationPublished, InstanceListed
from tests.services.exchanges.exchange_world import (
    BOUNDS,
    ISOLATED_KEY,
    ROUTES,
    ExchangeWorld,
    configuration,
)

SEEDS = range(1, 13)
STEPS = 30
"""Number of task steps after a random time, among which the step of the jump is drawn."""

SHORTEST, LONGEST = 0.3, 30.0
REVOCATION_SECONDS = BOUNDS.revocation_ms / 1_000
LEASE_SECONDS = BOUNDS.lease_ms / 1_000
RESUMED_SECONDS = 4.0
"""Seconds after the jump during which requests are still sent."""


class Suspension(trio.abc.Instrument):
    """Lets the clock jump before a random step, at a random time within a window from now on."""

    def __init__(self, seed, window_seconds, on_suspended):
        generator = random.Random(seed)
        self.at = trio.current_time() + generator.uniform(0.0, window_seconds)
        self.left = generator.randrange(1, STEPS)
        self.seconds = generator.uniform(SHORTEST, LONGEST)
        self.on_suspended = on_suspended
        self.resumed_at = None

    def before_task_step(self, task):
        if self.resumed_at is not None or trio.current_time() < self.at:
            return
        self.left -= 1
        if self.left == 0:
            self.on_suspended()
            trio.lowlevel.current_clock().jump(self.seconds)
            self.resumed_at = trio.current_time()


class SuspensionsTest(unittest.TestCase):
    def run_suspended(self, seed, script, on_suspended, nodes=2, window_seconds=2.0):
        world = ExchangeWorld(nodes, seed)
        for number in range(4):
            world.add(f"i{number}", "llm")
            world.add(f"p{number}", "plain")

        async def suspended(world):
            suspension = Suspension(seed, window_seconds, lambda: on_suspended(world))
            trio.lowlevel.add_instrument(suspension)
            await script(world, suspension)
            self.assertIsNotNone(suspension.resumed_at)

        world.run(suspended)
        return world

    async def load(self, world, suspension, names, sent):
        """Send requests until some time after the jump; record when each was sent."""
        number = 0
        while suspension.resumed_at is None or (
            trio.current_time() < suspension.resumed_at + RESUMED_SECONDS
        ):
            number += 1
            request_id = f"load{number}"
            sent[request_id] = trio.current_time()
            name = names[number % len(names)]
            world.nursery.start_soon(self.send, world, name, number, request_id)
            await trio.sleep(0.02)
        await trio.sleep(1.0)

    async def send(self, world, name, number, request_id):
        """Send one request."""
        node = number % len(world.nodes)
        await world.request(name, node, request_id=request_id, patience=60.0)

    def test_a_request_that_still_waits_for_its_connection_has_not_run(self):
        # It was cancelled as silent, and answered as one that may have run.
        async def script(world):
            for server in world.instances.servers.values():
                server.connect_seconds = 1.5
            answer = await world.request("safe")
            self.assertTrue(answer.promised_not_run)

        world = ExchangeWorld()
        world.add("p0")
        world.add("p1")
        world.run(script)

    def test_a_key_that_was_revoked_meanwhile_is_not_taken(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                sent, revoked_at = {}, []

                def revoke(world, revoked_at=revoked_at):
                    tenants = (Tenant("t2", (ISOLATED_KEY,), 0, isolated=True),)
                    world.publish(ConfigurationPublished(configuration(9, tenants=tenants)))
                    revoked_at.append(trio.current_time())

                async def script(world, suspension, sent=sent):
                    await self.load(world, suspension, ("stream", "unsafe2"), sent)

                world = self.run_suspended(seed, script, revoke)
                bound = revoked_at[0] + REVOCATION_SECONDS
                late = [
                    run.request_id
                    for server in world.instances.servers.values()
                    for run in server.runs
                    if sent[run.request_id] > bound
                ]
                self.assertEqual(late, [])

    def test_nothing_is_sent_under_a_key_that_is_too_old_at_the_send(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                ages = []

                async def script(world, suspension, ages=ages):
                    open_call = world.instances.open

                    def open_dated(call):
                        node = world.nodes[int(call.request.request_id[4:]) % len(world.nodes)]
                        ages.append(node.knowledge.keys.age_seconds)
                        return open_call(call)

                    world.instances.open = open_dated
                    patient = tuple(
                        msgspec.structs.replace(r, timeout_seconds=60.0) for r in ROUTES
                    )
                    world.publish(ConfigurationPublished(configuration(2, routes=patient)))
                    await trio.sleep(1.0)
                    for instance_id, server in world.instances.servers.items():
                        server.work_seconds = 0.3
                        if instance_id in ("p0", "p1"):
                            server.behaviour = Behaviour.FAIL
                    await self.load(world, suspension, ("resumable", "safe"), {})

                self.run_suspended(seed, script, lambda _world: None)
                self.assertLess(max(ages), REVOCATION_SECONDS)

    def test_no_order_is_sent_under_a_lease_that_has_run_out(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                late = []

                async def script(world, suspension, late=late):
                    order = world.instances.order

                    async def order_checked(instance, sent, on_notice):
                        [node] = [n for n in world.nodes if n.knowledge.name == sent.holder]
                        if not node.lease.may_order:
                            late.append((trio.current_time(), sent))
                        return await order(instance, sent, on_notice)

                    world.instances.order = order_checked
                    for version in range(2, 8):
                        world.name_weights(version)
                        await trio.sleep(1.5)
                    await trio.sleep(2 * LEASE_SECONDS)

                world = self.run_suspended(
                    seed, script, lambda _world: None, window_seconds=2 * LEASE_SECONDS
                )
                self.assertEqual(late, [])
                self.assertTrue(any(s.orders for s in world.instances.servers.values()))

    def test_nothing_is_confirmed_for_a_time_in_which_a_change_was_missed(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                published, wrong = {}, []

                def publish(world, published=published):
                    leaving = world.listed["i0"]
                    world.publish(InstanceListed(leaving))
                    published[world.revision] = trio.current_time()

                async def script(world, suspension, published=published, wrong=wrong):
                    world.network.extra_delay_seconds = 0.05
                    while suspension.resumed_at is None or (
                        trio.current_time() < suspension.resumed_at + RESUMED_SECONDS
                    ):
                        publish(world)
                        await trio.sleep(0.05)
                        for node in world.nodes:
                            knowledge = node.knowledge
                            missed = [
                                at
                                for r, at in published.items()
                                if r > knowledge.store_position.revision
                            ]
                            if missed and knowledge.keys.confirmed_at > min(missed):
                                wrong.append((trio.current_time(), knowledge.name))

                self.run_suspended(seed, script, publish, nodes=4)
                self.assertEqual(wrong, [])

    def test_nobody_is_blamed_for_the_silence(self):
        for seed in SEEDS:
            with self.subTest(seed=seed), structlog.testing.capture_logs() as lines:

                async def script(world, suspension):
                    for server in world.instances.servers.values():
                        server.work_seconds = 0.2
                    await self.load(world, suspension, ("resumable", "safe"), {})
                    for node in world.nodes:
                        self.assertTrue(node.quarantine.is_idle)
                        for view in node.knowledge.table:
                            self.assertTrue(view.is_usable(trio.current_time()))

                self.run_suspended(seed, script, lambda _world: None)
                silent = [line for line in lines if line.get("reason") == "the instance is silent"]
                self.assertEqual(silent, [])
