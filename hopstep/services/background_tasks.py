"""Runs a node's background tasks; the failure of one of them stops the node as planned.

Requests that are active are answered before the process ends; new ones are refused as not run,
since what the node knows may be outdated. A task that has failed isn't started again: nobody knows
what state it left.
"""

from __future__ import annotations

import functools
from collections.abc import Awaitable, Callable

import trio

from hopstep.error_reports import flatten, location
from hopstep.log_events.process import TASK_FAILED
from hopstep.logs import emit
from hopstep.services.lifecycle import Lifecycle

BackgroundTask = Callable[[], Awaitable[None]]
"""Runs until it is cancelled, where nothing else is said."""

StartedTask = Callable[[trio.TaskStatus[None]], Awaitable[None]]
"""Runs until it is cancelled, and reports when it has started."""


class BackgroundTasks:
    """The tasks of one node that run for as long as it does."""

    def __init__(self, lifecycle: Lifecycle) -> None:
        """Start without tasks.

        Args:
            lifecycle: Counts the requests that are active, and stops the node.
        """
        self._lifecycle = lifecycle
        self._failures: list[Exception] = []

    async def run(
        self,
        tasks: tuple[BackgroundTask, ...],
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Run tasks until cancelled.

        Args:
            tasks: The tasks.
            task_status: Notified when all have been started.

        Raises:
            ExceptionGroup: What tasks failed with, once the others have been cancelled.
        """
        try:
            async with trio.open_nursery() as nursery:
                for task in tasks:
                    nursery.start_soon(self._run_task, task)
                task_status.started()
                await trio.sleep_forever()
        finally:
            if self._failures:
                raise ExceptionGroup("background tasks failed", self._failures)

    async def run_started(
        self,
        task: StartedTask,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Run one task that reports when it has started; its failure stops the node.

        Args:
            task: The task.
            task_status: Passed on to it.
        """
        await self._run_task(functools.partial(task, task_status))

    async def run_to_end(self, task: BackgroundTask) -> None:
        """Run a task on which no request depends; its failure is logged, and ``run`` raises it.

        Args:
            task: The task, which ends by itself.
        """
        try:
            await task()
        except Exception as failure:
            self._note(task, failure)

    async def _run_task(self, task: BackgroundTask) -> None:
        """Run one task; log its failure and stop the node."""
        try:
            await task()
        except Exception as failure:
            self._note(task, failure)
            self._lifecycle.stop_after_fault()

    def _note(self, task: BackgroundTask, failure: Exception) -> None:
        """Keep and log the failure of a task."""
        self._failures.append(failure)
        for error in flatten(failure):
            emit(
                TASK_FAILED,
                task=_name(task),
                error_type=type(error).__name__,
                location=location(error),
                active_requests=self._lifecycle.active_requests,
            )


def _name(task: BackgroundTask) -> str:
    """Return the name of the object whose method a task is, or that of the function."""
    method = task.func if isinstance(task, functools.partial) else task
    owner = getattr(method, "__self__", None)
    return getattr(method, "__name__", "") if owner is None else type(owner).__name__
