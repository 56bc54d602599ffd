"""One attempt of a request at one engine."""

from __future__ import annotations

from hopstep.domain.attempts import AttemptState, FrameChecker
from hopstep.exceptions import EngineError, ErrorCode, Execution
from hopstep.ports.engine import GenerateRequest
from hopstep.services.requests.engine_slots import EngineSlot


class Attempt:
    """An attempt and its proved state.

    Args:
        request: Request to the engine.
        slot: Slot at the engine.
        incarnation: Incarnation expected there; empty if unknown.
        next_sequence: Index of the first token that the caller doesn't have.
        dispatched_at: Time of the dispatch.
    """

    def __init__(
        self,
        request: GenerateRequest,
        slot: EngineSlot,
        incarnation: str,
        next_sequence: int,
        dispatched_at: float,
    ) -> None:
        self.request = request
        self.slot = slot
        self._first_sequence = next_sequence
        self.dispatched_at = dispatched_at
        self.expected_incarnation = incarnation
        self.checker = FrameChecker(request.nonce, next_sequence, request.incarnation)
        self.state = AttemptState.NOT_RUN
        self.cause = ErrorCode.STREAM_INTERRUPTED
        self.retry_after_seconds = 0.0
        self.sent = False
        self.answered = False
        self.engine_answers = True
        self.stream_lost = False
        self.settled = False
        self.fruitless_resumes = 0
        self.dropped_frames = 0
        self.closed = False

    @property
    def nonce(self) -> str:
        """Unique name of the attempt."""
        return self.request.nonce

    @property
    def address(self) -> str:
        """Address of the engine."""
        return self.slot.choice.back_end.address

    @property
    def engine_name(self) -> str:
        """Name of the engine."""
        return self.slot.choice.back_end.name

    @property
    def incarnation(self) -> str:
        """Incarnation that runs it: the one that answered, otherwise the expected one."""
        return self.checker.incarnation or self.expected_incarnation

    @property
    def resumable(self) -> bool:
        """Whether the engine may still hold its stream."""
        return bool(self.incarnation) and not self.stream_lost

    @property
    def progressed(self) -> bool:
        """Whether it delivered tokens."""
        return self.checker.next_sequence > self._first_sequence

    def record_error(self, error: EngineError) -> None:
        """Record the state that a failed dispatch or a broken stream proves.

        A refusal as not run counts only for an attempt that hasn't answered.
        """
        self.cause = error.code
        self.retry_after_seconds = error.retry_after_seconds
        proved = error.execution is Execution.NOT_RUN and not self.answered
        self.state = AttemptState.NOT_RUN if proved else AttemptState.UNKNOWN

    def record_resume_error(self, error: EngineError) -> None:
        """Record a failed resume, which proves nothing about the attempt itself."""
        self.state = AttemptState.UNKNOWN
        self.cause = error.code
        self.fruitless_resumes += 1
        if error.code is ErrorCode.PRECONDITION_FAILED:
            self.stream_lost = True
        if error.code is ErrorCode.ENGINE_UNREACHABLE:
            self.engine_answers = False

    def interrupt(self, cause: ErrorCode) -> None:
        """Record that the stream was interrupted."""
        self.state = AttemptState.UNKNOWN
        self.cause = cause
