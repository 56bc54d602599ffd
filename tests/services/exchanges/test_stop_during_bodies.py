"""Requests whose bodies arrive while their node stops, on the virtual clock."""

import random
import unittest
from collections import Counter

import trio

from hopstep.domain.exchanges.serving import RequestKind
from hopstep.exceptions import ErrorCode, ServiceError
from hopstep.ports.serving_directory import ConfigurationPublished
from tests.services.exchanges.exchange_world import (
    ExchangeWorld,
    RecordedAnswer,
    configuration,
    route,
)

WORK_SECONDS = 0.4
PART_SECONDS = 0.05
CLIENTS = 40
LAST_BEGIN_SECONDS = 8.0


class Upload:
    """A request whose body arrives for some time.

    Attributes:
        answer: Its response.
        is_cut: Whether its connection was closed before the end of a response.
    """

    def __init__(self, world, upload_seconds, route="unsafe", patience=4.0):
        self.answer = RecordedAnswer()
        self.is_cut = False
        self.began_at = trio.current_time()
        self.head = world.head(route, patience=patience)
        self._upload_seconds = upload_seconds

    async def run(self, exchanges):
        try:
            async with exchanges.begin(self.head, None) as request:
                until = trio.current_time() + self._upload_seconds
                while trio.current_time() < until:
                    request.add(b"x")
                    await trio.sleep(PART_SECONDS)
                await request.serve(self.answer)
        except ServiceError as error:
            self.answer.error = error
        except BaseException:
            self.is_cut = not self.answer.finished
            raise


class StopDuringBodiesTest(unittest.TestCase):
    def run_world(self, script, instances=("p0", "p1", "p2")):
        world = ExchangeWorld()
        for name in instances:
            world.add(name, slots=CLIENTS).work_seconds = WORK_SECONDS
        world.run(script)
        return world

    async def stop(self, world, nursery):
        """Stop the node as its process does: after the drain, cut what is left some time later."""
        services = world.nodes[0]
        services.lifecycle.stop()
        await services.wait_drained()
        self.drained_at = trio.current_time()
        await trio.sleep(services.lifecycle.schedule.close_seconds)
        nursery.cancel_scope.cancel()

    async def play(self, world, uploads, **options):
        """Begin uploads, (seconds after the stop, seconds of the upload), and return them."""
        begun = []
        self.stopped_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.stop, world, nursery)
            for delay, seconds in sorted(uploads):
                await trio.sleep(self.stopped_at + delay - trio.current_time())
                begun.append(Upload(world, seconds, **options))
                nursery.start_soon(begun[-1].run, world.nodes[0].exchanges)
        return begun

    def assert_none_lost(self, world, uploads):
        """Assert that what was sent to an instance was answered, and nothing else was promised."""
        for upload in uploads:
            runs = world.instances.runs(upload.head.request_id)
            if upload.answer.error is not None:
                self.assertTrue(upload.answer.promised_not_run)
                self.assertEqual(upload.answer.error.code, ErrorCode.STOPPING)
            elif not upload.is_cut:
                self.assertEqual((upload.answer.status, upload.answer.finished), (200, True))
            self.assertEqual(bool(runs), upload.answer.finished, upload.began_at - self.stopped_at)

    def test_a_body_that_arrives_while_a_drain_would_end_is_served_and_not_cut(self):
        """Guards against requests that are sent once the drain has ended, and then cut."""

        async def script(world):
            uploads = await self.play(world, [(2.5, 0.9), (2.7, 0.5), (2.9, 2.0)])
            self.assert_none_lost(world, uploads)
            self.assertEqual([upload.answer.status for upload in uploads], [200, 200, 200])

        self.run_world(script)

    def test_a_body_that_outlasts_the_drain_is_refused_as_not_run(self):
        async def script(world):
            uploads = await self.play(world, [(2.0, 5.2)])
            self.assert_none_lost(world, uploads)
            self.assertEqual(uploads[0].answer.error.code, ErrorCode.STOPPING)
            schedule = world.nodes[0].lifecycle.schedule
            self.assertAlmostEqual(self.drained_at - self.stopped_at, schedule.drain_seconds, 2)

        self.run_world(script)

    def test_a_call_that_waits_for_its_connection_as_the_drain_ends_is_not_sent(self):
        """Guards against requests that are sent while connections close, and then cut."""

        async def script(world):
            long = route("unsafe", RequestKind.AT_MOST_ONCE, timeout_seconds=20.0)
            version = world.published_version + 1
            world.publish(ConfigurationPublished(configuration(version, (long,))))
            while world.nodes[0].knowledge.current.version < version:
                await world.nodes[0].knowledge.changed.wait()
            earlier = await world.request("unsafe")  # shows how long such requests last
            self.assertEqual(earlier.status, 200)
            schedule = world.nodes[0].lifecycle.schedule
            begins_at, upload_seconds = 2.0, 0.2
            connected_at = schedule.drain_seconds + schedule.close_seconds / 2
            for server in world.instances.servers.values():
                server.connect_seconds = connected_at - begins_at - upload_seconds
            uploads = await self.play(world, [(begins_at, upload_seconds)], patience=20.0)
            self.assertEqual([call.proof.connected for call in world.instances.calls[1:]], [False])
            self.assert_none_lost(world, uploads)
            self.assertEqual(uploads[0].answer.error.code, ErrorCode.STOPPING)

        self.run_world(script)

    def test_a_drain_without_any_request_ends_as_early_as_before(self):
        async def script(world):
            await self.play(world, [])
            self.assertLess(self.drained_at - self.stopped_at, 3.2)

        self.run_world(script)

    def test_bodies_at_any_time_of_a_stop_are_answered_refused_or_cut_unsent(self):
        outcomes = Counter()
        for seed in range(15):

            async def script(world, seed=seed):
                generator = random.Random(seed)
                uploads = await self.play(
                    world,
                    [
                        (generator.uniform(0.0, LAST_BEGIN_SECONDS), generator.uniform(0.0, 1.5))
                        for _ in range(CLIENTS)
                    ],
                )
                self.assert_none_lost(world, uploads)
                for upload in uploads:
                    kind = "cut" if upload.is_cut else upload.answer.status or "refused"
                    outcomes[kind] += 1

            with self.subTest(seed=seed):
                self.run_world(script)
        self.assertGreater(outcomes[200], 100)
        self.assertGreater(outcomes["refused"], 10)


if __name__ == "__main__":
    unittest.main()
