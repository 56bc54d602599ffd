"""The measure of answers without end: its forms, its figures, and a short run of processes."""

import math
import random
import unittest

import h11
import trio

from emulator.endless.figures import Measurement, SentRequest, pooled_high_ms
from emulator.endless.forms import FORMS, NONE, endless_answer
from emulator.endless.measure import measure
from emulator.endless.setting import MeasurePlan

ANSWER = b"HTTP/1.1 200 OK\r\nAttempt-Id: r1\r\nContent-Length: 2\r\n\r\nok"
REPEATS = 3


class FormsTest(unittest.TestCase):
    def ends(self, form):
        """Return whether an answer of a form ends; what is no answer doesn't."""
        protocol = h11.Connection(h11.CLIENT, max_incomplete_event_size=1 << 24)
        protocol.send(h11.Request(method="GET", target="/", headers=[("Host", "x")]))
        protocol.send(h11.EndOfMessage())
        answer = endless_answer(form, ANSWER, random.Random(1))
        protocol.receive_data(answer.beginning + answer.repeated * REPEATS)
        try:
            while (event := protocol.next_event()) not in (h11.NEED_DATA, h11.PAUSED):
                if isinstance(event, h11.EndOfMessage):
                    return True
        except h11.RemoteProtocolError:
            return False
        return False

    def test_no_form_ends_but_the_one_with_bytes_behind_its_answer(self):
        for form in FORMS:
            self.assertEqual(self.ends(form), form == "surplus", form)


class MeasureTest(unittest.TestCase):
    def test_only_other_requests_that_were_answered_count(self):
        requests = [SentRequest(f"r{n}", True, n / 1_000, True) for n in range(1, 101)]
        requests += [SentRequest("first", False, 9.0, True), SentRequest("failed", True)]
        measurement = Measurement(requests, {"r100"}, 40.0)
        figures = measurement.figures("garbage")
        self.assertEqual((figures.sent, figures.failed, figures.others), (101, 1, 99))
        self.assertEqual(figures.others_high_ms, 99.0)
        self.assertEqual(Measurement([], set(), 40.0).figures("garbage").others_high_ms, math.inf)

    def test_the_requests_of_several_runs_count_together(self):
        slow = [SentRequest(f"s{n}", True, 9.0, True) for n in range(2)]
        fast = [SentRequest(f"f{n}", True, 0.1, True) for n in range(298)]
        runs = [
            Measurement(requests, set(), 40.0).figures(NONE)
            for requests in (fast[:98] + slow, fast[98:])
        ]
        self.assertEqual([run.others_high_ms for run in runs], [9_000.0, 100.0])
        self.assertEqual(pooled_high_ms(runs), 100.0)
        self.assertEqual(pooled_high_ms([]), math.inf)

    def test_requests_are_answered_beside_large_chunks_without_end(self):
        plan = MeasurePlan(instances=4, endless=1, work_seconds=0.01, rate=20.0, seconds=1.0)
        for form in (NONE, "large chunks"):
            measured = trio.run(measure, form, plan)
            self.assertEqual(measured.sent, 20, form)
            self.assertGreater(measured.others, 10, form)


if __name__ == "__main__":
    unittest.main()
