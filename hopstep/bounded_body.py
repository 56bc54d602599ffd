"""Reads the bodies of answers up to a bound in bytes and in time, and logs where one exceeds it.

The bounds are for faults: a peer may send without end, or a byte at a time.
"""

from __future__ import annotations

import contextlib
import enum
from collections.abc import AsyncIterator, Iterator

import httpcore
import msgspec
import trio

from hopstep.log_events.instances import ANSWER_BOUND_EXCEEDED
from hopstep.logs import emit

STEP_SECONDS = 0.002
"""Longest time for which parts that have arrived already are read without yielding to other tasks:
one read may hold ten thousand chunks."""


MAX_SMALL_PARTS = 512
SMALL_PART_BYTES = 8
"""An answer in more than ``MAX_SMALL_PARTS`` parts has at least this many bytes for each. A part
costs some 30 microseconds whatever its size, so that three instances that send bytes in chunks of
their own take a whole processor; an event of a stream has more than 16 bytes."""


class CallKind(enum.StrEnum):
    """Kind of call that an answer is to."""

    CONTROL = "control"
    CACHE_EVENTS = "cache_events"
    STORE = "store"
    MACHINE_LIST = "machine_list"
    PEER = "peer"


class ExceededBound(enum.StrEnum):
    """Bound that an answer exceeds."""

    BYTES = "bytes"
    SECONDS = "seconds"


class AnswerBound(msgspec.Struct, frozen=True):
    """Bound on the answers to one kind of call.

    Attributes:
        kind: Kind of call.
        max_bytes: Longest body.
    """

    kind: CallKind
    max_bytes: int


CONTROL_BOUND = AnswerBound(CallKind.CONTROL, 256 * 1024)
"""A report names an engine's models, in some hundred bytes each."""

CACHE_EVENTS_BOUND = AnswerBound(CallKind.CACHE_EVENTS, 2 * 1024 * 1024)
"""About 20,000 events of 100 bytes."""

STORE_BOUND = AnswerBound(CallKind.STORE, 16 * 1024 * 1024)
"""A page of a range has about 1 MB; a watch that is far behind has more."""


CONFIGURATION_BYTES = 64 * 1024 * 1024
"""Longest transfer of configuration changes, from the key-value service or from a peer."""

KEY_VALUE_BOUND = AnswerBound(CallKind.STORE, CONFIGURATION_BYTES)
PEER_BOUND = AnswerBound(CallKind.PEER, CONFIGURATION_BYTES)
MACHINE_LIST_BOUND = AnswerBound(CallKind.MACHINE_LIST, 4 * 1024 * 1024)
"""About 20,000 machines of 200 bytes."""


class BodyTooLongError(httpcore.RemoteProtocolError):
    """A body is longer than its bound, or in too many parts.

    Callers treat it as an answer that isn't HTTP.
    """


class BoundedAnswer:
    """Reads one answer."""

    def __init__(self, source: str, bound: AnswerBound) -> None:
        """Start before the answer's head.

        Args:
            source: Address that answers.
            bound: Bound on the answer.
        """
        self._source = source
        self._bound = bound
        self._body: bytearray | None = None

    async def read(self, parts: AsyncIterator[bytes]) -> bytes:
        """Return the complete body.

        Args:
            parts: Parts of the body as the library yields them.

        Raises:
            BodyTooLongError: When it exceeds the bound; the rest of it isn't read.
        """
        body = self._body = bytearray()
        try:
            async for data in read_parts(parts):
                body += data
                if len(body) > self._bound.max_bytes:
                    raise BodyTooLongError("the body is too long")
        except BodyTooLongError:
            self._log(ExceededBound.BYTES)
            raise
        return bytes(body)

    def note_timeout(self) -> None:
        """Log that the time for the answer is up, if its body had begun."""
        if self._body is not None:
            self._log(ExceededBound.SECONDS)

    def _log(self, exceeded: ExceededBound) -> None:
        """Log which bound the answer exceeds."""
        emit(
            ANSWER_BOUND_EXCEEDED,
            source=self._source,
            call=self._bound.kind.value,
            bound=exceeded.value,
            received_bytes=len(self._body or b""),
        )


async def read_parts(parts: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
    """Yield the parts of a body; other tasks run at least each ``STEP_SECONDS``.

    A cancellation is left to the library's next read, which closes what it has open.

    Raises:
        BodyTooLongError: When the parts are too many and too small.
    """
    yielded_at = trio.current_time()
    count = size = 0
    async for data in parts:
        yield data
        count += 1
        size += len(data)
        if count > MAX_SMALL_PARTS and size < count * SMALL_PART_BYTES:
            raise BodyTooLongError("the body has too many small parts")
        if trio.current_time() - yielded_at > STEP_SECONDS:
            await trio.lowlevel.cancel_shielded_checkpoint()
            yielded_at = trio.current_time()


@contextlib.contextmanager
def bounded_answer(source: str, bound: AnswerBound, seconds: float) -> Iterator[BoundedAnswer]:
    """Yield what reads one answer; the call has to end within a time.

    Args:
        source: Address that answers.
        bound: Bound on the answer.
        seconds: Longest duration of the whole call.

    Raises:
        trio.TooSlowError: When the time is up.
    """
    answer = BoundedAnswer(source, bound)
    try:
        with trio.fail_after(seconds):
            yield answer
    except trio.TooSlowError:
        answer.note_timeout()
        raise
