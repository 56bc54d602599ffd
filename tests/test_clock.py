"""The clock of the event loop counts the time in which the machine was suspended."""

import time
import unittest
from pathlib import Path
from unittest import mock

import trio

from hopstep import clock
from hopstep.cli import node_process, router

SUSPENDED_SECONDS = 40.0


class Clocks:
    """The machine's clocks, one of which advances while the machine is suspended."""

    def __init__(self):
        self.suspended = 0.0
        self.real_gettime = time.clock_gettime

    def clock_gettime(self, number):
        seconds = self.real_gettime(time.CLOCK_MONOTONIC)
        return seconds + self.suspended if number == time.CLOCK_BOOTTIME else seconds


class SuspensionClockTest(unittest.TestCase):
    def run_suspended(self, main):
        clocks = Clocks()
        with mock.patch.object(time, "clock_gettime", clocks.clock_gettime):
            return trio.run(main, clocks, clock=clock.SuspensionClock())

    def test_ages_count_a_suspension(self):
        async def main(clocks):
            before = trio.current_time()
            clocks.suspended += SUSPENDED_SECONDS
            return trio.current_time() - before

        self.assertGreaterEqual(self.run_suspended(main), SUSPENDED_SECONDS)

    def test_overdue_deadlines_expire_before_any_task_continues(self):
        async def main(clocks):
            with trio.move_on_after(SUSPENDED_SECONDS / 2) as lease:
                await trio.sleep(0.01)
                clocks.suspended += SUSPENDED_SECONDS
                await trio.lowlevel.checkpoint()
                await trio.lowlevel.checkpoint()
                self.fail("the deadline was not noticed")
            return lease.cancelled_caught

        self.assertTrue(self.run_suspended(main))

    def test_timers_that_are_overdue_go_off(self):
        async def main(clocks):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(trio.sleep, SUSPENDED_SECONDS / 2)
                await trio.sleep(0.01)
                clocks.suspended += SUSPENDED_SECONDS
            return True

        self.assertTrue(self.run_suspended(main))

    def test_the_clock_never_steps_with_the_time_of_day(self):
        async def main(_clocks):
            before = trio.current_time()
            with mock.patch.object(time, "time", lambda: 0.0):
                return trio.current_time() - before

        self.assertGreaterEqual(self.run_suspended(main), 0.0)

    def test_the_line_budget_of_logs_counts_a_suspension_too(self):
        clocks = Clocks()
        with mock.patch.object(time, "clock_gettime", clocks.clock_gettime):
            before = clock.steady_seconds()
            clocks.suspended += SUSPENDED_SECONDS
            self.assertGreaterEqual(clock.steady_seconds() - before, SUSPENDED_SECONDS)


class CommandsTest(unittest.TestCase):
    def test_nodes_and_routers_run_on_the_suspension_clock(self):
        for module in (node_process, router):
            with self.subTest(module=module.__name__):
                source = Path(module.__file__).read_text(encoding="utf-8")
                self.assertIn("clock=SuspensionClock()", source)
