import os
import unittest

import structlog

from hopstep.adapters.log_output import NonBlockingOutput
from hopstep.logs import DROPPED_FIELD, LineBudget


class NonBlockingOutputTest(unittest.TestCase):
    def pipe(self, max_waiting_bytes):
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        self.addCleanup(os.close, writer)
        return reader, NonBlockingOutput(writer, max_waiting_bytes)

    def test_lines_reach_the_reader(self):
        reader, output = self.pipe(1_000)
        output.write("one\ntw")
        output.write("o\n")
        self.assertEqual(os.read(reader, 100), b"one\ntwo\n")

    def test_a_reader_that_stops_blocks_nothing_and_memory_is_bounded(self):
        reader, output = self.pipe(10_000)
        lines = 20_000
        for number in range(lines):
            output.write(f"line {number:08}\n")
        self.assertGreater(output.dropped, 0)
        received = b""
        while True:
            output.flush()
            os.set_blocking(reader, False)
            try:
                received += os.read(reader, 1 << 20)
            except BlockingIOError:
                break
        numbers = [int(line.split()[1]) for line in received.splitlines()]
        self.assertEqual(numbers, sorted(numbers))
        self.assertEqual(len(numbers) + output.dropped, lines)


class LineBudgetTest(unittest.TestCase):
    def setUp(self):
        self.now = 0.0
        self.budget = LineBudget(10.0, lambda: self.now)

    def passes(self, number):
        try:
            return self.budget(None, "info", {"number": number})
        except structlog.DropEvent:
            return None

    def test_each_kind_has_a_budget_of_its_own(self):
        written = sum(self.passes("HS1") is not None for _ in range(100))
        self.assertEqual(written, 10)
        self.assertIsNotNone(self.passes("HS2"))

    def test_the_next_line_tells_how_many_were_dropped(self):
        for _ in range(15):
            self.passes("HS1")
        self.now = 1.0
        self.assertEqual(self.passes("HS1")[DROPPED_FIELD], 5)
        self.assertNotIn(DROPPED_FIELD, self.passes("HS1"))
