"""One running answer: its request runs in a task of the node, the response reads its parts.

The task belongs to the node, not to the caller's connection. When the caller leaves, the
response is cancelled at once while the task still cancels at the engine and gives back what
it holds, bounded by the dispatcher; the planned stop waits for it.
"""

from __future__ import annotations

from collections.abc import AsyncIterator

import trio

from hopstep import log_events
from hopstep.adapters.http_api.context import ApiContext
from hopstep.domain.inference import AnswerPart, InferenceRequest
from hopstep.exceptions import ErrorCode, Execution, ServiceError
from hopstep.logs import emit


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
        self._parts: AsyncIterator[AnswerPart] | None = None
        self._error: ServiceError | None = None
        self._scope = trio.CancelScope()
        self._entered = trio.Event()
        self._released = trio.Event()

    async def run(self) -> None:
        """Hold the dispatcher's run until the response releases it."""
        with self._context.lifecycle.active(), self._context.pacer.stream():
            try:
                with self._scope:
                    async with self._context.runner.run(self._request) as parts:
                        self._parts = parts
                        self._entered.set()
                        await self._released.wait()
            except ServiceError as error:
                self._error = error
            except Exception as error:
                self._error = self._crashed(error)
            finally:
                self._entered.set()

    def release(self) -> None:
        """Let the request end: it is answered, it failed, or its caller left."""
        self._released.set()
        if not self._entered.is_set():
            self._scope.cancel()

    async def read(self) -> AnswerPart:
        """Wait for the next tokens and return them, with all that came since the last read.

        Raises:
            ServiceError: When the answer failed; every token before was returned.
        """
        await self._entered.wait()
        if self._parts is None:
            raise self._error or _ended_early()
        try:
            return await anext(self._parts)
        except StopAsyncIteration:
            raise _ended_early() from None
        except ServiceError:
            raise
        except Exception as error:
            raise self._crashed(error) from None

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


def _ended_early() -> ServiceError:
    """Return the error of an answer whose parts ended without a finish."""
    return ServiceError(
        ErrorCode.STREAM_INTERRUPTED,
        "the answer was cut off",
        execution=Execution.UNKNOWN,
    )
