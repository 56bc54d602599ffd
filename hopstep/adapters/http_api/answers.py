"""One running answer: a task pulls its parts, the response takes them.

The task belongs to the node, not to the caller's connection. When the caller leaves, the
response is cancelled at once while the task still cancels at the engine and gives back what
it holds, bounded by the dispatcher; the planned stop waits for it.
"""

from __future__ import annotations

import msgspec
import trio

from hopstep import log_events
from hopstep.adapters.http_api.context import ApiContext
from hopstep.domain.inference import AnswerFinish, AnswerPart, AnswerUsage, InferenceRequest
from hopstep.exceptions import ErrorCode, Execution, ServiceError
from hopstep.logs import emit

MAX_BUFFERED_TOKENS = 4096
"""Tokens that are held for a caller that reads slowly; then the engine's stream waits."""


class AnswerPiece(msgspec.Struct, frozen=True):
    """Tokens that leave in one write.

    Attributes:
        text: Their texts, joined.
        tokens: Their number.
        engine: Engine that made the last of them.
        finish: Set on the last piece only.
        usage: Set on the last piece only.
    """

    text: str
    tokens: int
    engine: str
    finish: AnswerFinish | None
    usage: AnswerUsage | None


class RunningAnswer:
    """An answer that is being made."""

    def __init__(self, context: ApiContext, request: InferenceRequest) -> None:
        """Prepare; ``run`` must be started as a task.

        Args:
            context: The node.
            request: The resolved request.
        """
        self._context = context
        self._request = request
        self._parts: list[AnswerPart] = []
        self._buffered_tokens = 0
        self._error: ServiceError | None = None
        self._ended = False
        self._scope = trio.CancelScope()
        self._filled = trio.Event()
        self._emptied = trio.Event()

    async def run(self) -> None:
        """Pull the parts until the answer ends, fails or is cancelled."""
        with self._context.lifecycle.active(), self._context.pacer.stream():
            try:
                with self._scope:
                    await self._pull()
            except ServiceError as error:
                self._error = error
            except Exception as error:
                self._error = self._crashed(error)
            finally:
                self._ended = True
                self._filled.set()

    def cancel(self) -> None:
        """Give the answer up; nothing happens when it has ended."""
        self._scope.cancel()

    async def read(self) -> AnswerPiece:
        """Wait for the next tokens and return all that have come.

        Raises:
            ServiceError: When the answer failed; every token before was returned.
        """
        while not self._parts and not self._ended:
            self._filled = trio.Event()
            await self._filled.wait()
        if not self._parts:
            raise self._error or _ended_early()
        parts, self._parts = self._parts, []
        self._buffered_tokens = 0
        self._emptied.set()
        return _join(parts)

    async def _pull(self) -> None:
        """Move parts from the dispatcher to the buffer, paced and bounded."""
        async with self._context.runner.run(self._request) as parts:
            async for part in parts:
                self._parts.append(part)
                self._buffered_tokens += len(part.tokens)
                self._filled.set()
                await self._wait_before_next()

    async def _wait_before_next(self) -> None:
        """Let tokens gather at the engine's side, and slow callers catch up."""
        interval = self._context.pacer.interval()
        if interval:
            await trio.sleep(interval)
        while self._buffered_tokens >= MAX_BUFFERED_TOKENS:
            self._emptied = trio.Event()
            await self._emptied.wait()

    def _crashed(self, error: Exception) -> ServiceError:
        """Turn a fault of hopstep's own into an error; its text may hold a prompt."""
        trace = error.__traceback__
        while trace is not None and trace.tb_next is not None:
            trace = trace.tb_next
        location = f"{trace.tb_frame.f_code.co_qualname}:{trace.tb_lineno}" if trace else ""
        emit(
            log_events.REQUEST_CRASHED,
            request_id=self._request.request_id,
            error_type=type(error).__name__,
            location=location,
        )
        return ServiceError(
            ErrorCode.INTERNAL, "a fault in this router", execution=Execution.UNKNOWN
        )


def _join(parts: list[AnswerPart]) -> AnswerPiece:
    """Return one piece with the tokens of all parts."""
    tokens = [token for part in parts for token in part.tokens]
    last = parts[-1]
    return AnswerPiece("".join(tokens), len(tokens), last.engine, last.finish, last.usage)


def _ended_early() -> ServiceError:
    """Return the error of an answer whose parts ended without a finish."""
    return ServiceError(
        ErrorCode.STREAM_INTERRUPTED,
        "the answer was cut off",
        execution=Execution.UNKNOWN,
    )
