"""Sound parts of prompts that come beside fatal ones."""

import unittest

import trio

from emulator.virtual_time import run_in_virtual_time
from hopstep.domain.quarantine.crashes import (
    RequestIdentity,
)
from hopstep.domain.quarantine.fingerprint import part_fingerprint
from hopstep.services.quarantine.quarantine import Quarantine
from tests.services.quarantine.reports import report


class PartBesideFatalOnesTest(unittest.TestCase):
    """A sound part that was answered is served although several fatal ones end instances beside it.

    Guards against this failure: all nodes refused such a part for nine seconds, until its trial.
    It had been under way at five ends in four seconds; two fatal parts, refused for other ends,
    explained them all, and only one of these was taken back.
    """

    SHARED = part_fingerprint("", "shared")
    FIRST, SECOND = part_fingerprint("", "fatal"), part_fingerprint("", "fatal too")
    ANSWERED = RequestIdentity(b"answered", parts=(SHARED,))
    BESIDE = (
        (0.0, "a1", FIRST, SHARED),
        (0.1, "a2", FIRST, SHARED),
        (1.4, "b1", SECOND, SHARED),
        (2.3, "a3", FIRST, SHARED),
        (4.1, "b2", SECOND, SHARED),
    )
    EVIDENCE = ((1.5, "c1", FIRST), (2.5, "c2", FIRST), (3.5, "c3", FIRST))

    def run_ends(self, ends, answered=True):
        """Return for each node whether it refuses the part after ends: time, instance, parts.

        The first node has seen an answer with the part, the second hasn't.
        """
        refused = []

        async def main():
            nodes = [Quarantine("n0"), Quarantine("n1")]
            first, second = nodes
            first.subscribe(lambda f: second.merge_reports([first.known_crashes(f)]))
            if answered:
                first.note_complete_response(self.ANSWERED)
            for at, instance, *parts in sorted(ends):
                await trio.sleep_until(at)
                for part in parts:
                    for node in nodes:
                        node.merge_reports([report(part, instance)])
            refused.extend(node.refused_seconds(self.SHARED) > 0 for node in nodes)

        run_in_virtual_time(main)
        return refused

    def test_it_is_served_where_what_explains_its_ends_is_known_first(self):
        self.assertEqual(self.run_ends((*self.BESIDE, *self.EVIDENCE)), [False, False])

    def test_it_is_served_once_what_explains_its_ends_is_known(self):
        late = [(at + 10.0, *end) for at, *end in self.EVIDENCE]
        self.assertEqual(self.run_ends(self.BESIDE), [True, True])
        self.assertEqual(self.run_ends((*self.BESIDE, *late)), [False, False])

    def test_a_part_that_was_not_answered_is_refused(self):
        ends = (*self.BESIDE, *self.EVIDENCE)
        self.assertEqual(self.run_ends(ends, answered=False), [True, True])


if __name__ == "__main__":
    unittest.main()
