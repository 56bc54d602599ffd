"""Shared helpers for the tests of the cluster simulation."""

import contextlib
import unittest
from unittest import mock

import trio

from emulator.simulation.callers import Crowd, Mix
from emulator.simulation.cluster import run_simulation
from emulator.simulation.history import Call, Outcome
from emulator.simulation.oracle import violations

LOAD_SECONDS = 4.0
FAULT_AFTER_SECONDS = 1.0
SEEDS = tuple(range(1, 9))
STEADY = Mix(leave_share=0.0, once_share=0.0)
PROMPT = "a prompt that is long enough for several blocks of the prefix cache, " * 8


def call(tenant="anywhere", request_class="batch", text="", max_tokens=20, key=""):
    return Call(tenant, request_class, PROMPT + text, max_tokens, key)


async def under_load(cluster, *faults, seconds=LOAD_SECONDS, seed=7, mix=None):
    """Run faults together while a crowd of callers sends requests."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(Crowd(cluster, seed, mix).run, seconds)
        await trio.sleep(FAULT_AFTER_SECONDS)
        for fault in faults:
            nursery.start_soon(fault, cluster)


def alone_and_in_pairs(faults):
    """Return the combinations of faults: each one alone, and pairs of two."""
    names = list(faults)
    partners = names[1::2] + names[:1]
    return [(name,) for name in names] + list(zip(names[::2], partners, strict=False))


class SimulationTest(unittest.TestCase):
    maxDiff = None

    def run_clean(self, body, **options):
        """Run a simulation in which the oracle must find no violation."""
        cluster = run_simulation(body, **options)
        self.assertEqual(violations(cluster), [])
        return cluster

    def assert_caught(self, kind, body, *variants, **options):
        """Run with wrong variants of the code; the oracle must report a violation."""
        with contextlib.ExitStack() as stack:
            for variant in variants:
                stack.enter_context(mock.patch.object(*variant))
            found = violations(run_simulation(body, **options))
        self.assertTrue(any(item.startswith(kind) for item in found), f"{kind}: {found}")

    def assert_caught_by_some_seed(self, kind, body, variant):
        """Run with a wrong variant until the oracle reports a violation.

        Whether one run shows it depends on the random choice of engines. At the seed that shows it,
        the unchanged code must have no violation.
        """
        for seed in SEEDS:
            with mock.patch.object(*variant):
                found = violations(run_simulation(body, seed=seed))
            if any(item.startswith(kind) for item in found):
                self.run_clean(body, seed=seed)
                return
        self.fail(f"no seed of {SEEDS} shows {kind}")

    def assert_all_complete(self, cluster, *outcomes):
        """Check that every request was completed, or refused as not run."""
        for answer in cluster.history.answers:
            if answer.outcome not in (Outcome.COMPLETE, *outcomes):
                self.assertTrue(answer.reports_not_run, answer)
