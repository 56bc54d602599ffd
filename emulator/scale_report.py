"""Renders the report of a scale run as text tables and JSON."""

from __future__ import annotations

import msgspec

from emulator.scale import ScaleReport

_SIZE_COLUMNS = (
    ("nodes", "nodes"),
    ("revision s", "revision_seconds"),
    ("leaving s", "leaving_seconds"),
    ("restart s", "restart_seconds"),
    ("failure s", "failure_seconds"),
    ("planned stop s", "planned_stop_seconds"),
    ("churn", "churn_events"),
    ("bytes/s", "bytes_per_second"),
    ("max bytes/s", "max_bytes_per_second"),
    ("cpu %", "cpu_percent"),
    ("memory bytes", "memory_bytes"),
)
_HERD_COLUMNS = (
    ("nodes", "nodes"),
    ("nine tenths s", "most_seconds"),
    ("all s", "all_seconds"),
    ("bytes/s", "bytes_per_second"),
)
_CUT_COLUMNS = (
    ("nodes", "nodes"),
    ("cut nodes", "cut_nodes"),
    ("cut s", "cut_seconds"),
    ("isolated after s", "isolated_seconds"),
    ("wrongly isolated", "wrongly_isolated"),
    ("healed after s", "heal_seconds"),
    ("bytes/s", "bytes_per_second"),
    ("bytes/s in healing", "heal_bytes_per_second"),
)

Columns = tuple[tuple[str, str], ...]


def render_table(report: ScaleReport) -> str:
    """Return the measures as text tables."""
    parts = [
        f"Under churn, seed {report.seed}",
        _table(_SIZE_COLUMNS, report.sizes),
        "",
        "All nodes start at once",
        _table(_HERD_COLUMNS, report.herds),
    ]
    if report.cut is not None:
        parts += ["", "One region cut off", _table(_CUT_COLUMNS, (report.cut,))]
    return "\n".join(parts)


def render_json(report: ScaleReport) -> bytes:
    """Return the measures as JSON."""
    return msgspec.json.format(msgspec.json.encode(report), indent=2)


def _table(columns: Columns, rows: tuple[msgspec.Struct, ...]) -> str:
    titles = [title for title, _ in columns]
    lines = [titles]
    lines += [[str(getattr(row, field)) for _, field in columns] for row in rows]
    widths = [max(len(line[index]) for line in lines) for index in range(len(columns))]
    return "\n".join(_align(line, widths) for line in lines)


def _align(cells: list[str], widths: list[int]) -> str:
    return "  ".join(cell.rjust(width) for cell, width in zip(cells, widths, strict=True))
