"""Hedging: a second attempt for a slow first token; the first one to answer goes on alone."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio

from hopstep.ports.engine import TokenFrame
from hopstep.services.requests.attempt import Attempt
from hopstep.services.requests.attempt_runner import Deliver

RunAttempt = Callable[[Attempt, Deliver], Awaitable[None]]
StartSecond = Callable[[Attempt], Awaitable[Attempt | None]]
"""Returns a second attempt in addition to the given one, or None when none is to be made."""


class HedgedRace:
    """Runs a first attempt and, when it is slow, a second one concurrently.

    Args:
        run: Dispatches an attempt.
        deliver: Takes the frames of the attempt that won.
        hedge_after: Wait for a first token before the second attempt, in seconds.
        start_second: Prepares the second attempt.
    """

    def __init__(
        self, run: RunAttempt, deliver: Deliver, hedge_after: float, start_second: StartSecond
    ) -> None:
        self._run = run
        self._deliver = deliver
        self._hedge_after = hedge_after
        self._start_second = start_second
        self._winner: Attempt | None = None
        self._scopes: dict[str, trio.CancelScope] = {}
        self._settled = trio.Event()

    async def race(self, first: Attempt) -> tuple[Attempt, Attempt | None]:
        """Run until the winner ends, or both when neither answers.

        Returns:
            The attempt to go on with, and the one to close if there are two.
        """
        second: Attempt | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._contend, first)
            with trio.move_on_after(self._hedge_after):
                await self._settled.wait()
            if not self._settled.is_set():
                second = await self._start_second(first)
            if second is not None and self._winner is None:
                nursery.start_soon(self._contend, second)
        if second is None:
            return first, None
        if self._winner is second:
            return second, first
        return first, second

    async def _contend(self, attempt: Attempt) -> None:
        """Run one attempt until it ends or the other one wins."""
        with trio.CancelScope() as scope:
            self._scopes[attempt.nonce] = scope
            await self._run(attempt, self._deliver_if_first)
        self._settled.set()

    async def _deliver_if_first(
        self, attempt: Attempt, frame: TokenFrame, tokens: tuple[str, ...]
    ) -> None:
        """Deliver the winner's frames; the first frame with tokens or a finish decides."""
        if self._winner is None and (tokens or frame.finish_reason is not None):
            self._win(attempt)
        if self._winner is attempt:
            await self._deliver(attempt, frame, tokens)
        else:
            # The loser's scope is cancelled by _win: none of its frames is ever delivered.
            await trio.lowlevel.checkpoint()

    def _win(self, attempt: Attempt) -> None:
        """Make an attempt the winner and cancel the other."""
        self._winner = attempt
        self._settled.set()
        for nonce, scope in self._scopes.items():
            if nonce != attempt.nonce:
                scope.cancel()
