"""Runs of trio on a virtual clock whose tasks run in an order that follows from a seed."""

from __future__ import annotations

import sys
from collections.abc import Awaitable, Callable
from typing import TypeVar, TypeVarTuple

import trio
import trio.testing

Arguments = TypeVarTuple("Arguments")
Result = TypeVar("Result")


def virtual_clock() -> trio.testing.MockClock:
    """Return a clock that jumps to the next deadline as soon as all tasks wait."""
    return trio.testing.MockClock(autojump_threshold=0)


def run_in_virtual_time(
    main: Callable[[*Arguments], Awaitable[Result]],
    *arguments: *Arguments,
    seed: int = 0,
    clock: trio.testing.MockClock | None = None,
) -> Result:
    """Run ``main`` like ``trio.run``, on a virtual clock and with the order of tasks drawn.

    Without the seed each run of a test would draw another order, and with it another course.

    Args:
        main: What is run.
        arguments: Given to ``main``.
        seed: Draws the order in which tasks that are ready run.
        clock: The clock; None for one that jumps.
    """
    _seed_scheduler(seed)
    return trio.run(main, *arguments, clock=clock or virtual_clock())


def _seed_scheduler(seed: int) -> None:
    """Let trio run its tasks in an order that follows from the seed, as its test plugins do."""
    scheduler = sys.modules["trio._core._run"]
    vars(scheduler)["_ALLOW_DETERMINISTIC_SCHEDULING"] = True
    vars(scheduler)["_r"].seed(seed)
