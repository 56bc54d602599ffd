"""``hopstep-emulator endless``: what answers without end cost the other requests of a node.

Runs a node as a process between the emulated store and instances of which some answer without end.
Each form is measured side by side with runs in which all instances answer whole.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING

import trio
from absl import flags

from emulator.endless.forms import FORMS, NONE

if TYPE_CHECKING:
    from emulator.endless.figures import Pair

_FORMS = flags.DEFINE_list("forms", list(FORMS), "Forms of answers without end.")
_PAIRS = flags.DEFINE_integer("pairs", 1, "Pairs of runs for each form.", 1)
_SECONDS = flags.DEFINE_float("seconds", 8.0, "Time with requests of each run.", 1.0)


def run() -> int:
    """Run the measurements and print a line for each pair; raise ``ValueError`` for a bad form."""
    from emulator.endless.figures import Pair
    from emulator.endless.measure import measure
    from emulator.endless.setting import MeasurePlan

    unknown = sorted(set(_FORMS.value) - set(FORMS))
    if unknown:
        raise ValueError(f"--forms: unknown form {unknown[0]!r}; known: {', '.join(FORMS)}")
    plan = MeasurePlan(seconds=_SECONDS.value)
    every: list[Pair] = []
    for form in _FORMS.value:
        pairs: list[Pair] = []
        for _ in range(_PAIRS.value):
            without = trio.run(measure, NONE, plan)
            pairs.append(Pair(without, trio.run(measure, form, plan)))
            print(_pair_line(pairs[-1]), flush=True)
        print(_pooled_line(form, pairs), flush=True)
        every += pairs
    print(_pooled_line("all forms", every), flush=True)
    return 0


def _pair_line(pair: Pair) -> str:
    """Return the line of one pair."""
    without, measured = pair.without, pair.measured
    ratio = measured.others_high_ms / without.others_high_ms
    return (
        f"{measured.form}: p99 {without.others_high_ms:.0f} and {measured.others_high_ms:.0f}"
        f" ms ({ratio:.2f}), peak {without.peak_mib:.1f} and {measured.peak_mib:.1f} MiB,"
        f" failed {without.failed} and {measured.failed} of {measured.sent},"
        f" others {measured.others}, load {measured.load:.1f}"
    )


def _pooled_line(name: str, pairs: Sequence[Pair]) -> str:
    """Return the line of the requests of several pairs together."""
    from emulator.endless.figures import pooled_high_ms

    without = pooled_high_ms(pair.without for pair in pairs)
    measured = pooled_high_ms(pair.measured for pair in pairs)
    return (
        f"{name}, {len(pairs)} pairs together: p99 {without:.0f} and {measured:.0f} ms"
        f" ({measured / without:.2f})"
    )
