"""Buffer that passes the parts of one answer from the attempts to the caller."""

from __future__ import annotations

import trio

from hopstep.domain.inference import AnswerPart
from hopstep.exceptions import ErrorCode, Execution, ServiceError

MAX_BUFFERED_TOKENS = 1024
"""Tokens buffered for a slow caller; beyond that the engine's stream waits."""


class AnswerStream:
    """A bounded buffer of parts; an async iterator that ends after the last part or raises.

    Buffered parts are joined, so that a burst of tokens costs the caller one step.
    """

    def __init__(self) -> None:
        self._parts: list[AnswerPart] = []
        self._buffered_tokens = 0
        self._finished = False
        self._error: Exception | None = None
        self.taken_tokens = 0
        self._filled = trio.Event()
        self._emptied = trio.Event()

    async def put(self, part: AnswerPart) -> None:
        """Add a part; wait while the buffer is full."""
        while self._buffered_tokens >= MAX_BUFFERED_TOKENS:
            self._emptied = trio.Event()
            await self._emptied.wait()
        self.put_now(part)

    def put_now(self, part: AnswerPart) -> None:
        """Add a part without waiting, even if the buffer is full."""
        self._parts.append(part)
        self._buffered_tokens += len(part.tokens)
        self._filled.set()

    def fail(self, error: Exception) -> None:
        """End the answer with an error, raised after the parts before it.

        Args:
            error: A ``ServiceError``, or an internal error of the router as it was raised.
        """
        self._error = error
        self._filled.set()

    def __aiter__(self) -> AnswerStream:
        """Return the iterator itself."""
        return self

    async def __anext__(self) -> AnswerPart:
        """Return the buffered parts of one engine, joined.

        Raises:
            ServiceError: When the answer can't be completed.
        """
        if self._finished:
            raise StopAsyncIteration
        while not self._parts and self._error is None:
            self._filled = trio.Event()
            await self._filled.wait()
        if not self._parts:
            raise self._error or _ended_early()
        part = self._take()
        self._finished = part.finish is not None
        return part

    def _take(self) -> AnswerPart:
        """Take out the leading parts of one engine, joined."""
        engine = self._parts[0].engine
        count = 1
        while count < len(self._parts) and self._parts[count].engine == engine:
            count += 1
        taken, self._parts = self._parts[:count], self._parts[count:]
        joined = _join(taken)
        self._buffered_tokens -= len(joined.tokens)
        self.taken_tokens += len(joined.tokens)
        self._emptied.set()
        return joined


def _join(parts: list[AnswerPart]) -> AnswerPart:
    """Return consecutive parts of one engine as one."""
    if len(parts) == 1:
        return parts[0]
    tokens = tuple(token for part in parts for token in part.tokens)
    last = parts[-1]
    return AnswerPart(parts[0].sequence, tokens, last.engine, last.finish, last.usage)


def _ended_early() -> ServiceError:
    """Return the error of an answer that ended for no known reason."""
    return ServiceError(ErrorCode.INTERNAL, "the answer ended early", execution=Execution.UNKNOWN)
