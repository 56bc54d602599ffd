"""Reports of unresponsive instances are followed, except those that follow from a cut link."""

import unittest

import msgspec

from hopstep.domain.exchanges.instance_health import FIRST_SUSPENSION_SECONDS
from hopstep.domain.exchanges.instance_view import InstanceView
from hopstep.domain.exchanges.instances import Instance
from hopstep.domain.exchanges.suspicion import (
    MAX_REPORTED_INSTANCES,
    SINGLE_REPORT_SECONDS,
    OwnEvidence,
    SuspicionLedger,
)

SILENT = OwnEvidence(seconds_without_byte=3.0, responding=7, listed=8)
ACTIVE = OwnEvidence(seconds_without_byte=0.6, responding=7, listed=8)


class SuspicionLedgerTest(unittest.TestCase):
    def test_two_nodes_are_followed_and_one_only_without_a_recent_byte(self):
        ledger = SuspicionLedger()
        self.assertFalse(ledger.is_followed("i", "a", ACTIVE, 1.0))
        self.assertTrue(ledger.is_followed("i", "b", ACTIVE, 1.1))
        self.assertTrue(SuspicionLedger().is_followed("i", "a", SILENT, 1.0))

    def test_one_node_that_reports_again_and_again_is_followed_once(self):
        """Otherwise a node's cut link would take the instance away from all other nodes."""
        ledger = SuspicionLedger()
        followed = [ledger.is_followed("i", "a", SILENT, 0.4 * n) for n in range(1, 100)]
        self.assertEqual(followed.count(True), 1)
        later = 40.0 + SINGLE_REPORT_SECONDS
        self.assertTrue(ledger.is_followed("i", "a", SILENT, later))

    def test_a_large_fleet_needs_more_reports(self):
        # Requests that starved at busy engines of 75 nodes took these engines from all nodes.
        own = msgspec.structs.replace(SILENT, nodes=75)
        ledger = SuspicionLedger()
        followed = [ledger.is_followed("i", f"n{number}", own, 1.0) for number in range(12)]
        self.assertEqual(followed, [False] * 8 + [True] * 4)

    def test_an_instance_that_answers_this_node_stays_in_use(self):
        ledger = SuspicionLedger()
        answering = OwnEvidence(seconds_without_byte=0.1, responding=7, listed=8)
        self.assertFalse(any(ledger.is_followed("i", node, answering, 1.0) for node in "abc"))

    def test_half_of_the_instances_and_the_last_one_stay_in_use(self):
        """Otherwise the cut link of a zone would leave the others without instances."""
        for responding, listed in ((3, 8), (1, 3), (0, 1), (0, 2)):
            own = OwnEvidence(3.0, responding, listed)
            ledger = SuspicionLedger()
            self.assertFalse(any(ledger.is_followed("i", node, own, 1.0) for node in "abc"))

    def test_memory_is_bounded(self):
        ledger = SuspicionLedger()
        for number in range(3 * MAX_REPORTED_INSTANCES):
            ledger.note(f"i{number}", "a", 1.0)
        self.assertLessEqual(len(ledger._reports), MAX_REPORTED_INSTANCES)
        self.assertTrue(ledger.is_followed("new", "a", SILENT, 20.0))


class TrialTest(unittest.TestCase):
    def make_view(self):
        return InstanceView(Instance("i", "s", "10.0.0.1:1", "z", 4))

    def test_after_a_suspension_one_request_at_a_time_until_a_response(self):
        """Otherwise all waiting requests go to an instance that is still silent."""
        view = self.make_view()
        view.failed(1.0, unreachable=True)
        now = 1.0 + FIRST_SUSPENSION_SECONDS
        self.assertTrue(view.is_usable(now))
        view.begin("r1", 0, now)
        self.assertFalse(view.is_usable(now))
        view.end("r1", 0)
        self.assertTrue(view.is_usable(now))
        view.begin("r2", 0, now)
        view.first_byte("r2", 0, now + 0.1)
        self.assertTrue(view.is_usable(now + 0.1))

    def test_a_rejection_is_a_response(self):
        view = self.make_view()
        view.failed(1.0, unreachable=True)
        view.begin("r1", 0, 2.0)
        view.failed(2.0, unreachable=False)
        self.assertTrue(view.is_usable(2.0))

    def test_a_byte_ends_a_reported_suspension_but_not_an_own_one(self):
        reported, own = self.make_view(), self.make_view()
        reported.suspend_as_reported(4.0, 1.0)
        own.failed(1.0, unreachable=True)
        for view in (reported, own):
            self.assertFalse(view.is_usable(1.1))
            view.note_received_byte(1.2)
        self.assertTrue(reported.is_usable(1.2))
        self.assertFalse(own.is_usable(1.2))

    def test_an_own_failure_goes_on_from_the_reported_suspension(self):
        view = self.make_view()
        view.suspend_as_reported(1.6, 1.0)
        view.failed(3.0, unreachable=True)
        self.assertAlmostEqual(view.suspended_until, 3.0 + 3.2)
