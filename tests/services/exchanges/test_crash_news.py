"""Requests under which a node sees instances crash are reported to all, in bounded messages."""

import unittest

import trio

from emulator.virtual_time import run_in_virtual_time
from hopstep.domain.quarantine.crashes import InstanceProbeResult, RequestIdentity
from hopstep.services.exchanges.peers.crash_reports import MAX_REPEATS, REPEAT_SECONDS, CrashReports
from hopstep.services.exchanges.peers.urgent_queue import MAX_REQUESTS, UrgentQueue
from hopstep.services.quarantine.quarantine import Quarantine


async def look_crashed():
    return InstanceProbeResult.ENDED


class CrashNewsTest(unittest.TestCase):
    def run_script(self, script):
        async def main():
            quarantine, queue = Quarantine("n1"), UrgentQueue()
            reports = CrashReports(quarantine, queue)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(quarantine.run)
                nursery.start_soon(reports.run)
                await script(quarantine, queue)
                nursery.cancel_scope.cancel()

        run_in_virtual_time(main)

    def test_each_end_is_told_several_times(self):
        async def script(quarantine, queue):
            quarantine.note_interrupted(RequestIdentity(b"fatal"), "i1", look_crashed)
            times = []
            with trio.move_on_after(10.0):
                while True:
                    await queue.filled.wait()
                    self.assertEqual(queue.take().requests, (b"fatal",))
                    times.append(trio.current_time())
            waits = [at - times[0] for at in times[1:]]
            self.assertEqual([round(wait, 3) for wait in waits], list(REPEAT_SECONDS))

        self.run_script(script)

    def test_an_end_under_many_requests_is_told_in_several_messages(self):
        async def script(quarantine, queue):
            for number in range(3 * MAX_REQUESTS):
                quarantine.note_interrupted(
                    RequestIdentity(bytes([number])), f"i{number}", look_crashed
                )
            await trio.sleep(0.1)
            messages = []
            while queue.filled.is_set():
                messages.append(queue.take().requests)
            self.assertEqual(max(map(len, messages)), MAX_REQUESTS)
            self.assertEqual(len({request for message in messages for request in message}), 96)

        self.run_script(script)

    def test_what_waits_to_be_told_again_is_bounded(self):
        async def script(quarantine, queue):
            for number in range(3 * MAX_REPEATS):
                name = RequestIdentity(number.to_bytes(4, "big"))
                quarantine.note_interrupted(name, f"i{number}", look_crashed)
                if number % 100 == 0:
                    await trio.sleep(0.001)
            await trio.sleep(0.2)
            while queue.filled.is_set():
                queue.take()
            await trio.sleep(2 * max(REPEAT_SECONDS))
            repeated = 0
            while queue.filled.is_set():
                repeated += len(queue.take().requests)
            self.assertLessEqual(repeated, MAX_REPEATS + 1)

        self.run_script(script)
