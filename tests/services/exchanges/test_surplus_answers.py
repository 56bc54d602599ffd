"""Surplus bytes are counted each time and logged at a bounded rate."""

import unittest
from collections import Counter

import trio
import trio.testing
from structlog.testing import capture_logs

from hopstep.ports.surplus_answers import SurplusBytes, SurplusPlace
from hopstep.services.exchanges.instances.surplus_answers import (
    LINE_INTERVAL_SECONDS,
    MAX_INSTANCES,
    SurplusAnswers,
)


def found(address: str = "10.0.0.1:80") -> SurplusBytes:
    return SurplusBytes(address, SurplusPlace.BEHIND_ANSWER, connection=3, sends=2, size=90)


class SurplusAnswersTest(unittest.TestCase):
    def setUp(self):
        self.answers = SurplusAnswers()
        self.counted = Counter()
        self.answers.count_with(lambda place: self.counted.update([place]))

    def run_virtually(self, script):
        with capture_logs() as logs:
            trio.run(script, clock=trio.testing.MockClock(autojump_threshold=0))
        return logs

    # An instance that repeats its answers could write a line for each of its answers.
    def test_an_instance_is_logged_once_in_an_interval_and_counted_each_time(self):
        async def script():
            for _time in range(5):
                self.answers.note(found())
            await trio.sleep(LINE_INTERVAL_SECONDS)
            self.answers.note(found())

        logs = self.run_virtually(script)
        self.assertEqual([entry["unlogged"] for entry in logs], [0, 4])
        self.assertEqual((logs[0]["connection"], logs[0]["sends"]), (3, 2))
        self.assertEqual(self.counted, {SurplusPlace.BEHIND_ANSWER: 6})

    def test_the_number_of_remembered_instances_is_bounded(self):
        async def script():
            for number in range(2 * MAX_INSTANCES):
                self.answers.note(found(f"10.0.0.1:{number}"))

        self.run_virtually(script)
        self.assertEqual(len(self.answers._counts), MAX_INSTANCES)
