"""``hopstep-emulator capacity``: measures slopes, and computes a node's budgets at full size."""

from __future__ import annotations

import pathlib

from absl import flags

_JSON = flags.DEFINE_string("json", "", "File for the results as JSON; empty for none.")


def run() -> int:
    """Run the measurements, print the tables and write the JSON file."""
    from emulator.capacity.budget import measure
    from emulator.capacity.fleet_size import FleetSize, NodeBudget
    from emulator.capacity.report import encode, make_report, render

    report = make_report(measure(), FleetSize(), NodeBudget())
    print(render(report))
    if _JSON.value:
        path = pathlib.Path(_JSON.value)
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_bytes(encode(report))
    return 0
