import random
import unittest
from unittest import mock

import structlog.testing
import trio

from emulator.engine.config import EngineConfig
from emulator.engine.in_process import InProcessEngines
from emulator.engine.model import EngineModel
from emulator.virtual_time import run_in_virtual_time
from hopstep.domain.configuration.document import (
    AcceptedConfiguration,
    BackEnd,
    Configuration,
    Model,
    RoutingPolicy,
)
from hopstep.domain.routing.routing_table import RoutingTable
from hopstep.ports.engine import EngineOrder
from hopstep.services.configuration.holder import ConfigurationHolder
from hopstep.services.engine_watch import EngineWatch
from hopstep.services.rollout import Rollout

ADDRESSES = tuple(f"10.0.0.1:{port}" for port in range(1, 6))
BOUND = 2


def accepted(revision, version):
    back_ends = tuple(BackEnd(address, address, models=("m",)) for address in ADDRESSES)
    policy = RoutingPolicy(max_concurrent_weight_loads=BOUND)
    document = Configuration(back_ends, models=(Model("m", version),), routing=policy)
    return AcceptedConfiguration(revision, document)


class World:
    """Emulated engines, with the watch and rollout of each router."""

    def __init__(self, leaders=(True,)):
        self.leaders = leaders
        self.engines = InProcessEngines()
        for address in ADDRESSES:
            model = EngineModel(EngineConfig(), {"m": "w1"}, name=address)
            self.engines.add_engine(address, model)
        self.most_loading = 0
        self.nodes = []

    def node(self, leads):
        holder = ConfigurationHolder()
        holder.apply(accepted(1, "w1"))
        table = RoutingTable(random.Random(1))
        watch = EngineWatch(
            self.engines, table, holder, lambda _address: True, lambda _address, _facts: None, 0
        )
        return holder, watch, Rollout(self.engines, table, holder, lambda: leads)

    def versions(self):
        return {self.engines.model(address).weights.loaded.get("m") for address in ADDRESSES}

    async def run(self, script):
        self.nodes = [self.node(leads) for leads in self.leaders]
        async with trio.open_nursery() as nursery:
            for _, watch, rollout in self.nodes:
                nursery.start_soon(watch.run)
                nursery.start_soon(rollout.run)
            nursery.start_soon(self.observe)
            await script()
            nursery.cancel_scope.cancel()

    async def observe(self):
        while True:
            loading = sum(self.engines.model(address).weights.busy for address in ADDRESSES)
            self.most_loading = max(self.most_loading, loading)
            await trio.sleep(0.01)

    def apply(self, configuration):
        for holder, _, _ in self.nodes:
            holder.apply(configuration)


class RolloutTest(unittest.TestCase):
    def run_world(self, world, script):
        run_in_virtual_time(world.run, script)

    def test_new_weights_reach_every_engine_a_few_at_a_time(self):
        world = World()

        async def script():
            await trio.sleep(2)
            world.apply(accepted(2, "w2"))
            await trio.sleep(10)

        self.run_world(world, script)
        self.assertEqual(world.versions(), {"w2"})
        self.assertEqual(world.most_loading, BOUND)

    def test_an_engine_that_comes_back_with_old_weights_is_ordered_again(self):
        world = World()

        async def script():
            await trio.sleep(2)
            world.apply(accepted(2, "w2"))
            await trio.sleep(10)
            world.engines.model(ADDRESSES[3]).crash(trio.current_time())
            await trio.sleep(5)

        self.run_world(world, script)
        self.assertEqual(world.versions(), {"w2"})

    def test_an_answer_that_cannot_be_used_ends_no_rollout_of_other_engines(self):
        # Whatever one engine's answer made the router raise ended the task that orders weights.
        world = World()

        def fail_for_first(address, *_arguments):
            if address == ADDRESSES[0]:
                raise OverflowError

        async def script():
            await trio.sleep(2)
            rollout = world.nodes[0][2]
            rollout._routing_table = mock.Mock(wraps=rollout._routing_table)
            rollout._routing_table.update_facts.side_effect = fail_for_first
            world.apply(accepted(2, "w2"))
            await trio.sleep(10)

        with structlog.testing.capture_logs() as lines:
            self.run_world(world, script)
        self.assertEqual(world.versions(), {"w2"})
        failed = [line["reason"] for line in lines if line["event"] == "weights_order_failed"]
        self.assertTrue(failed[0].startswith("OverflowError at "), failed)

    def test_a_router_that_does_not_lead_orders_nothing(self):
        world = World(leaders=(False,))

        async def script():
            world.apply(accepted(2, "w2"))
            await trio.sleep(10)

        self.run_world(world, script)
        self.assertEqual(world.versions(), {"w1"})

    def test_a_leader_with_an_older_revision_is_fenced_off(self):
        world = World(leaders=(True, True))

        async def script():
            await trio.sleep(2)
            world.nodes[0][0].apply(accepted(2, "w2"))
            for address in ADDRESSES:
                await world.engines.order(address, EngineOrder(2))
            await trio.sleep(15)

        self.run_world(world, script)
        self.assertEqual(world.versions(), {"w2"})
