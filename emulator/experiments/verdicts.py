"""Compares hopstep with its aims: the omniscient strategy and the best baseline."""

from __future__ import annotations

from collections.abc import Sequence

from emulator.experiments.deployments import DEPLOYMENTS
from emulator.experiments.runner import BASELINES, HOPSTEP, OMNISCIENT, Result

HIT_RATE_AIM = 0.95
"""Share of the omniscient hit rate."""

TAIL_AIM = 1.2
"""99th percentile of the time to first token over the omniscient one."""

WASTE_AIM = 0.5
"""Wasted recomputation over the best baseline's."""

HIGHER_IS_BETTER = ("hit_rate", "goodput")


def verdicts(results: Sequence[Result]) -> str:
    """Return one line for each scenario: each aim, its figure, met or missed."""
    lines = ["", "hopstep against its aims (medians)"]
    for deployment, scenario in dict.fromkeys((it.deployment, it.scenario) for it in results):
        chosen = {
            result.strategy: result
            for result in results
            if (result.deployment, result.scenario) == (deployment, scenario)
        }
        if HOPSTEP in chosen and OMNISCIENT in chosen:
            lines.append(f"{deployment}, {scenario}: " + "; ".join(_aims(deployment, chosen)))
    return "\n".join(lines)


def _aims(deployment: str, chosen: dict[str, Result]) -> list[str]:
    """Return the verdict on each aim in one scenario."""
    hits = _value(chosen, HOPSTEP, "hit_rate") / _value(chosen, OMNISCIENT, "hit_rate")
    tail = _value(chosen, HOPSTEP, "ttft_p99/all") / _value(chosen, OMNISCIENT, "ttft_p99/all")
    aims = [
        f"hit rate {hits:.3f} of the omniscient {_met(hits >= HIT_RATE_AIM)}",
        f"TTFT p99 {tail:.2f} of the omniscient {_met(tail <= TAIL_AIM)}",
    ]
    baselines = [name for name in BASELINES if name in chosen]
    if baselines:
        least = min(_value(chosen, name, "wasted_rate") for name in baselines)
        waste = _value(chosen, HOPSTEP, "wasted_rate") / max(least, 1e-9)
        aims.append(f"waste {waste:.2f} of the best baseline's {_met(waste <= WASTE_AIM)}")
        aims.append(_main_measure(deployment, chosen, baselines))
    return aims


def _main_measure(deployment: str, chosen: dict[str, Result], baselines: list[str]) -> str:
    """Return whether a baseline is better on the deployment's main measure."""
    measure = DEPLOYMENTS[deployment]().main_measure
    sign = 1.0 if measure in HIGHER_IS_BETTER else -1.0
    best = max(baselines, key=lambda name: sign * _value(chosen, name, measure))
    own = _value(chosen, HOPSTEP, measure)
    other = _value(chosen, best, measure)
    verdict = _met(sign * own >= sign * other)
    return f"{measure} {own:.3f}, best baseline {other:.3f} ({best}) {verdict}"


def _value(chosen: dict[str, Result], strategy: str, measure: str) -> float:
    """Return the median of a measure."""
    return chosen[strategy].measures[measure].median


def _met(met: bool) -> str:
    """Return how an aim stands."""
    return "(met)" if met else "(MISSED)"
