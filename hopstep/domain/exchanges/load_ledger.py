"""Load of other nodes at instances, summed over the recent reports of nodes."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

REPORT_SECONDS = 1.0
"""Time after which a node's report is dropped."""


class InstanceLoad(msgspec.Struct, frozen=True, array_like=True):
    """Requests of one or more nodes at an instance.

    Attributes:
        incarnation: The instance's incarnation, as ``str(InstanceIncarnation)``.
        active: Requests in progress.
        pending_tokens: Prompt tokens still to be prefilled.
        avoided_by: Nodes that send it nothing now, because it failed or is full.
        read_ms: Observed times of recent prefills, in milliseconds.
        expected_read_ms: Expected times of the same prefills; see ``ReadSums``.
        used_tokens: Memory of the requests in progress, in tokens.
    """

    incarnation: str = msgspec.field(name="life")
    active: int = 0
    pending_tokens: int = 0
    avoided_by: int = 0
    read_ms: int = 0
    expected_read_ms: int = 0
    used_tokens: int = 0

    def plus(self, other: InstanceLoad, sign: int = 1) -> InstanceLoad:
        """Return the sum with another load of the same instance, or the difference for -1."""
        return InstanceLoad(
            self.incarnation,
            self.active + sign * other.active,
            self.pending_tokens + sign * other.pending_tokens,
            self.avoided_by + sign * other.avoided_by,
            self.read_ms + sign * other.read_ms,
            self.expected_read_ms + sign * other.expected_read_ms,
            self.used_tokens + sign * other.used_tokens,
        )

    def without_details(self) -> InstanceLoad:
        """Return the load without memory and speed."""
        return InstanceLoad(self.incarnation, self.active, self.pending_tokens, self.avoided_by)

    @property
    def is_idle(self) -> bool:
        """Whether it has no requests and nobody avoids it; its speed may be known."""
        return not (self.active or self.pending_tokens or self.avoided_by or self.used_tokens)

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing to report."""
        return self.is_idle and not (self.read_ms or self.expected_read_ms)


Loads = dict[str, InstanceLoad]

MAX_DETAILED_LOADS = 500
"""Most loads of one message with memory and speed: some 11 kB, compressed."""

MAX_LOADS = 3_000
"""Most loads of one message: some 45 kB, compressed, which leaves space for the rest of it."""


def reportable(loads: Iterable[InstanceLoad]) -> tuple[InstanceLoad, ...]:
    """Return the loads that a message reports; of too many, those with the most requests."""
    known = tuple(loads)
    if len(known) <= MAX_DETAILED_LOADS:
        return known
    ranked = sorted(known, key=lambda load: (load.is_idle, -load.active, -load.expected_read_ms))
    others = ranked[MAX_DETAILED_LOADS:MAX_LOADS]
    plain = (load.without_details() for load in others if not load.is_idle)
    return (*ranked[:MAX_DETAILED_LOADS], *plain)


class _Report(msgspec.Struct, frozen=True):
    loads: tuple[InstanceLoad, ...]
    at: float


class LoadLedger:
    """Reports by node, and their sum."""

    def __init__(self) -> None:
        """Start without reports."""
        self._reports: dict[str, _Report] = {}
        self._totals: Loads = {}

    def report(self, node: str, loads: tuple[InstanceLoad, ...], now: float) -> None:
        """Replace a node's report.

        Args:
            node: The node.
            loads: Its loads; instances that aren't named have none.
            now: Steady clock, seconds.
        """
        self._withdraw(node)
        self._reports[node] = _Report(loads, now)
        self._add(loads, 1)

    def add(self, node: str, load: InstanceLoad, now: float) -> None:
        """Add a load that isn't in a node's last report yet.

        Args:
            node: The node.
            load: Load that was added since the report.
            now: Steady clock, seconds.
        """
        known = self._reports.get(node)
        loads = (*known.loads, load) if known is not None else (load,)
        self._reports[node] = _Report(loads, known.at if known is not None else now)
        self._add((load,), 1)

    def nodes(self, now: float) -> list[str]:
        """Return the nodes with recent reports."""
        self._forget(now)
        return list(self._reports)

    def total(self, incarnation: str) -> InstanceLoad:
        """Return the sum for one instance."""
        return self._totals.get(incarnation, InstanceLoad(incarnation))

    def totals(self, now: float, without: str = "") -> Loads:
        """Return the sums over recent reports.

        Args:
            now: Steady clock, seconds.
            without: A node whose report is left out.
        """
        self._forget(now)
        totals = dict(self._totals)
        left_out = self._reports.get(without)
        if left_out is not None:
            add_loads(totals, left_out.loads, -1)
        return totals

    def _forget(self, now: float) -> None:
        """Withdraw reports that are too old."""
        old = [n for n, report in self._reports.items() if now - report.at > REPORT_SECONDS]
        for node in old:
            self._withdraw(node)

    def _withdraw(self, node: str) -> None:
        """Remove a node's report and its loads from the sums."""
        report = self._reports.pop(node, None)
        if report is not None:
            self._add(report.loads, -1)

    def _add(self, loads: tuple[InstanceLoad, ...], sign: int) -> None:
        """Add loads to the sums, or subtract them."""
        add_loads(self._totals, loads, sign)


def add_loads(totals: Loads, loads: Iterable[InstanceLoad], sign: int = 1) -> None:
    """Add loads to sums, or subtract them for -1; empty sums are dropped."""
    for load in loads:
        known = totals.get(load.incarnation)
        total = load if known is None and sign > 0 else _sum(known, load, sign)
        if total.is_empty:
            totals.pop(load.incarnation, None)
        else:
            totals[load.incarnation] = total


def _sum(known: InstanceLoad | None, load: InstanceLoad, sign: int) -> InstanceLoad:
    """Return a sum; an instance without a load counts as zero."""
    return (known or InstanceLoad(load.incarnation)).plus(load, sign)
