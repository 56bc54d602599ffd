"""What an instance says of itself in its answers binds the node that reads it.

An instance said in every answer that it was about to leave. The store couldn't be written at that
time, so its entry went on saying ``ready`` for another twelve seconds, and nodes went by the entry
alone: one sent it a request 2,080 ms after it had passed on such an answer, four more up to 5.9 s
after it, and the instance ended under one of them. A second instance was overloaded, refused what
came and asked for three seconds of rest with each refusal. A node counted that as one failure among
others: it sent five more requests within the next second, all of them refused, while two other
instances of the service were free. Neither word was read anywhere. The logs of that time show a
request after the word like any other (``exchange_ended``, ``outcome: 200``) and a refusal without
its wait (``not run, status 503``).
"""

import unittest

import trio

from hopstep.domain.instance_notices import InstanceNotice
from tests.services.exchanges.exchange_world import BOUNDS, ExchangeWorld

INSTANCES = ("i1", "i2", "i3")
REQUEST_SECONDS = 0.03
"""Between two requests: 33 a second, what the busiest node of the incident had."""

DRAIN_SECONDS = BOUNDS.drain_ms / 1_000
REST_SECONDS = 3.0
ON_THEIR_WAY_SECONDS = 0.5
"""Requests that were sent before a refusal was read may still come for so long."""

MAX_WITHIN_A_REST = 2
BUSY_SECONDS = 0.5
"""Time of a request at an instance that is busy: some twenty times that of an idle one."""


class RecordedRefusals:
    """Notes when an instance refuses, by wrapping what it says of itself."""

    def __init__(self, server):
        self.at = []
        self._notice = server.notice
        server.notice = self

    def __call__(self) -> InstanceNotice:
        self.at.append(trio.current_time())
        return self._notice()


class InstanceNoticesTest(unittest.TestCase):
    def make_world(self, **options):
        world = ExchangeWorld(**options)
        for instance_id in INSTANCES:
            world.add(instance_id)
        return world

    def make_busy(self, world):
        """Let the other instances be as slow as in a burst, so that the idle one seems better."""
        for instance_id in INSTANCES[1:]:
            world.instances.servers[instance_id].work_seconds = BUSY_SECONDS

    async def load(self, world, seconds, names=("safe", "unsafe"), node=0):
        """Send requests to a node for a time, and return the answers."""
        answers = []

        async def send(name):
            answers.append(await world.request(name, node=node))

        async with trio.open_nursery() as nursery:
            for number in range(round(seconds / REQUEST_SECONDS)):
                nursery.start_soon(send, names[number % len(names)])
                await trio.sleep(REQUEST_SECONDS)
        return answers

    def test_an_instance_that_says_it_leaves_gets_nothing_after_the_bound(self):
        world = self.make_world()

        async def script(world):
            server = world.instances.servers["i1"]
            await self.load(world, 1.0)
            self.assertTrue(server.arrived_at)
            world.directories[0].down = True
            server.says_leaving = True
            told = RecordedRefusals(server)
            await self.load(world, 3 * DRAIN_SECONDS)
            late = [at for at in server.arrived_at if at > told.at[0] + DRAIN_SECONDS]
            self.assertEqual(late, [])

        world.run(script)

    def test_an_instance_that_asks_for_rest_gets_at_most_two_requests_meanwhile(self):
        world = self.make_world()

        async def script(world):
            server = world.instances.servers["i1"]
            self.make_busy(world)
            await self.load(world, 1.0)
            server.sheds_for = REST_SECONDS
            refusals = RecordedRefusals(server)
            await self.load(world, 3 * REST_SECONDS)
            self.assertTrue(refusals.at)
            for refused_at in refusals.at:
                first = refused_at + ON_THEIR_WAY_SECONDS
                last = refused_at + REST_SECONDS
                within = [at for at in server.arrived_at if first < at < last]
                self.assertLessEqual(len(within), MAX_WITHIN_A_REST)

        world.run(script)

    def test_no_client_is_refused_while_another_instance_takes_requests(self):
        world = self.make_world()

        async def script(world):
            server = world.instances.servers["i1"]
            self.make_busy(world)
            await self.load(world, 1.0)
            server.sheds_for = REST_SECONDS
            refusals = RecordedRefusals(server)
            await self.load(world, 0.5)
            self.assertTrue(refusals.at)
            answers = await self.load(world, REST_SECONDS - 1.0)
            refused = [answer for answer in answers if answer.error is not None]
            self.assertEqual(refused, [])

        world.run(script)
