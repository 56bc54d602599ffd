"""``hopstep-emulator scale``: measures the membership of many hollow nodes in one process."""

from __future__ import annotations

import sys

from absl import flags

_NODES = flags.DEFINE_list("nodes", [], "Cluster sizes, with commas; empty for the default ones.")
_SEED = flags.DEFINE_integer("seed", 1, "Seed of all random draws.")


def run() -> int:
    """Run the measurements and print them."""
    from emulator.scale import DEFAULT_NODES, run_scale
    from emulator.scale_report import render_table

    nodes = [int(each) for each in _NODES.value] or DEFAULT_NODES
    report = run_scale(nodes, _SEED.value, progress=lambda line: print(line, file=sys.stderr))
    print(render_table(report))
    return 0
