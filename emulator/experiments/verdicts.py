"""Compares hopstep with its targets, set by the omniscient strategy and the best baseline."""

from __future__ import annotations

from collections.abc import Sequence

from emulator.experiments.deployments import DEPLOYMENTS
from emulator.experiments.runner import BASELINES, HOPSTEP, OMNISCIENT, Result

HIT_RATE_TARGET = 0.95
"""Lowest ratio of hopstep's hit rate to the omniscient one."""

TAIL_LATENCY_TARGET = 1.2
"""Highest ratio of hopstep's 99th percentile of the time to first token to the omniscient one."""

WASTE_TARGET = 0.5
"""Highest ratio of hopstep's wasted recomputation to the best baseline's."""

HIGHER_IS_BETTER = ("hit_rate", "goodput")


def verdicts(results: Sequence[Result]) -> str:
    """Return one line per scenario with each target's value, and whether it is met."""
    lines = ["", "hopstep against its aims (medians)"]
    for deployment, scenario in dict.fromkeys((it.deployment, it.scenario) for it in results):
        chosen = {
            result.strategy: result
            for result in results
            if (result.deployment, result.scenario) == (deployment, scenario)
        }
        if HOPSTEP in chosen and OMNISCIENT in chosen:
            lines.append(
                f"{deployment}, {scenario}: " + "; ".join(_target_verdicts(deployment, chosen))
            )
    return "\n".join(lines)


def _target_verdicts(deployment: str, chosen: dict[str, Result]) -> list[str]:
    """Return the verdict on each target in one scenario."""
    hits = _value(chosen, HOPSTEP, "hit_rate") / _value(chosen, OMNISCIENT, "hit_rate")
    tail = _value(chosen, HOPSTEP, "ttft_p99/all") / _value(chosen, OMNISCIENT, "ttft_p99/all")
    targets = [
        f"hit rate {hits:.3f} of the omniscient {_met(hits >= HIT_RATE_TARGET)}",
        f"TTFT p99 {tail:.2f} of the omniscient {_met(tail <= TAIL_LATENCY_TARGET)}",
    ]
    baselines = [name for name in BASELINES if name in chosen]
    if baselines:
        least = min(_value(chosen, name, "wasted_rate") for name in baselines)
        waste = _value(chosen, HOPSTEP, "wasted_rate") / max(least, 1e-9)
        targets.append(f"waste {waste:.2f} of the best baseline's {_met(waste <= WASTE_TARGET)}")
        targets.append(_main_measure(deployment, chosen, baselines))
    return targets


def _main_measure(deployment: str, chosen: dict[str, Result], baselines: list[str]) -> str:
    """Return the comparison with the best baseline on the deployment's main measure."""
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
    """Return the text for a met or missed target."""
    return "(met)" if met else "(MISSED)"
