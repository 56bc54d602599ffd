"""``hopstep-emulator soak``: runs real nodes as processes under random faults.

Starts some nodes, a store and instances on loopback, each behind proxies. The seed determines
the faults; callers record what they observe. Exit code 1 when a guarantee was violated.
"""

from __future__ import annotations

import tempfile
from pathlib import Path

import trio
from absl import flags

from emulator.soak.run import SoakPlan, SoakResult, run_soak

MAX_NODES = 64
"""Limit on ``--nodes``; a node takes some 35 MB and, with traffic, a twentieth of a core."""

_SEED = flags.DEFINE_integer("seed", 1, "Seed of the first soak.", 0)
_RUNS = flags.DEFINE_integer("runs", 1, "Soaks, one after the other, with rising seeds.", 1)
_SECONDS = flags.DEFINE_float("seconds", 60.0, "Time with faults of each soak.", 1.0)
_NODES = flags.DEFINE_integer("nodes", 6, "Nodes.", 1, MAX_NODES)
_RATE = flags.DEFINE_float("rate", 40.0, "Requests a second.", 1.0)
_PROFILE = flags.DEFINE_string("profile", "", "Profile of faults; the seed's by default.")
_OTHER_BUILD = flags.DEFINE_string(
    "other_build",
    None,
    "Root of a checkout of another version of hopstep, made from this repository's history. All "
    "nodes start on it; the profile 'versions side by side' replaces them.",
)
_DIRECTORY = flags.DEFINE_string(
    "directory", None, "Where settings and logs of the nodes are kept; a temporary one by default."
)


def run() -> int:
    """Run the soaks; return 1 when a guarantee was violated."""
    violation_count = 0
    for seed in range(_SEED.value, _SEED.value + _RUNS.value):
        with tempfile.TemporaryDirectory() as temporary:
            directory = Path(_DIRECTORY.value or temporary) / f"soak-{seed}"
            directory.mkdir(parents=True, exist_ok=True)
            plan = SoakPlan(
                seed,
                _SECONDS.value,
                _NODES.value,
                _RATE.value,
                directory,
                profile=_PROFILE.value,
                other_build=Path(_OTHER_BUILD.value) if _OTHER_BUILD.value else None,
            )
            violation_count += _report(seed, trio.run(run_soak, plan))
    return 1 if violation_count else 0


def _report(seed: int, result: SoakResult) -> int:
    """Print the result of a soak and return the number of violations."""
    stalls = result.stalls
    print(f"soak: seed {seed}, {result.profile}, {result.requests} requests, {result.statuses}")
    print(f"soak: {result.route_changes} changes of routes, faults {result.faults}")
    print(f"soak: {result.impact}")
    if result.streams.streams:
        print(f"soak: {result.streams}")
    if result.answer_faults:
        print(f"soak: faults of answers {result.answer_faults}")
    print(
        f"soak: the machine stood still {stalls.count} times, {stalls.total_seconds:.2f} s in all, "
        f"{stalls.longest_seconds:.2f} s at the longest"
    )
    print(
        f"soak: load {result.load.average:.1f}, "
        f"{result.load.stolen_share:.1%} of the processor time stolen (negative: unknown)"
    )
    for violation in result.violations:
        print(f"soak: BROKEN {violation.promise}: {violation.detail}")
    print(f"soak: seed {seed}, {len(result.violations)} broken", flush=True)
    return len(result.violations)
