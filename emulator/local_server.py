"""Serves an application of this process on a loopback address."""

from __future__ import annotations

import hypercorn
import hypercorn.trio
import trio
from hypercorn.typing import Framework


async def serve(
    app: Framework,
    address: str,
    *,
    task_status: trio.TaskStatus[list[str]] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve an application until cancelled."""
    config = hypercorn.Config()
    config.bind = [address]
    config.loglevel = "CRITICAL"
    config.accesslog = None
    config.errorlog = None
    await hypercorn.trio.serve(app, config, task_status=task_status, mode="asgi")


async def serve_in_scope(
    app: Framework,
    address: str,
    *,
    task_status: trio.TaskStatus[trio.CancelScope] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve until the scope, which is the started value, is cancelled."""
    with trio.CancelScope() as scope:
        async with trio.open_nursery() as nursery:
            await nursery.start(serve, app, address)
            task_status.started(scope)
            await trio.sleep_forever()
