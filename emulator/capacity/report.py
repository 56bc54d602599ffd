"""Renders the measured slopes and the budgets as Markdown and JSON."""

from __future__ import annotations

import msgspec

from emulator.capacity.budget import (
    BudgetTable,
    Measured,
    memory_table,
    network_table,
    processor_table,
)
from emulator.capacity.fleet_size import FleetSize, NodeBudget


class CapacityReport(msgspec.Struct, frozen=True):
    """Report of ``hopstep-emulator capacity``."""

    size: FleetSize
    budget: NodeBudget
    measured: Measured
    tables: tuple[BudgetTable, ...]


def make_report(measured: Measured, size: FleetSize, budget: NodeBudget) -> CapacityReport:
    """Return a report with one node's budgets at a fleet size."""
    tables = (
        memory_table(measured, size, budget),
        processor_table(measured, size, budget),
        network_table(measured, size, budget),
    )
    return CapacityReport(size, budget, measured, tables)


def render(report: CapacityReport) -> str:
    """Return the report as Markdown tables."""
    blocks = [_slopes(report.measured)]
    blocks += [_table(table) for table in report.tables]
    return "\n\n".join(blocks)


def _slopes(measured: Measured) -> str:
    lines = ["| mechanism | per unit | fixed | sizes measured |", "| --- | --- | --- | --- |"]
    for slope in measured.slopes.values():
        per_unit = _quantity(slope.per_unit, slope.value_unit)
        fixed = _quantity(slope.fixed, slope.value_unit)
        sizes = ", ".join(f"{size:,}" for size in slope.sizes)
        lines.append(f"| {slope.mechanism} | {per_unit} a {slope.size_unit} | {fixed} | {sizes} |")
    probe = measured.probe
    lines.append(f"| reading one engine's facts | {_quantity(probe.seconds, 'second')} | | |")
    return "\n".join(lines)


def _table(table: BudgetTable) -> str:
    lines = [f"| {table.resource} | {table.unit} | worked out from |", "| --- | --- | --- |"]
    lines += [f"| {row.mechanism} | {row.amount:,.2f} | {row.basis} |" for row in table.rows]
    verdict = "within" if table.total <= table.limit else "**broken**:"
    lines.append(f"| **total** | **{table.total:,.2f}** | {verdict} {table.limit:,.1f} |")
    return "\n".join(lines)


def _quantity(value: float, unit: str) -> str:
    """Return a value with its unit, seconds as microseconds."""
    if unit == "second":
        return f"{value * 1e6:,.2f} µs"
    return f"{value:,.1f} bytes"


def encode(report: CapacityReport) -> bytes:
    """Return the report as indented JSON."""
    return msgspec.json.format(msgspec.json.encode(report), indent=2)
