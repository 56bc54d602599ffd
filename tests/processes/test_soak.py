"""A short soak with real processes: fixed seeds, and those that failed once.

The seeds determine the random choices, not the interleaving of processes. Longer soaks are started
by hand with ``hopstep-emulator soak``; docs/FINDINGS.md and docs/SOAK.md list their findings.
"""

import re
import tempfile
import unittest
from pathlib import Path

import trio

from emulator.soak.profiles import (
    CHANGES,
    CUTS,
    LIMITS,
    NOTICES,
    PARTS,
    REPEATED_IDS,
    RESTORES,
    SHORT,
    SOFTWARE_VERSIONS,
)
from emulator.soak.run import SoakPlan, run_soak

REQUEST_ID = re.compile(r"\b[0-9a-f]{16}\b")
MAX_LINES = 40
FAULT_SECONDS = 15.0
QUIET_SECONDS = 16.0
NODES = 5
RATE = 30.0
SOAKS = (
    (2, ""),
    (3, ""),
    (5, SHORT.name),
    (8, NOTICES.name),
    (9, LIMITS.name),
    (11, RESTORES.name),
    (13, CUTS.name),
    (17, SOFTWARE_VERSIONS.name),
    (80_105, PARTS.name),
    (90_105, CHANGES.name),
    (95_503, REPEATED_IDS.name),
)
"""Seeds and profiles: lost routes to the store during changes; planned work during changes;
fatal requests, later incarnations of instances, entries of other writers and suspended machines;
instances that announce in responses that they are shutting down or want backoff; instances that
announce limits; a store that is restored from backups; nodes that lose their links to instances;
instances of several software versions; parts of prompts that crash instances; limits, tenants,
keys and services that change while requests arrive in pieces; and instances whose answers come
twice, stop or never end, while callers send ids again.
"""


def print_logs(directory, violations):
    """Print the nodes' log lines about the requests that violations name: the logs aren't kept."""
    named = set(REQUEST_ID.findall(" ".join(violation.detail for violation in violations)))
    lines = (
        f"{log.stem}: {line}"
        for log in sorted(directory.glob("*.log"))
        for line in log.read_text(errors="replace").splitlines()
        if named & set(REQUEST_ID.findall(line))
    )
    for line in list(lines)[:MAX_LINES]:
        print(line, flush=True)


class SoakTest(unittest.TestCase):
    def soak(self, seed, profile):
        with tempfile.TemporaryDirectory() as directory:
            plan = SoakPlan(
                seed, FAULT_SECONDS, NODES, RATE, Path(directory), QUIET_SECONDS, profile
            )
            result = trio.run(run_soak, plan)
            if result.violations:
                print_logs(Path(directory), result.violations)
            return result

    def test_no_promise_is_broken(self):
        for seed, profile in SOAKS:
            with self.subTest(seed=seed, profile=profile):
                result = self.soak(seed, profile)
                print(
                    f"soak: seed {seed}, {result.profile}, {result.requests} requests, "
                    f"{result.route_changes} changes of routes, faults {result.faults}, "
                    f"{result.impact}, {result.streams}, "
                    f"machine stood still {result.stalls.total_seconds:.2f} s, "
                    f"{len(result.violations)} broken",
                    flush=True,
                )
                self.assertEqual(result.violations, [])
                self.assertGreater(result.requests, 500)
