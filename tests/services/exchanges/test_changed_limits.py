"""Requests whose bodies arrive while the limit on bodies changes."""

import random
import unittest

import msgspec
import trio

from hopstep.domain.exchanges.serving import RequestLimits
from hopstep.exceptions import ErrorCode, ServiceError
from hopstep.ports.serving_directory import ConfigurationPublished
from tests.services.exchanges.exchange_world import ExchangeWorld, RecordedAnswer, configuration

BODY = random.Random(1).randbytes(3_000)
PART_BYTES = 500
PART_SECONDS = 0.01


async def publish_limit(world, max_body_bytes):
    """Publish a limit on bodies, and wait until it is in force at the first node."""
    version = world.published_version + 1
    limits = RequestLimits(max_body_bytes)
    changed = msgspec.structs.replace(configuration(version), limits=limits)
    world.publish(ConfigurationPublished(changed))
    knowledge = world.nodes[0].knowledge
    while knowledge.current.version < version:
        await knowledge.changed.wait()


class ChangedLimitsTest(unittest.TestCase):
    def run_world(self, script):
        world = ExchangeWorld()
        world.add("p0")
        world.run(script)
        return world

    async def upload(self, world, body=BODY, changes=()):
        """Send a body in parts; ``changes`` are limits that apply before the parts they name."""
        limits = dict(changes)
        head, answer = world.head("unsafe"), RecordedAnswer()
        try:
            async with world.nodes[0].exchanges.begin(head, None) as request:
                for number, first in enumerate(range(0, len(body), PART_BYTES)):
                    if number in limits:
                        await publish_limit(world, limits[number])
                    request.add(body[first : first + PART_BYTES])
                    await trio.sleep(PART_SECONDS)
                await request.serve(answer)
        except ServiceError as error:
            answer.error = error
        return answer

    def assert_whole_or_refused(self, world, answer, body=BODY):
        """Assert that an instance got the body as it was sent, or that nothing was sent."""
        bodies = [call.request.body for call in world.instances.calls]
        if answer.error is None:
            self.assertEqual((answer.status, bodies), (200, [body]))
        else:
            self.assertTrue(answer.promised_not_run)
            self.assertEqual(bodies, [])

    def test_a_body_loses_no_part_when_the_limit_rises_while_it_arrives(self):
        """Guards against bodies that reach an instance without the parts over an earlier limit."""
        for part in range(1, 6):
            with self.subTest(part=part):

                async def script(world, part=part):
                    await publish_limit(world, 1_000)
                    answer = await self.upload(world, changes={part: 4_000})
                    self.assert_whole_or_refused(world, answer)
                    self.assertEqual(answer.error.code, ErrorCode.CONFIGURATION_CHANGED)
                    world.instances.calls.clear()
                    answer = await self.upload(world)
                    self.assertIsNone(answer.error)
                    self.assert_whole_or_refused(world, answer)

                self.run_world(script)

    def test_a_body_over_the_limit_in_force_at_its_end_is_too_long(self):
        async def script(world):
            for before, after in ((1_000, None), (4_000, 2_000), (1_000, 2_000)):
                await publish_limit(world, before)
                answer = await self.upload(world, changes={3: after} if after else {})
                self.assertEqual(answer.error.code, ErrorCode.BODY_TOO_LARGE)
                self.assert_whole_or_refused(world, answer)

        self.run_world(script)

    def test_a_starting_node_reads_bodies_by_the_limit_of_its_first_configuration(self):
        """Guards against bodies cut by a default limit while a node starts beside a slow store."""
        large = random.Random(2).randbytes(2 * RequestLimits().max_body_bytes)

        async def script(world):
            await publish_limit(world, len(large))
            services = world.start_node(world.nursery, "n1")
            world.directories[-1].answer_seconds = 0.4
            answer = await self.upload_at_once(world, services.exchanges, large)
            self.assertIsNone(answer.error)
            self.assert_whole_or_refused(world, answer, large)

        self.run_world(script)

    async def upload_at_once(self, world, exchanges, body):
        """Send a body in two parts, as fast as they are read."""
        head, answer = world.head("unsafe"), RecordedAnswer()
        try:
            async with exchanges.begin(head, None) as request:
                request.add(body[: len(body) * 3 // 4])
                request.add(body[len(body) * 3 // 4 :])
                await request.serve(answer)
        except ServiceError as error:
            answer.error = error
        return answer

    def test_any_changes_of_the_limit_leave_a_body_whole_or_refused(self):
        generator = random.Random(3)

        async def script(world):
            for _ in range(150):
                parts = range(len(BODY) // PART_BYTES)
                changed = generator.sample(parts, generator.randint(0, 3))
                changes = {part: generator.randrange(0, 5_000) for part in changed}
                world.instances.calls.clear()
                answer = await self.upload(world, changes=changes)
                self.assert_whole_or_refused(world, answer)

        self.run_world(script)


if __name__ == "__main__":
    unittest.main()
