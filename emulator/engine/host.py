"""One emulated engine on trio's clock: streams, faults, freezing.

The host has no task of its own: the tasks that read streams advance the model.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Generic, TypeVar

import trio

from emulator.engine.attempts import Attempt, AttemptState
from emulator.engine.faults import (
    EngineFaults,
    Frames,
    RefusalFault,
    StreamCutError,
    StreamFault,
    apply_stream_fault,
)
from emulator.engine.model import EngineModel
from emulator.engine.records import BlockExport
from emulator.engine.refusal import EngineRefusalError, refuse
from hopstep.exceptions import ErrorCode
from hopstep.ports.engine import FinishReason, GenerateRequest, TokenFrame

Result = TypeVar("Result")


class AnswerLostError(Exception):
    """The caller gets no answer, although the call may have taken effect."""


class _Call(Generic[Result]):
    """A call on the model and its outcome."""

    def __init__(self, action: Callable[[float], Result]) -> None:
        self._action = action
        self._results: list[Result] = []
        self._refusal: EngineRefusalError | None = None

    def run(self, now: float) -> None:
        """Execute the call."""
        try:
            self._results.append(self._action(now))
        except EngineRefusalError as error:
            self._refusal = error

    def result(self) -> Result:
        """Return the result or raise the refusal.

        Raises:
            EngineRefusalError: The model refused the call.
            AnswerLostError: The call was lost in a crash.
        """
        if self._refusal is not None:
            raise self._refusal
        if not self._results:
            raise AnswerLostError
        return self._results[0]


class EngineHost:
    """Runs one engine model in trio."""

    def __init__(self, model: EngineModel) -> None:
        """Host a model that nothing else advances."""
        self.model = model
        self._changed = trio.Event()
        self._thawed = trio.Event()
        self._exports_ready = trio.Event()
        self._frozen_calls: list[_Call[object]] = []
        self._stream_fault: StreamFault | None = None
        self._streams_to_fault = 0
        self._refusal = RefusalFault()
        self._refusals_left = 0
        self._lost_answers = 0

    def set_faults(self, faults: EngineFaults) -> None:
        """Induce faults, in place of all earlier ones."""
        now = trio.current_time()
        if faults.crash:
            self.model.crash(now)
            self._frozen_calls.clear()
        if faults.frozen:
            self.model.freeze(now)
        else:
            self._thaw(now)
        self.model.leaving = faults.leaving
        self._lost_answers = faults.lost_answers
        self._stream_fault = faults.stream
        self._streams_to_fault = faults.stream.streams if faults.stream else 0
        self._refusal = faults.refusal or RefusalFault()
        self._refusals_left = faults.refusal.count if faults.refusal else 0
        self.model.set_event_faults(
            dropping=faults.drop_events, delay_seconds=faults.event_delay_seconds
        )
        self.model.set_report_lag(faults.report_lag_seconds)
        self._notify()

    async def call(self, action: Callable[[float], Result]) -> Result:
        """Run one call on the model at the present time.

        A call to a frozen engine waits, and takes effect when the engine thaws even if the
        caller has disconnected, like a request in a socket's buffer.

        Raises:
            EngineRefusalError: When the model refuses the call.
            AnswerLostError: When the engine crashed before it executed the call.
        """
        call = _Call(action)
        if self.model.frozen:
            self._frozen_calls.append(call)  # type: ignore[arg-type]
            await self._thawed.wait()
        else:
            call.run(trio.current_time())
        self._notify()
        return call.result()

    async def generate(self, request: GenerateRequest, importable_blocks: int = 0) -> Attempt:
        """Submit an attempt to the model, subject to the active faults.

        Raises:
            EngineRefusalError: The attempt is refused.
            AnswerLostError: It was accepted, but a fault loses the answer.
        """

        def submit(now: float) -> Attempt:
            self._refuse_by_fault(request.nonce)
            return self.model.submit(request, now, importable_blocks=importable_blocks)

        attempt = await self.call(submit)
        if self._lost_answers > 0:
            self._lost_answers -= 1
            raise AnswerLostError
        return attempt

    def frames(self, attempt: Attempt, next_sequence: int) -> Frames:
        """Return the frames of an attempt from token ``next_sequence`` on.

        Iterating raises ``StreamCutError`` where the stream breaks off and
        ``EngineRefusalError`` when the attempt is refused while it is queued.
        """
        frames = self._frames(attempt, next_sequence - attempt.first_sequence)
        if self._stream_fault is None or self._streams_to_fault <= 0:
            return frames
        self._streams_to_fault -= 1
        return apply_stream_fault(frames, self._stream_fault)

    async def wait_for_exports(self) -> list[BlockExport]:
        """Wait until blocks have been computed for a KV cache store, and return them."""
        while not self.model.executions.has_exports:
            await self._exports_ready.wait()
        return self.model.executions.take_exports()

    async def wait_for_call(self) -> None:
        """Wait until a call or a fault has changed the model."""
        await self._changed.wait()

    async def _frames(self, attempt: Attempt, sent: int) -> Frames:
        """Yield new tokens after each step, and keep-alives while there are none."""
        incarnation = self.model.incarnation
        first = True
        while True:
            now = trio.current_time()
            self._advance(now)
            generated = self.model.generated(attempt, now)
            if attempt.state is AttemptState.LOST:
                raise StreamCutError
            if attempt.state is AttemptState.REFUSED:
                raise refuse(
                    ErrorCode.PRECONDITION_FAILED,
                    "the weights were changed before the attempt started",
                    nonce=attempt.nonce,
                )
            # Read before the yield, as the attempt may end while the caller handles the frame.
            ended = attempt.ended
            interval = 1 if first else self.model.config.stream_interval_tokens
            if ended or generated - sent >= interval:
                yield self._frame(attempt, incarnation, sent, generated, first)
                first = False
                sent = max(sent, generated)
            if ended:
                return
            if not await self._wait_for_step():
                yield None

    def _frame(
        self, attempt: Attempt, incarnation: str, sent: int, generated: int, first: bool
    ) -> TokenFrame:
        """Return the frame of tokens ``sent`` to ``generated``."""
        finish_reason = None
        if attempt.state is AttemptState.FINISHED:
            finish_reason = attempt.finish_reason
        elif attempt.state is AttemptState.CANCELLED:
            finish_reason = FinishReason.CANCELLED
        with_usage = first or finish_reason is not None
        return TokenFrame(
            nonce=attempt.nonce,
            incarnation=incarnation,
            sequence=attempt.first_sequence + sent,
            tokens=attempt.tokens(sent, generated),
            finish_reason=finish_reason,
            usage=self.model.usage(attempt, trio.current_time()) if with_usage else None,
        )

    async def _wait_for_step(self) -> bool:
        """Wait until streams may have new tokens; False when only a keep-alive is due.

        A frozen engine sends no keep-alives either.
        """
        while self.model.frozen:
            await self._changed.wait()
        now = trio.current_time()
        step_time = self.model.next_step_time(now)
        keep_alive_time = now + self.model.config.heartbeat_seconds
        with trio.move_on_at(min(step_time, keep_alive_time)):
            await self._changed.wait()
            return True
        return step_time <= keep_alive_time

    def _refuse_by_fault(self, nonce: str) -> None:
        """Raise a refusal if a fault asks for it."""
        if self._refusals_left <= 0:
            return
        self._refusals_left -= 1
        raise refuse(
            self._refusal.code,
            "refused by an induced fault",
            nonce=nonce,
            execution=self._refusal.execution,
            retry_after_seconds=self._refusal.retry_after_seconds,
        )

    def _thaw(self, now: float) -> None:
        """End a freeze and execute the calls that arrived during it."""
        self.model.thaw(now)
        calls, self._frozen_calls = self._frozen_calls, []
        for call in calls:
            call.run(now)
        self._thawed.set()
        self._thawed = trio.Event()

    def _advance(self, now: float) -> None:
        """Advance the model and announce new exports."""
        self.model.advance(now)
        if self.model.executions.has_exports:
            self._exports_ready.set()
            self._exports_ready = trio.Event()

    def _notify(self) -> None:
        """Wake every stream."""
        self._changed.set()
        self._changed = trio.Event()
