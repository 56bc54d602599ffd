"""All instances of a service ask for backoff at random times, and clients retry once.

Compares waiting at the node until the backoff ends with refusing at once (design 0028); the figures
there come from longer runs of this load.
"""

import itertools
import random
import unittest
from unittest import mock

import msgspec
import trio

from hopstep.services.exchanges.requests.choice.instance_choice import InstanceChoice, Opening
from tests.services.exchanges.exchange_world import ExchangeWorld

NODES = 3
INSTANCES = 3
REQUESTS = 400
REQUESTS_PER_SECOND = 40.0
PATIENCE_SECONDS = 2.5
OBJECTIVE_SECONDS = 0.5
MAX_WAIT_SHARE = 1 / 3
"""Clients retry if the advised wait is at most this share of their remaining time."""

REFUSING_SECONDS = 0.3
OVERLOADS = 3
OVERLOAD_SPACING_SECONDS = 3.0
SEEDS = (1, 2, 3)
ORDER_SEEDS = (0, 1, 2)


class Outcomes(msgspec.Struct):
    """Numbers of requests by outcome; times count from the first attempt."""

    in_time: int = 0
    late: int = 0
    refused: int = 0


class BackoffLoad:
    """One run of the load."""

    def __init__(self, seed, backoff_seconds, order_seed=None):
        self.outcomes = Outcomes()
        self.generator = random.Random(seed)
        self.backoff_seconds = backoff_seconds
        self.world = ExchangeWorld(nodes=NODES, seed=seed, order_seed=order_seed)
        for number in range(INSTANCES):
            self.world.add(f"i{number}")

    def execute(self):
        self.world.run(self.run)
        return self.outcomes

    async def run(self, _world):
        async with trio.open_nursery() as nursery:
            for overload in range(OVERLOADS):
                begin = 1.0 + OVERLOAD_SPACING_SECONDS * overload + self.generator.uniform(0.0, 2.5)
                nursery.start_soon(self.refuse, begin)
            for _request in range(REQUESTS):
                nursery.start_soon(self.call)
                await trio.sleep(self.generator.expovariate(REQUESTS_PER_SECOND))

    async def refuse(self, begin):
        """Let all instances refuse requests for a short time, and ask for backoff."""
        await trio.sleep(begin)
        servers = self.world.instances.servers.values()
        for server in servers:
            server.requested_backoff_seconds = self.backoff_seconds
        await trio.sleep(REFUSING_SECONDS)
        for server in servers:
            server.requested_backoff_seconds = 0.0

    async def call(self):
        """Send a request, and retry once at another node if the advised wait is short enough."""
        began_at = trio.current_time()
        node = self.generator.randrange(NODES)
        for number in (node, node + 1):
            left = began_at + PATIENCE_SECONDS - trio.current_time()
            answer = await self.world.request("unsafe", node=number % NODES, patience=left)
            elapsed = trio.current_time() - began_at
            if answer.error is None:
                self.outcomes.in_time += elapsed <= OBJECTIVE_SECONDS
                self.outcomes.late += elapsed > OBJECTIVE_SECONDS
                return
            wait = answer.error.retry_after_seconds
            if wait > (PATIENCE_SECONDS - elapsed) * MAX_WAIT_SHARE:
                break
            await trio.sleep(wait)
        self.outcomes.refused += 1


class RestingLoadTest(unittest.TestCase):
    """The order of tasks decides the outcome of some requests, so the check covers many orders.

    With a backoff of 1 s one of three seeds gains 1.7 of 400 requests on average over twenty
    orders, and loses some in four of them. So requests served in time are summed over seeds and
    orders.
    """

    def test_waiting_within_the_objective_serves_more_in_time_than_refusing_at_once(self):
        for backoff_seconds in (0.3, 1.0):
            gained = 0
            for seed, order_seed in itertools.product(SEEDS, ORDER_SEEDS):
                with self.subTest(
                    backoff_seconds=backoff_seconds, seed=seed, order_seed=order_seed
                ):
                    waiting = BackoffLoad(seed, backoff_seconds, order_seed).execute()
                    with mock.patch.object(
                        InstanceChoice, "next_opening", return_value=Opening(None, [], 0.0)
                    ):
                        at_once = BackoffLoad(seed, backoff_seconds, order_seed).execute()
                    self.assertLess(waiting.refused, at_once.refused)
                    gained += waiting.in_time - at_once.in_time
            self.assertGreater(gained, 0, f"backoff of {backoff_seconds} s")
