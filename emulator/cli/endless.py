"""``hopstep-emulator endless``: what answers without end cost the other requests of a node.

Runs a node as a process between the emulated store and instances of which some answer without end.
Each form is measured side by side with runs in which all instances answer whole.
"""

from __future__ import annotations

import trio
from absl import flags

from emulator.endless.forms import FORMS, NONE

_FORMS = flags.DEFINE_list("forms", list(FORMS), "Forms of answers without end.")
_PAIRS = flags.DEFINE_integer("pairs", 1, "Pairs of runs for each form.", 1)
_SECONDS = flags.DEFINE_float("seconds", 8.0, "Time with requests of each run.", 1.0)


def run() -> int:
    """Run the measurements and print a line for each pair; raise ``ValueError`` for a bad form."""
    from emulator.endless.figures import Measured
    from emulator.endless.measure import measure
    from emulator.endless.setting import MeasurePlan

    unknown = sorted(set(_FORMS.value) - set(FORMS))
    if unknown:
        raise ValueError(f"--forms: unknown form {unknown[0]!r}; known: {', '.join(FORMS)}")
    plan = MeasurePlan(seconds=_SECONDS.value)

    def line(without: Measured, measured: Measured) -> str:
        ratio = measured.others_high_ms / without.others_high_ms
        return (
            f"{measured.form}: p99 {without.others_high_ms:.0f} and {measured.others_high_ms:.0f}"
            f" ms ({ratio:.2f}), peak {without.peak_mib:.1f} and {measured.peak_mib:.1f} MiB,"
            f" failed {without.failed} and {measured.failed} of {measured.sent},"
            f" others {measured.others}, load {measured.load:.1f}"
        )

    for form in _FORMS.value:
        for _ in range(_PAIRS.value):
            without = trio.run(measure, NONE, plan)
            print(line(without, trio.run(measure, form, plan)), flush=True)
    return 0
