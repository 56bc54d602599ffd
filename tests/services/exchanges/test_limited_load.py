"""All instances of a service have send limits, and clients retry once.

Compares waiting for a permit at the node with refusing at once (design 0030), under a load of 1.5
times what the limits allow, in bursts.
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
"""Half of the requests come in bursts, together with others within this time."""

PATIENCE_SECONDS = 2.5
OBJECTIVE_SECONDS = 0.5
MAX_WAIT_SHARE = 1 / 3
"""Clients retry if the advised wait is at most this share of their remaining time."""

SEEDS = (1, 2, 3)


class Outcomes(msgspec.Struct):
    """Numbers of requests by outcome; times count from the first attempt."""

    in_time: int = 0
    late: int = 0
    refused: int = 0
    held_seconds: float = 0.0


class LimitedLoad:
    """One run of the load."""

    def __init__(self, seed, order_seed=None):
        self.outcomes = Outcomes()
        self.generator = random.Random(seed)
        self.world = ExchangeWorld(nodes=NODES, zones=NODES, seed=seed, order_seed=order_seed)
        for number in range(INSTANCES):
            self.world.add(f"i{number}").announced_limit = LIMIT

    def execute(self):
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
        """Send a request, and retry once at another node if the advised wait is short enough."""
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
            if wait > (PATIENCE_SECONDS - elapsed) * MAX_WAIT_SHARE:
                break
            await trio.sleep(wait)
        self.outcomes.refused += 1


class LimitedLoadTest(unittest.TestCase):
    def test_waiting_for_permits_serves_more_in_time_than_refusing_at_once(self):
        gained = 0
        for seed, order_seed in itertools.product(SEEDS, SEEDS):
            with self.subTest(seed=seed, order_seed=order_seed):
                waiting = LimitedLoad(seed, order_seed).execute()
                with mock.patch.object(InstanceLimits, "may_wait", return_value=False):
                    at_once = LimitedLoad(seed, order_seed).execute()
                self.assertLess(waiting.refused, at_once.refused)
                gained += waiting.in_time - at_once.in_time
        self.assertGreater(gained, 0)
