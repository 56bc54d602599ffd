"""What a node sees of requests that end instances is told to all nodes, in bounded messages."""

import unittest

import trio

from emulator.virtual_time import run_in_virtual_time
from hopstep.domain.quarantine.crashes import InstanceSign, RequestName
from hopstep.services.exchanges.peers.crash_news import MAX_REPEATS, REPEAT_SECONDS, CrashNews
from hopstep.services.exchanges.peers.urgent_box import MAX_REQUESTS, UrgentBox
from hopstep.services.quarantine.quarantine import Quarantine


async def has_ended():
    return InstanceSign.ENDED


class CrashNewsTest(unittest.TestCase):
    def run_script(self, script):
        async def main():
            quarantine, box = Quarantine("n1"), UrgentBox()
            news = CrashNews(quarantine, box)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(quarantine.run)
                nursery.start_soon(news.run)
                await script(quarantine, box)
                nursery.cancel_scope.cancel()

        run_in_virtual_time(main)

    def test_each_end_is_told_three_times(self):
        async def script(quarantine, box):
            quarantine.note_interrupted(RequestName(b"fatal"), "i1", has_ended)
            times = []
            with trio.move_on_after(10.0):
                while True:
                    await box.filled.wait()
                    self.assertEqual(box.take().requests, (b"fatal",))
                    times.append(trio.current_time())
            waits = [at - times[0] for at in times[1:]]
            self.assertEqual([round(wait, 3) for wait in waits], list(REPEAT_SECONDS))

        self.run_script(script)

    def test_an_end_under_many_requests_is_told_in_several_messages(self):
        async def script(quarantine, box):
            for number in range(3 * MAX_REQUESTS):
                quarantine.note_interrupted(RequestName(bytes([number])), f"i{number}", has_ended)
            await trio.sleep(0.1)
            messages = []
            while box.filled.is_set():
                messages.append(box.take().requests)
            self.assertEqual(max(map(len, messages)), MAX_REQUESTS)
            self.assertEqual(len({request for told in messages for request in told}), 96)

        self.run_script(script)

    def test_what_waits_to_be_told_again_is_bounded(self):
        async def script(quarantine, box):
            for number in range(3 * MAX_REPEATS):
                name = RequestName(number.to_bytes(4, "big"))
                quarantine.note_interrupted(name, f"i{number}", has_ended)
                if number % 100 == 0:
                    await trio.sleep(0.001)
            await trio.sleep(0.2)
            while box.filled.is_set():
                box.take()
            await trio.sleep(2 * max(REPEAT_SECONDS))
            again = 0
            while box.filled.is_set():
                again += len(box.take().requests)
            self.assertLessEqual(again, MAX_REPEATS + 1)

        self.run_script(script)
