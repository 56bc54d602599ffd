"""All instances of a service take only so many requests, under clients that come back once.

The load that decides whether a request waits at its node for a permit or is refused at once
(design 0030): half as much again as the limits allow, in bursts.
"""

import itertools
import random
import unittest
from unittest import mock

import msgspec
import trio

from hopstep.services.exchanges.instances.instance_limits import InstanceLimits
from tests.services.exchanges.exchange_world import ExchangeWorld

NODES = 3
INSTANCES = 3
LIMIT = 6.0
REQUESTS = 400
REQUESTS_PER_SECOND = 27.0
BURST_SHARE = 0.5
BURST_SECONDS = 0.3
"""Half of the requests come in bursts: together with others within so long."""

PATIENCE_SECONDS = 2.5
OBJECTIVE_SECONDS = 0.5
HEEDED_SHARE = 1 / 3
"""Clients come back after a wait of up to this part of the time that they have left."""

SEEDS = (1, 2, 3)


class Outcomes(msgspec.Struct):
    """How requests ended, by number; counted from their first try."""

    in_time: int = 0
    late: int = 0
    refused: int = 0
    held_seconds: float = 0.0


class LimitedLoad:
    """One play of the load."""

    def __init__(self, seed, order_seed=None):
        self.outcomes = Outcomes()
        self.generator = random.Random(seed)
        self.world = ExchangeWorld(nodes=NODES, zones=NODES, seed=seed, order_seed=order_seed)
        for number in range(INSTANCES):
            self.world.add(f"i{number}").announced_limit = LIMIT

    def play(self):
        self.world.run(self.run)
        return self.outcomes

    async def run(self, _world):
        await trio.sleep(2.0)
        async with trio.open_nursery() as nursery:
            for _request in range(REQUESTS):
                nursery.start_soon(self.call)
                if self.generator.random() < BURST_SHARE:
                    await trio.sleep(self.generator.random() * BURST_SECONDS / REQUESTS_PER_SECOND)
                else:
                    await trio.sleep(self.generator.expovariate(REQUESTS_PER_SECOND / 2))

    async def call(self):
        """Send a request, and once more to another node if it is told to come back in time."""
        began_at = trio.current_time()
        node = self.generator.randrange(NODES)
        for number in (node, node + 1):
            tried_at = trio.current_time()
            left = began_at + PATIENCE_SECONDS - tried_at
            answer = await self.world.request("unsafe", node=number % NODES, patience=left)
            elapsed = trio.current_time() - began_at
            if answer.error is None:
                self.outcomes.in_time += elapsed <= OBJECTIVE_SECONDS
                self.outcomes.late += elapsed > OBJECTIVE_SECONDS
                return
            self.outcomes.held_seconds += trio.current_time() - tried_at
            wait = answer.error.retry_after_seconds
            if wait > (PATIENCE_SECONDS - elapsed) * HEEDED_SHARE:
                break
            await trio.sleep(wait)
        self.outcomes.refused += 1


class LimitedLoadTest(unittest.TestCase):
    def test_waiting_for_permits_serves_more_in_time_than_refusing_at_once(self):
        gained = 0
        for seed, order_seed in itertools.product(SEEDS, SEEDS):
            with self.subTest(seed=seed, order_seed=order_seed):
                kept = LimitedLoad(seed, order_seed).play()
                with mock.patch.object(InstanceLimits, "may_wait", return_value=False):
                    at_once = LimitedLoad(seed, order_seed).play()
                self.assertLess(kept.refused, at_once.refused)
                gained += kept.in_time - at_once.in_time
        self.assertGreater(gained, 0)
