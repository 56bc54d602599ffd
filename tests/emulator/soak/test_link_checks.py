"""The soak's check of nodes whose links to instances are cut sees callers that aren't served."""

import unittest

from emulator.soak.disturbances import INSTANCE_LINKS_CUT, Disturbance
from emulator.soak.history import History
from emulator.soak.link_checks import partitioned_callers_are_served, subject_of
from emulator.soak.promises import Bounds
from emulator.soak.request_records import RequestKind, SentRequest

CUT_AT, CUT_UNTIL = 10.0, 20.0
SETTLING_SECONDS = Bounds().settling


class LinkChecksTest(unittest.TestCase):
    def history(self, served_behind, disturbed=""):
        history = History(disturbances=[], requests={})
        cut = Disturbance(INSTANCE_LINKS_CUT, subject_of("n0"), CUT_AT, CUT_UNTIL)
        history.disturbances.append(cut)
        if disturbed:
            history.disturbances.append(Disturbance("killed", disturbed, 0.0, 30.0))
        for number in range(100):
            for node in ("n0", "n1"):
                sent_at = CUT_AT + number * 0.1
                fails = node == "n0" and number % 10 >= served_behind
                request = SentRequest(
                    f"{node}-{number}",
                    list(RequestKind)[0],
                    "s",
                    "k",
                    node,
                    sent_at,
                    sent_at + 2.0,
                    0,
                    ended_at=sent_at + 0.1,
                    status=503 if fails else 200,
                    whole=True,
                )
                history.requests[request.request_id] = request
        return history

    def violations(self, history):
        return list(partitioned_callers_are_served(history, Bounds()))

    def test_callers_that_are_not_served_are_seen(self):
        self.assertEqual(len(self.violations(self.history(0))), 1)
        self.assertEqual(len(self.violations(self.history(6))), 1)

    def test_callers_that_are_served_like_others_break_nothing(self):
        self.assertEqual(self.violations(self.history(7)), [])
        self.assertEqual(self.violations(self.history(10)), [])

    def test_a_node_with_another_fault_is_not_counted(self):
        self.assertEqual(self.violations(self.history(0, disturbed="n0")), [])

    def test_the_first_seconds_of_a_cut_are_not_counted(self):
        history = self.history(0)
        for request in history.requests.values():
            if request.sent_at >= CUT_AT + SETTLING_SECONDS:
                request.status = 200
        self.assertEqual(self.violations(history), [])
