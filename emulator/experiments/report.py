"""Renders experiment results as text tables, JSON and an HTML page with plots."""

from __future__ import annotations

import base64
import html
from collections.abc import Sequence
from pathlib import Path

import msgspec

from emulator.experiments.plots import plot_measure
from emulator.experiments.runner import Result

COLUMNS = (
    ("hit_rate", "hit rate"),
    ("import_rate", "imported"),
    ("wasted_rate", "wasted"),
    ("ttft_p50/all", "TTFT p50"),
    ("ttft_p95/all", "TTFT p95"),
    ("ttft_p99/all", "TTFT p99"),
    ("goodput", "goodput"),
    ("refused_rate", "refused"),
    ("attempts_per_request", "attempts"),
)
"""Measures in the table, with their column headings."""

PLOTS = (
    ("hit_rate", "Prefix hit rate"),
    ("wasted_rate", "Wasted recomputation"),
    ("ttft_p99/all", "Time to first token, p99 (s)"),
    ("goodput", "Goodput"),
)
"""Plotted measures, with their titles."""

STRATEGY_WIDTH = 24
COLUMN_WIDTH = 21


def terminal_table(results: Sequence[Result]) -> str:
    """Return a table of medians with the lowest and highest value over the seeds."""
    lines: list[str] = []
    group = ("", "")
    for result in results:
        if (result.deployment, result.scenario) != group:
            group = (result.deployment, result.scenario)
            headings = "".join(heading.rjust(COLUMN_WIDTH) for _, heading in COLUMNS)
            lines += ["", f"{group[0]}, {group[1]}", "strategy".ljust(STRATEGY_WIDTH) + headings]
        cells = "".join(_cell(result, name).rjust(COLUMN_WIDTH) for name, _ in COLUMNS)
        lines.append(result.strategy.ljust(STRATEGY_WIDTH) + cells)
    return "\n".join(lines)


def class_table(results: Sequence[Result], strategies: Sequence[str]) -> str:
    """Return the 99th percentile of the time to first token by class, for given strategies."""
    lines = ["", "TTFT p99 by class, in seconds (median over the seeds)"]
    for result in results:
        if result.strategy not in strategies:
            continue
        classes = [name for name in result.measures if name.startswith("ttft_p99/")]
        values = ", ".join(
            f"{name.removeprefix('ttft_p99/')} {result.measures[name].median:.3f}"
            for name in classes
        )
        lines.append(f"{result.deployment}, {result.scenario}, {result.strategy}: {values}")
    return "\n".join(lines)


def write_json(results: Sequence[Result], seeds: Sequence[int], path: Path) -> None:
    """Write all results and their seeds."""
    document = {"seeds": list(seeds), "results": list(results)}
    path.write_bytes(msgspec.json.format(msgspec.json.encode(document), indent=2))


def write_page(results: Sequence[Result], seeds: Sequence[int], path: Path) -> None:
    """Write a self-contained HTML page with the tables and the plots."""
    parts = [
        "<!doctype html><meta charset='utf-8'><title>hopstep experiments</title>",
        "<h1>Routing experiments</h1>",
        f"<p>Seeds {', '.join(map(str, seeds))}; median [lowest, highest].</p>",
    ]
    for deployment in dict.fromkeys(result.deployment for result in results):
        chosen = [result for result in results if result.deployment == deployment]
        parts.append(f"<h2>{html.escape(deployment)}</h2>")
        for name, title in PLOTS:
            image = base64.b64encode(plot_measure(chosen, name, title)).decode()
            parts.append(f"<img alt='{html.escape(title)}' src='data:image/png;base64,{image}'>")
        parts.append(f"<pre>{html.escape(terminal_table(chosen))}</pre>")
    path.write_text("\n".join(parts), encoding="utf-8")


def _cell(result: Result, name: str) -> str:
    """Return the text of one table cell."""
    spread = result.measures.get(name)
    if spread is None:
        return "-"
    return f"{spread.median:.3f} [{spread.lowest:.3f},{spread.highest:.3f}]"
