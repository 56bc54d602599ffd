"""Closes attempts: bookkeeping, cancel at the engine, release of the slot exactly once."""

from __future__ import annotations

from collections.abc import Callable

import trio

from hopstep.domain.attempts import AttemptState
from hopstep.domain.routing.routing_table import RoutingTable
from hopstep.ports.engine import EnginePort
from hopstep.services.engine_calls import cancel_attempt
from hopstep.services.requests.attempt import Attempt


class AttemptCloser:
    """Closes the attempts of one request.

    Args:
        port: Calls to engines.
        table: Drops attempts that have ended.
        spawn: Starts a task in the request's nursery; cancels are shielded there, so that
            they go on for a bounded time after the caller has disconnected.
    """

    def __init__(self, port: EnginePort, table: RoutingTable, spawn: Callable[..., None]) -> None:
        self._port = port
        self._table = table
        self._spawn = spawn

    def close(self, attempt: Attempt) -> None:
        """Close an attempt, and cancel it where it may still run; later calls do nothing."""
        if attempt.closed:
            return
        attempt.closed = True
        self._table.record_end(attempt.nonce, trio.current_time())
        over = attempt.state in (AttemptState.DONE, AttemptState.NOT_RUN)
        if over or not attempt.sent:
            attempt.slot.release()
        else:
            self._spawn(self._cancel_and_release, attempt)

    async def _cancel_and_release(self, attempt: Attempt) -> None:
        """Cancel an attempt at its engine, then release its slot."""
        try:
            await cancel_attempt(self._port, attempt.address, attempt.nonce, attempt.incarnation)
        finally:
            attempt.slot.release()
