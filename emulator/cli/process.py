"""What the roles' processes share: flags' checks, signals, the line that says ready."""

from __future__ import annotations

import signal
from collections.abc import Awaitable, Callable
from typing import Protocol

import trio


class Serve(Protocol):
    """Serves until a shutdown; ``started`` takes the bound addresses."""

    def __call__(
        self,
        wait_shutdown: Callable[[], Awaitable[None]],
        *,
        task_status: trio.TaskStatus[list[str]],
    ) -> Awaitable[None]:
        """Serve until ``wait_shutdown`` returns."""


async def wait_for_signal() -> None:
    """Return at the first SIGTERM or SIGINT."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as received:
        async for _ in received:
            return


async def serve_until_signal(serve: Serve) -> None:
    """Serve until a signal comes; print the bound addresses once open.

    Args:
        serve: Server of the role.
    """
    async with trio.open_nursery() as nursery:
        bound = await nursery.start(serve, wait_for_signal)
        print("listening on", *bound, flush=True)


def parse_pairs(pairs: list[str], flag: str) -> dict[str, str]:
    """Return ``name=value`` pairs of a list flag.

    Args:
        pairs: Values of the flag.
        flag: Name of the flag, for errors.

    Raises:
        ValueError: When a pair has no ``=``.
    """
    parsed: dict[str, str] = {}
    for pair in pairs:
        name, separator, value = pair.partition("=")
        if not separator or not name or not value:
            raise ValueError(f"--{flag}: expected name=value, got {pair!r}")
        parsed[name] = value
    return parsed
