"""Fits straight lines to measurements at several sizes."""

from __future__ import annotations

import gc
import time
import tracemalloc
from collections.abc import Callable, Sequence

import msgspec
import numpy

MINIMUM_SECONDS = 0.05
"""Shortest processor time of the repeated calls of one reading."""

READINGS = 5
"""Readings per measurement of a time; the median reduces noise."""


class Slope(msgspec.Struct, frozen=True):
    """A measured quantity as a linear function of a size.

    Attributes:
        mechanism: Name of the measured mechanism.
        size_unit: Unit of the size, such as ``tenant``.
        value_unit: Unit of the value, such as ``byte`` or ``second``.
        sizes: Sizes at which it was measured.
        values: Measured value at each size.
        per_unit: Slope of the least-squares line.
        fixed: Value of the line at size 0; may be slightly negative.
    """

    mechanism: str
    size_unit: str
    value_unit: str
    sizes: tuple[int, ...]
    values: tuple[float, ...]
    per_unit: float
    fixed: float

    def at(self, size: float) -> float:
        """Return the line's value at ``size``."""
        return self.fixed + self.per_unit * size


def fit(
    mechanism: str,
    size_unit: str,
    value_unit: str,
    sizes: Sequence[int],
    measure: Callable[[int], float],
) -> Slope:
    """Measure at each size and fit a line.

    Args:
        mechanism: Name of the measured mechanism.
        size_unit: Unit of the size.
        value_unit: Unit of the value.
        sizes: At least two sizes.
        measure: Returns the value at a size.
    """
    values = tuple(measure(size) for size in sizes)
    per_unit, fixed = numpy.polyfit(sizes, values, 1)
    return Slope(
        mechanism, size_unit, value_unit, tuple(sizes), values, float(per_unit), float(fixed)
    )


def seconds_per_call(call: Callable[[], object]) -> float:
    """Return the median processor time of one call, in seconds."""
    repeats = _repeats(call)
    readings = [_process_seconds(call, repeats) / repeats for _ in range(READINGS)]
    return float(numpy.median(readings))


def bytes_held(build: Callable[[], object]) -> float:
    """Return the bytes that the object made by ``build`` holds, as Python allocates them."""
    gc.collect()
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        held = build()
        gc.collect()
        after, _ = tracemalloc.get_traced_memory()
        del held
    finally:
        tracemalloc.stop()
    return float(after - before)


def _repeats(call: Callable[[], object]) -> int:
    """Return a number of calls that takes at least ``MINIMUM_SECONDS``."""
    repeats = 1
    while (spent := _process_seconds(call, repeats)) < MINIMUM_SECONDS:
        growth = MINIMUM_SECONDS / max(spent, 1e-6)
        repeats = max(repeats * 2, int(repeats * min(growth, 100.0)))
    return repeats


def _process_seconds(call: Callable[[], object], repeats: int) -> float:
    """Return the processor time of ``repeats`` calls in seconds."""
    started = time.process_time()
    for _ in range(repeats):
        call()
    return time.process_time() - started
