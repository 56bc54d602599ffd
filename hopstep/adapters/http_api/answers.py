"""An answer in progress: a task of the node runs the request, the response reads its parts.

The task belongs to the node, not to the caller's connection. When the caller disconnects, the
response is cancelled at once, while the task still cancels the attempt at the engine and releases
its resources, within the dispatcher's time limits; a planned stop waits for it.
"""

from __future__ import annotations

from collections.abc import AsyncIterator

import trio

from hopstep.adapters.http_api.context import ApiContext
from hopstep.domain.inference import AnswerPart, InferenceRequest
from hopstep.exceptions import ErrorCode, Execution, ServiceError
from hopstep.log_events.http_api import REQUEST_CRASHED
from hopstep.logs import emit


class RunningAnswer:
    """An answer that is being generated."""

    def __init__(self, context: ApiContext, request: InferenceRequest) -> None:
        """Store the request; ``run`` must be started as a task.

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
        """Run the request in the dispatcher until the response releases it."""
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
                self._error = self._internal_error(error)
            finally:
                self._entered.set()

    def release(self) -> None:
        """Let the request end because it was answered, it failed or its caller disconnected."""
        self._released.set()
        if not self._entered.is_set():
            self._scope.cancel()

    async def read(self) -> AnswerPart:
        """Wait for the next tokens and return all that arrived since the last read.

        Raises:
            ServiceError: If the answer failed; every token before the failure was returned.
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
            raise self._internal_error(error) from None

    def _internal_error(self, error: Exception) -> ServiceError:
        """Log an unexpected exception without its text, which may quote a prompt."""
        trace = error.__traceback__
        while trace is not None and trace.tb_next is not None:
            trace = trace.tb_next
        location = f"{trace.tb_frame.f_code.co_qualname}:{trace.tb_lineno}" if trace else ""
        emit(
            REQUEST_CRASHED,
            request_id=self._request.request_id,
            error_type=type(error).__name__,
            location=location,
        )
        return ServiceError(
            ErrorCode.INTERNAL, "a fault in this router", execution=Execution.UNKNOWN
        )


def _ended_early() -> ServiceError:
    """Return the error for an answer that ended without a finish reason."""
    return ServiceError(
        ErrorCode.STREAM_INTERRUPTED,
        "the answer was cut off",
        execution=Execution.UNKNOWN,
    )
