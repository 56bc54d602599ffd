"""Helpers for the roles' processes: signals, the readiness line and flag parsing."""

from __future__ import annotations

import signal
from collections.abc import Awaitable, Callable
from typing import Protocol

import trio


class Serve(Protocol):
    """Serves until shutdown; reports the bound addresses through ``task_status``."""

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
    """Serve until a signal arrives; print the bound addresses once listening.

    Args:
        serve: Server to run.
    """
    async with trio.open_nursery() as nursery:
        bound = await nursery.start(serve, wait_for_signal)
        print("listening on", *bound, flush=True)


def parse_pairs(pairs: list[str], flag: str) -> dict[str, str]:
    """Parse the ``name=value`` pairs of a list flag.

    Args:
        pairs: Items of the flag's value.
        flag: Name of the flag, for error messages.

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
