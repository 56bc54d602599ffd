"""Short calls to engines apart from the streams: cancel, fence, probe; each bounded in time."""

from __future__ import annotations

import trio

from hopstep.domain.engines import EngineFacts
from hopstep.exceptions import EngineError
from hopstep.log_events.requests import CANCEL_FAILED
from hopstep.logs import emit
from hopstep.ports.engine import AttemptStatus, CancelOutcome, EnginePort

CANCEL_TIMEOUT_SECONDS = 2.0
"""Longest time for a cancel, also after its caller has left."""

FENCE_TIMEOUT_SECONDS = 2.0
"""Longest time for fencing an attempt and learning its status."""

PROBE_TIMEOUT_SECONDS = 1.0
"""Longest wait for an engine's answer to a probe."""


async def cancel_attempt(
    port: EnginePort, address: str, nonce: str, incarnation: str
) -> CancelOutcome | None:
    """Cancel an attempt, also when the caller's task is being cancelled.

    Returns:
        The engine's answer; None when none came in time, which proves nothing.
    """
    with trio.CancelScope(shield=True, deadline=trio.current_time() + CANCEL_TIMEOUT_SECONDS):
        try:
            return await port.cancel(address, nonce, incarnation)
        except EngineError as error:
            emit(CANCEL_FAILED, engine=address, nonce=nonce, code=error.code.value)
            return None
    emit(CANCEL_FAILED, engine=address, nonce=nonce, code="timeout")
    return None


async def fence_attempt(
    port: EnginePort, address: str, nonce: str, incarnation: str
) -> AttemptStatus | None:
    """Keep an attempt from starting if it never arrived, and return its status.

    Returns:
        None when the engine didn't answer in time or is another incarnation, which proves
        nothing.
    """
    with trio.move_on_after(FENCE_TIMEOUT_SECONDS):
        try:
            return await port.fence_nonce(address, nonce, incarnation)
        except EngineError:
            return None
    return None


async def probe_engine(port: EnginePort, address: str) -> EngineFacts | None:
    """Return an engine's facts, or None when it doesn't answer in time."""
    with trio.move_on_after(PROBE_TIMEOUT_SECONDS):
        try:
            return await port.probe(address)
        except EngineError:
            return None
    return None
