"""Checks of fatal parts of prompts accept a clean history and report a broken promise."""

import unittest

from emulator.soak.callers import body_of, headers_of, shared_part
from emulator.soak.checks import check_all
from emulator.soak.disturbances import Disturbance
from emulator.soak.instance_records import FatalTermination
from emulator.soak.part_checks import MIN_COMPARED, PART_QUARANTINED
from emulator.soak.promises import Bounds
from emulator.soak.request_records import RequestKind
from tests.emulator.soak.test_checks import history, request

PART = "fa7a100"
CRASHED_AT = 100.0
BOUNDED_FROM = CRASHED_AT + 2 * Bounds().settling
LATE_CHECK = "fatal parts"
BEGIN_CHECK = "sound requests beside fatal parts"
REFUSAL_CHECK = "sound parts"


def fatal(number, at):
    return request(
        f"fa{number:02x}", RequestKind.STREAM, at, fatal=PART, has_fatal_part=True, status=503
    )


def sound(number, at, **changes):
    return request(f"{number:04x}", RequestKind.STREAM, at, **changes)


class PartChecksTest(unittest.TestCase):
    def broken(self, seen):
        return {violation.promise for violation in check_all(seen, Bounds())}

    # Sound requests were taken for those that crash instances, as both had the same body.
    def test_no_two_requests_are_alike_if_one_has_a_fatal_part(self):
        bodies = {body_of(made) for made in (fatal(1, 0.0), fatal(2, 0.0), sound(3, 0.0))}
        self.assertEqual(len(bodies), 3)

    def crashed(self, *requests, crashes=5, **changes):
        seen = history(*requests, runs=[], **changes)
        seen.fatal_terminations = [
            FatalTermination(PART, f"i{n}@1", CRASHED_AT) for n in range(crashes)
        ]
        return seen

    def test_a_request_with_a_fatal_part_names_it_before_its_own(self):
        headers = headers_of(fatal(1, 100.0))
        ids = [part.partition(":")[0] for part in headers["Prompt-Prefix"].split(",")]
        self.assertEqual(ids[1:], [PART, "fa01"])

    def test_requests_with_a_part_that_go_on_reaching_instances(self):
        for crashes, late, at, caught in (
            (5, 4, 104.0, True),
            (5, 3, 104.0, False),
            (4, 9, 104.0, False),
            (5, 9, 102.0, False),
        ):
            seen = self.crashed(*(fatal(n, at + n / 100) for n in range(late)), crashes=crashes)
            broken = self.broken(seen)
            self.assertEqual(LATE_CHECK in broken, caught, (crashes, late, at))
            self.assertNotIn("fatal requests", broken)

    def sound_beside(self, begun, **changes):
        before = [sound(n, 50.0 + n / 100) for n in range(MIN_COMPARED)]
        beside = [
            sound(0x100 + n, BOUNDED_FROM + 1.0 + n / 100, **({} if n < begun else {"body": b""}))
            for n in range(MIN_COMPARED)
        ]
        ends = [fatal(1, 99.0), fatal(2, BOUNDED_FROM + 9.0)]
        return self.crashed(*before, *beside, *ends, **changes)

    def test_sound_requests_that_begin_less_often_while_requests_with_a_part_come(self):
        half = MIN_COMPARED // 2
        for begun, caught in ((half - 1, True), (half, False), (MIN_COMPARED, False)):
            broken = self.broken(self.sound_beside(begun))
            self.assertEqual(BEGIN_CHECK in broken, caught, begun)

    def test_nodes_with_faults_are_excused(self):
        faults = [Disturbance("paused", "n0", 90.0, 130.0)]
        self.assertNotIn(BEGIN_CHECK, self.broken(self.sound_beside(0, disturbances=faults)))

    def test_a_sound_request_that_is_refused_for_a_part(self):
        refused = {"status": 503, "stamp": "", "body": PART_QUARANTINED}
        first = sound(1, CRASHED_AT + 1.0, **refused)
        self.assertNotIn(REFUSAL_CHECK, self.broken(self.crashed(first)))
        late = sound(1, CRASHED_AT + 20.0, **refused)
        self.assertIn(REFUSAL_CHECK, self.broken(self.crashed(late)))
        few = self.crashed(first, crashes=2)
        self.assertIn(REFUSAL_CHECK, self.broken(few))
        answered = sound(1 + 30, 90.0)
        self.assertEqual(shared_part(answered), shared_part(first))
        self.assertIn(REFUSAL_CHECK, self.broken(self.crashed(first, answered)))
        self.assertNotIn(REFUSAL_CHECK, self.broken(self.crashed(fatal(1, 101.0))))

    def test_a_part_that_another_node_knows_while_reports_are_lost(self):
        refused = {"status": 503, "stamp": "", "body": PART_QUARANTINED}
        requests = sound(1, CRASHED_AT + 1.0, **refused), sound(1 + 30, 90.0, node="n1")
        for node, until, caught in (
            ("n0", 99.0, False),
            ("n1", 99.0, False),
            ("n0", 88.0, True),
            ("n2", 99.0, True),
        ):
            faults = [Disturbance("lossy peers", node, 80.0, until)]
            broken = self.broken(self.crashed(*requests, disturbances=faults))
            self.assertEqual(REFUSAL_CHECK in broken, caught, (node, until))
