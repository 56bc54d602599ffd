"""Streams that have begun at an engine that goes silent continue elsewhere, if they may."""

import unittest
from unittest import mock

import trio

from hopstep.domain.exchanges.instance_health import InstanceHealth
from tests.services.exchanges.exchange_world import KEY, ExchangeWorld, RecordedAnswer

SILENT_SECONDS = 60.0


class SlowReader(RecordedAnswer):
    """A client that reads each event for two seconds."""

    async def send(self, data):
        await trio.sleep(2.0)
        await super().send(data)


class SilentStreamsTest(unittest.TestCase):
    def run_world(self, script, nodes=1):
        world = ExchangeWorld(nodes)
        for number in range(2):
            world.add(f"e{number}", "llm").event_seconds = 0.1
        world.run(script)

    async def start_and_silence(self, world, route, answer, patience=2.9):
        """Run a request whose engine falls silent under it; return the engine's id."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(world.request, route, 0, KEY, "r", "", patience, answer)
            await trio.sleep(0.25)
            [run] = world.instances.runs("r")
            silent = next(s for s in world.instances.servers.values() if run in s.runs)
            silent.event_seconds = SILENT_SECONDS
        return silent.instance.instance_id

    def test_a_resumable_stream_continues_elsewhere(self):
        async def script(world):
            answer = RecordedAnswer()
            await self.start_and_silence(world, "resumable", answer)
            self.assertTrue(answer.finished)
            self.assertEqual(len(world.instances.runs("r")), 2)

        self.run_world(script)

    def test_without_the_check_it_was_held_until_its_deadline(self):
        async def script(world):
            answer = RecordedAnswer()
            await self.start_and_silence(world, "resumable", answer)
            self.assertFalse(answer.finished)

        with mock.patch.object(InstanceHealth, "_pauses_streams", lambda *_arguments: False):
            self.run_world(script)

    def test_another_stream_is_left_but_the_engine_is_avoided(self):
        async def script(world):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.start_and_silence, world, "stream", RecordedAnswer())
                await trio.sleep(2.0)
                [run] = world.instances.runs("r")
                for node in world.nodes:
                    views = list(node.knowledge.table)
                    [silent] = [v for v in views if not self.is_chosen(v)]
                    server = world.instances.servers[silent.instance.instance_id]
                    self.assertIn(run, server.runs)
            self.assertEqual(len(world.instances.runs("r")), 1)

        self.run_world(script, nodes=3)

    def is_chosen(self, view):
        """Return whether neither this node nor others avoid an instance."""
        now = trio.current_time()
        return view.is_usable(now) and not view.avoided_by(now)

    async def silence_for(self, world, seconds):
        """Let the engines that stream be silent for some time, then go on."""
        for server in world.instances.servers.values():
            server.event_seconds = seconds
        await trio.sleep(seconds)
        for server in world.instances.servers.values():
            server.event_seconds = 0.1

    def test_a_stream_that_no_other_engine_may_go_on_with_waits_for_its_own(self):
        """Guards against streams that are cut for a short silence of a healthy engine."""
        for stopping in (False, True):
            for others in ({"software_version": "v2"}, {"draining": True}, None):
                with self.subTest(stopping=stopping, others=others):

                    async def script(world, stopping=stopping, others=others):
                        if others is not None:
                            world.add("e1", "llm", **others).event_seconds = 0.1
                        answer = RecordedAnswer()
                        async with trio.open_nursery() as nursery:
                            await trio.sleep(0.5)
                            nursery.start_soon(
                                world.request, "resumable", 0, KEY, "r", "", 5.0, answer
                            )
                            await trio.sleep(0.25)
                            if stopping:
                                world.nodes[0].lifecycle.stop()
                            await self.silence_for(world, 1.4)
                        self.assertTrue(answer.finished)
                        self.assertEqual(len(world.instances.runs("r")), 1)

                    world = ExchangeWorld()
                    world.add("e0", "llm").event_seconds = 0.1
                    world.run(script)

    def test_a_request_that_no_other_instance_may_run_waits_for_its_own(self):
        async def script(world):
            world.instances.servers["p0"].work_seconds = 1.8
            answer = await world.request("safe", request_id="r", patience=3.0)
            self.assertEqual((answer.status, len(world.instances.runs("r"))), (200, 1))

        world = ExchangeWorld()
        world.add("p0")
        world.run(script)

    def test_a_slow_client_makes_no_engine_silent(self):
        async def script(world):
            answer = SlowReader()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(world.request, "stream", 0, KEY, "r", "", 2.9, answer)
                for _ in range(25):
                    await trio.sleep(0.1)
                    views = list(world.nodes[0].knowledge.table)
                    self.assertTrue(all(view.is_usable(trio.current_time()) for view in views))

        self.run_world(script)
