"""Runs one attempt: dispatches or resumes it, checks every frame, delivers new tokens."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable

from hopstep.domain.attempts import AttemptState, FrameVerdict
from hopstep.exceptions import EngineError, ErrorCode
from hopstep.log_events.requests import FRAME_DROPPED
from hopstep.logs import emit
from hopstep.ports.engine import EnginePort, FinishReason, TokenFrame
from hopstep.services.requests.attempt import Attempt

Deliver = Callable[[Attempt, TokenFrame, tuple[str, ...]], Awaitable[None]]
"""Takes an accepted frame and its tokens that the caller hasn't received."""


class AttemptRunner:
    """Runs attempts against the engine port and records their proved state in the attempt.

    Args:
        port: Calls to engines.
    """

    def __init__(self, port: EnginePort) -> None:
        self._port = port

    async def dispatch(self, attempt: Attempt, deliver: Deliver) -> None:
        """Send an attempt and read its stream to the end or to an interruption."""
        attempt.sent = True
        attempt.state = AttemptState.RUNNING
        stream = self._port.generate(attempt.address, attempt.request)
        try:
            await self._read(attempt, stream, deliver)
        except EngineError as error:
            attempt.record_error(error)

    async def resume(self, attempt: Attempt, deliver: Deliver) -> None:
        """Read on from the first missing token, at the same incarnation."""
        next_sequence = attempt.checker.next_sequence
        stream = self._port.resume(
            attempt.address, attempt.nonce, attempt.incarnation, next_sequence
        )
        try:
            await self._read(attempt, stream, deliver)
        except EngineError as error:
            attempt.record_resume_error(error)
            return
        if attempt.state is AttemptState.UNKNOWN:
            attempt.fruitless_resumes += 1

    async def _read(
        self,
        attempt: Attempt,
        stream: contextlib.AbstractAsyncContextManager[AsyncIterator[TokenFrame]],
        deliver: Deliver,
    ) -> None:
        """Check and deliver frames until the last one or a gap."""
        async with stream as frames:
            attempt.state = AttemptState.RUNNING
            async for frame in frames:
                if await self._process(attempt, frame, deliver):
                    return
        attempt.interrupt(ErrorCode.STREAM_INTERRUPTED)

    async def _process(self, attempt: Attempt, frame: TokenFrame, deliver: Deliver) -> bool:
        """Check one frame and deliver it; return whether to stop reading."""
        last = frame.finish_reason is not None
        check = attempt.checker.check(
            frame.nonce, frame.incarnation, frame.sequence, len(frame.tokens), last
        )
        if check.verdict is FrameVerdict.GAP:
            attempt.interrupt(ErrorCode.STREAM_INTERRUPTED)
            return True
        if check.verdict is not FrameVerdict.ACCEPT:
            self._record_dropped(attempt, check.verdict)
            return False
        tokens = frame.tokens[check.skip :]
        if tokens:
            attempt.fruitless_resumes = 0
        if frame.finish_reason is FinishReason.CANCELLED:
            attempt.stream_lost = True
        elif last:
            attempt.state = AttemptState.DONE
        await deliver(attempt, frame, tokens)
        attempt.answered = True
        if frame.finish_reason is FinishReason.CANCELLED:
            attempt.interrupt(ErrorCode.STREAM_INTERRUPTED)
        return last

    @staticmethod
    def _record_dropped(attempt: Attempt, verdict: FrameVerdict) -> None:
        """Count a dropped frame, and log the first one of an attempt."""
        attempt.dropped_frames += 1
        if attempt.dropped_frames == 1:
            emit(
                FRAME_DROPPED,
                engine=attempt.engine_name,
                nonce=attempt.nonce,
                verdict=verdict.value,
            )
