"""While its machine is suspended, only a node's ordinary monotonic clocks stand still."""

import tempfile
import time
import unittest
from pathlib import Path
from unittest import mock

from emulator.soak.suspendable_node import SuspendableClocks

SUSPENDED_SECONDS = 100.0
SLACK_SECONDS = 20.0
"""Tolerance for a slow machine."""

STOPPED_CLOCKS = (time.CLOCK_MONOTONIC, time.CLOCK_MONOTONIC_RAW)
RUNNING_CLOCKS = (time.CLOCK_BOOTTIME, time.CLOCK_REALTIME)


class SuspendableClocksTest(unittest.TestCase):
    def setUp(self):
        directory = self.enterContext(tempfile.TemporaryDirectory())
        self.path = Path(directory) / "suspended"
        for name in ("monotonic", "perf_counter", "clock_gettime"):
            self.enterContext(mock.patch.object(time, name, getattr(time, name)))

    def readings(self):
        return [
            time.monotonic(),
            time.perf_counter(),
            *(time.clock_gettime(number) for number in (*STOPPED_CLOCKS, *RUNNING_CLOCKS)),
            time.time(),
        ]

    def test_a_suspension_counts_once_the_node_goes_on(self):
        before = self.readings()
        clocks = SuspendableClocks(self.path)
        self.path.write_text(str(SUSPENDED_SECONDS))
        untouched = [after - first for first, after in zip(before, self.readings(), strict=True)]
        self.assertTrue(all(0 <= seconds < SLACK_SECONDS for seconds in untouched), untouched)
        clocks.wake(0, None)
        passed = [after - first for first, after in zip(before, self.readings(), strict=True)]
        set_back = [seconds < SLACK_SECONDS - SUSPENDED_SECONDS for seconds in passed]
        self.assertEqual(set_back, [True] * 4 + [False] * 3)

    def test_a_node_that_starts_again_takes_the_total(self):
        self.path.write_text(str(SUSPENDED_SECONDS))
        before = time.monotonic()
        SuspendableClocks(self.path)
        self.assertLess(time.monotonic() - before, SLACK_SECONDS - SUSPENDED_SECONDS)


if __name__ == "__main__":
    unittest.main()
