"""Runs trio on a virtual clock, with a task order that is determined by a seed."""

from __future__ import annotations

import sys
from collections.abc import Awaitable, Callable
from typing import TypeVar, TypeVarTuple

import trio
import trio.testing

Arguments = TypeVarTuple("Arguments")
Result = TypeVar("Result")


def virtual_clock() -> trio.testing.MockClock:
    """Return a clock that jumps to the next deadline when all tasks are blocked."""
    return trio.testing.MockClock(autojump_threshold=0)


def run_in_virtual_time(
    main: Callable[[*Arguments], Awaitable[Result]],
    *arguments: *Arguments,
    seed: int = 0,
    clock: trio.testing.MockClock | None = None,
) -> Result:
    """Run ``main`` like ``trio.run``, on a virtual clock and with a seeded task order.

    Without the seed, each run of a test would use another task order and take another course.

    Args:
        main: Async function to run.
        arguments: Arguments of ``main``.
        seed: Seed of the order in which ready tasks run.
        clock: Clock to use; None for one that jumps, as ``virtual_clock`` makes it.
    """
    _seed_scheduler(seed)
    return trio.run(main, *arguments, clock=clock or virtual_clock())


def _seed_scheduler(seed: int) -> None:
    """Make trio's task order follow from the seed, as trio's test plugins do."""
    scheduler = sys.modules["trio._core._run"]
    vars(scheduler)["_ALLOW_DETERMINISTIC_SCHEDULING"] = True
    vars(scheduler)["_r"].seed(seed)
