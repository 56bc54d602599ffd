"""Faults of a soak while no instance runs."""

import random
import tempfile
import unittest
from pathlib import Path

import trio
import trio.testing

from emulator.soak.callers import Callers
from emulator.soak.deployment import Deployment
from emulator.soak.faults import Faults
from emulator.soak.hostile_callers import HostileCallers
from emulator.soak.operators import Operator
from emulator.soak.profiles import Profile

KINDS = (
    "instance link",
    "instance connections silent",
    "instance crashed",
    "instance leaves",
    "instance says it leaves",
    "instances want rest",
    "instances name limits",
    "instance fails",
    "instance restarts",
    "address passed on",
    "instance freezes",
    "instance fails for a while",
)
"""Faults that hit an instance."""


class FaultsTest(unittest.TestCase):
    # Fatal requests may crash all instances at once.
    def test_faults_without_any_instance_do_not_end_the_soak(self):
        for kind in KINDS:
            with self.subTest(kind), tempfile.TemporaryDirectory() as directory:
                generator = random.Random(1)
                deployment = Deployment(Path(directory), generator)
                operator = Operator(deployment, generator)
                callers = HostileCallers(deployment, Callers(deployment, generator, 1.0), generator)
                profile = Profile("one kind", (kind,), (0.1, 0.2), 0.0, 1.0)
                faults = Faults(deployment, operator, callers, generator, profile)
                trio.run(faults.run, 1.0, clock=trio.testing.MockClock(autojump_threshold=0))
                self.assertGreater(faults.counts[kind], 0)
                self.assertEqual(faults.counts[f"{kind}, no instance"], faults.counts[kind])


if __name__ == "__main__":
    unittest.main()
