"""Renders the recovery report as a text table and as JSON."""

from __future__ import annotations

import msgspec

from emulator.recovery.measures import RefusalMeasures, SpanMeasures
from emulator.recovery.results import (
    EventResult,
    OverloadResult,
    RecoveryTimes,
    SeedResult,
    StoreOutageResult,
)
from emulator.recovery.scenarios import Plan

LABEL_WIDTH = 44
CELL_WIDTH = 12

Row = tuple[str, str]


class Report(msgspec.Struct, frozen=True):
    """Report of one command.

    Attributes:
        plan: Durations and loads of the scenarios.
        seeds: Results of each seed.
    """

    plan: Plan
    seeds: tuple[SeedResult, ...]


def render(report: Report) -> str:
    """Return a table with a row per measure and a column per seed."""
    columns = [_rows(result) for result in report.seeds]
    headings = "".join(f"seed {result.seed}".rjust(CELL_WIDTH) for result in report.seeds)
    lines = ["measure".ljust(LABEL_WIDTH) + headings]
    for rows in zip(*columns, strict=True):
        cells = "".join(cell.rjust(CELL_WIDTH) for _, cell in rows)
        lines.append(rows[0][0].ljust(LABEL_WIDTH) + cells)
    return "\n".join(lines)


def encode(report: Report) -> bytes:
    """Return the report as JSON."""
    return msgspec.json.format(msgspec.json.encode(report))


def _rows(result: SeedResult) -> list[Row]:
    """Return the labels and values of the scenarios that ran."""
    rows: list[Row] = []
    if result.overload is not None:
        rows += _overload_rows(result.overload)
    events = (
        ("calm", result.calm),
        ("herd restart", result.herd_restart),
        ("engine loss", result.engine_loss),
    )
    for name, event in events:
        if event is not None:
            rows += _event_rows(name, event)
    if result.store_outage is not None:
        rows += _outage_rows(result.store_outage)
    return rows


def _overload_rows(result: OverloadResult) -> list[Row]:
    rows = [
        ("capacity (answers/s)", f"{result.capacity:.2f}"),
        *_span_rows("overload: before", result.steady),
        *_span_rows("overload: meanwhile", result.overload),
        ("overload: goodput over best", f"{result.goodput_over_best:.3f}"),
        *_refusal_rows("overload: refusals", result.refusals),
        ("overload: attempts over first", f"{result.attempts_over_first:.3f}"),
    ]
    for impact in result.tenants:
        rows += _span_rows(f"overload: {impact.tenant} before", impact.steady)
        rows += _span_rows(f"overload: {impact.tenant} meanwhile", impact.overload)
    return rows + _recovery_rows("overload", result.recovery)


def _event_rows(name: str, result: EventResult) -> list[Row]:
    return [
        *_span_rows(f"{name}: steady", result.steady),
        *_span_rows(f"{name}: after", result.after),
        (f"{name}: attempts over first", f"{result.attempts_over_first:.3f}"),
        *_recovery_rows(name, result.recovery),
    ]


def _outage_rows(result: StoreOutageResult) -> list[Row]:
    name = "store outage"
    served = _seconds(result.first_served_seconds)
    return [
        *_refusal_rows(f"{name}: refusals", result.refusals),
        (f"{name}: return to first token (s)", served),
        *_recovery_rows(name, result.recovery),
    ]


def _span_rows(name: str, span: SpanMeasures) -> list[Row]:
    return [
        (f"{name}, goodput (/s)", f"{span.goodput:.2f}"),
        (f"{name}, hit rate", f"{span.hit_rate:.3f}"),
        (f"{name}, TTFT p50 (s)", f"{span.ttft_p50:.2f}"),
        (f"{name}, TTFT p99 (s)", f"{span.ttft_p99:.2f}"),
        (f"{name}, refused", str(span.refused)),
        (f"{name}, broken", str(span.broken)),
    ]


def _refusal_rows(name: str, refusals: RefusalMeasures) -> list[Row]:
    return [
        (name, str(refusals.count)),
        (f"{name}, p50 (s)", f"{refusals.p50_seconds:.2f}"),
        (f"{name}, longest (s)", f"{refusals.max_seconds:.2f}"),
        (f"{name}, not immediate", str(refusals.late)),
        (f"{name}, no Retry-After", str(refusals.without_retry_after)),
        (f"{name}, not run", str(refusals.not_run)),
    ]


def _recovery_rows(name: str, times: RecoveryTimes) -> list[Row]:
    return [
        (f"{name}: goodput recovers (s)", _seconds(times.goodput)),
        (f"{name}: hit rate recovers (s)", _seconds(times.hit_rate)),
        (f"{name}: TTFT p99 recovers (s)", _seconds(times.ttft_p99)),
    ]


def _seconds(seconds: float | None) -> str:
    """Return a time as text; None means that it wasn't reached during the run."""
    return "not in run" if seconds is None else f"{seconds:.1f}"
