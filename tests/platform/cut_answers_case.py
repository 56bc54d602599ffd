"""Plays cut answers and judges what their clients received."""

import unittest
from collections import Counter

from tests.platform.cut_world import CutWorld

FAILURES = frozenset({502, 504})
"""Statuses without a promise that the request hasn't run: each request of a case was sent."""


def fault_of(case, number, received, instances):
    """Return what is wrong with what a client received; empty if nothing is."""
    if not instances.arrivals[number]:
        return "never reached an instance"
    if case.is_kept and number not in instances.kept:
        return "came on another connection"
    if received.framed and received.status == case.status:
        if received.body not in case.bodies:
            return "looks whole and isn't"
        named = [value for name, value in received.headers if name == b"attempt-id"]
        stamps = [value for name, value in received.headers if name == b"response-stamp"]
        if named != [b"a%05d" % number] or stamps != [b"s"]:
            return "has a head of another answer"
        return ""
    if case.must_be_whole:
        return "isn't passed on whole"
    if received.framed and received.status not in FAILURES:
        return "has a status of nobody, or one that promises something"
    return ""


class CutAnswersCase(unittest.TestCase):
    """Plays cases; has no tests of its own."""

    def play(self, *forms, **options):
        """Play all cases of some forms; return how often clients got which status and framing."""
        cases = [case for form in forms for case in form]
        world = CutWorld(cases, **options)
        results = Counter()
        faults = []
        for number, (case, received) in enumerate(zip(cases, world.run(), strict=True)):
            results[received.status, received.framed] += 1
            fault = fault_of(case, number, received, world.instances)
            if fault:
                faults.append((case.name, fault, received))
        self.assertEqual(faults, [])
        return results
