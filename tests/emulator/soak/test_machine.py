"""Stalls of the machine: which delays count as stalls, and how they are recorded."""

import tempfile
import unittest
from pathlib import Path

import trio

from emulator.soak.disturbances import MACHINE
from emulator.soak.history import History
from emulator.soak.machine import (
    CHECK_INTERVAL_SECONDS,
    STALL_SECONDS,
    UNKNOWN_SHARE,
    MachineWatch,
    ProcessorTimes,
    machine_load,
    read_processor_times,
)
from emulator.virtual_time import run_in_virtual_time


class MachineWatchTest(unittest.TestCase):
    def test_late_looks_are_stalls_and_disturb_the_machine(self):
        history = History()
        watch = MachineWatch(history)
        watch.note(10.0, 10.0 + CHECK_INTERVAL_SECONDS + STALL_SECONDS / 2)
        self.assertEqual((watch.stalls.count, history.disturbances), (0, []))
        watch.note(10.0, 11.0)
        watch.note(11.0, 11.5)
        self.assertEqual(watch.stalls.count, 2)
        self.assertAlmostEqual(watch.stalls.total_seconds, 1.5 - 2 * CHECK_INTERVAL_SECONDS)
        self.assertAlmostEqual(watch.stalls.longest_seconds, 1.0 - CHECK_INTERVAL_SECONDS)
        self.assertTrue(history.disturbed(MACHINE, 10.5, 10.6))
        self.assertFalse(history.time_bounds_apply("n0", 10.5, 10.6))
        self.assertTrue(history.time_bounds_apply("n0", 12.0, 13.0))

    def test_a_clock_that_runs_evenly_shows_no_stall(self):
        watch = MachineWatch(History())

        async def main():
            with trio.move_on_after(5.0):
                await watch.run()

        run_in_virtual_time(main)
        self.assertEqual(watch.stalls.count, 0)


class MachineLoadTest(unittest.TestCase):
    def read(self, text):
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "stat"
            path.write_text(text)
            return read_processor_times(path)

    def test_processor_times_are_read_without_guests(self):
        found = self.read("cpu  10 20 30 40 50 60 70 80 1000 1000\ncpu0 1 1 1 1 1 1 1 1 1 1\n")
        self.assertEqual(found, ProcessorTimes(total=360, stolen=80))

    def test_what_cannot_be_read_is_unknown(self):
        for text in ("", "cpu", "cpu a b c d e f g h", "cpu 1 2 3"):
            with self.subTest(text):
                self.assertIsNone(self.read(text))
        self.assertEqual(machine_load(None).stolen_share, UNKNOWN_SHARE)
