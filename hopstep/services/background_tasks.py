"""Runs a node's background tasks, and logs the failure of any of them."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio

from hopstep.error_reports import flatten, location
from hopstep.log_events.process import TASK_FAILED
from hopstep.logs import emit
from hopstep.services.lifecycle import Lifecycle

BackgroundTask = Callable[[], Awaitable[None]]
"""Runs until it is cancelled."""


class BackgroundTasks:
    """The tasks of one node that run for as long as it does."""

    def __init__(self, lifecycle: Lifecycle) -> None:
        """Start without tasks.

        Args:
            lifecycle: Counts the requests that are active.
        """
        self._lifecycle = lifecycle

    async def run(self, tasks: tuple[BackgroundTask, ...]) -> None:
        """Run tasks until cancelled, or until one of them fails.

        Raises:
            Exception: What a task failed with, in a group.
        """
        async with trio.open_nursery() as nursery:
            for task in tasks:
                nursery.start_soon(self._run_logged, task)

    async def _run_logged(self, task: BackgroundTask) -> None:
        """Run one task; log its failure."""
        try:
            await task()
        except Exception as failure:
            for error in flatten(failure):
                emit(
                    TASK_FAILED,
                    task=_name(task),
                    error_type=type(error).__name__,
                    location=location(error),
                    active_requests=self._lifecycle.active_requests,
                )
            raise


def _name(task: BackgroundTask) -> str:
    """Return the name of the object whose method a task is."""
    return type(getattr(task, "__self__", task)).__name__
