"""Relays responses of instances to one client and tracks what the client has received.

Once data is counted as delivered, sending it is shielded from cancellation: neither the watchdog
for unresponsive instances nor the request's deadline can interrupt it. A response that is relayed
in parts is an exception: it counts as begun with its head, and as delivered only when it has ended.
"""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable, Iterable

import trio

from hopstep.domain.byte_budget import RESPONSE_BYTES, ResponseSpace
from hopstep.domain.exchanges.instance_view import InstanceView
from hopstep.domain.exchanges.request import ExchangeRequest, Headers
from hopstep.domain.exchanges.selection import Candidate
from hopstep.domain.exchanges.serving import RequestKind
from hopstep.domain.exchanges.streams.event_stream import EventFramer, StreamOrderError
from hopstep.domain.head_numbers import MAX_EVENT_NUMBER, whole_number
from hopstep.exceptions import ErrorCode, Execution
from hopstep.log_events.requests import RESPONSE_RELAYED_IN_PARTS
from hopstep.logs import emit
from hopstep.ports.exchange_front import ClientAnswer
from hopstep.ports.instance_calls import InstanceAnswer, InstanceCallError
from hopstep.services.exchanges.requests.attempts.unbounded_answer import UnboundedAnswer
from hopstep.services.exchanges.requests.exchange_parts import (
    MILLISECONDS,
    CompleteResponse,
    ExchangeOutcome,
)
from hopstep.services.exchanges.requests.intake.held_bytes import HeldResponse, require_length

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses by which clients are told that their request has not run."""

FIRST_FAILURE_STATUS = 500
FIRST_SUCCESS_STATUS = 200
LAST_SUCCESS_STATUS = 299


class AnswerRelay:
    """Relays one request's response, over all of its attempts.

    Attributes:
        started: Whether the response head is counted as delivered.
        finished: Whether the complete response is counted as delivered.
        failure: Latest failure response of an instance, sent if no attempt does better.
        in_parts: Whether the response was relayed before it had been read to its end; it can't be
            continued by another instance.
        unbounded: The response, once it is relayed in parts; None for any other.
        has_succeeded: Whether a complete, successful response with a body or events is counted as
            delivered. One without may be what an instance left that ended before it wrote any.
    """

    def __init__(
        self,
        request: ExchangeRequest,
        answer: ClientAnswer,
        outcome: ExchangeOutcome,
        on_first_byte: Callable[[], None],
        on_stream_begun: Callable[[InstanceView], None],
    ) -> None:
        """Create the relay of one request.

        Args:
            request: The request.
            answer: Writes the response to the client.
            outcome: Records times, number of events and the status.
            on_first_byte: Called after the first byte of each instance's response.
            on_stream_begun: Called with the instance whose event is the first that the client gets,
                before that event is sent.
        """
        self.started = False
        self.finished = False
        self.failure: CompleteResponse | None = None
        self.in_parts = False
        self.unbounded: UnboundedAnswer | None = None
        self.has_succeeded = False
        self._has_sent = False
        self._first_event_at: float | None = None
        self._request = request
        self._answer = answer
        self._outcome = outcome
        self._on_first_byte = on_first_byte
        self._on_stream_begun = on_stream_begun
        self._framer = EventFramer(_event_number(request.resume_after))

    @property
    def resume_after(self) -> str:
        """Id of the last event that the client has received; empty for none."""
        last_id = self._framer.last_id
        return str(last_id) if last_id is not None else self._request.resume_after

    def begin_attempt(self) -> None:
        """Note that the request is about to be sent to an instance."""
        self._first_event_at = None

    def writing_seconds(self) -> float:
        """Return the seconds since the attempt's first complete event; 0 when it brought none."""
        if self._first_event_at is None:
            return 0.0
        return trio.current_time() - self._first_event_at

    def restart(self) -> None:
        """Discard a partial event: the next attempt resumes after the last complete one."""
        self._framer.restart()

    async def relay(self, candidate: Candidate, answer: InstanceAnswer, sent_at: float) -> None:
        """Relay a response to the client.

        Args:
            candidate: The instance that responds.
            answer: Head of the response, and its body.
            sent_at: When the request was sent there, by the steady clock in seconds.

        Raises:
            InstanceCallError: When the response is incomplete, or another attempt may do better.
        """
        relay = self._relay_stream if self._is_stream(answer) else self._relay_complete
        with ResponseSpace(self._answer.share) as space:
            await relay(candidate, answer, sent_at, space)

    async def send_failure(self) -> bool:
        """Send the recorded failure response; return False when there is none to send."""
        if self.failure is None or self.started:
            return False
        failure = self.failure
        await self._send_complete(failure, len(failure.body), (failure.body,))
        return True

    def _is_stream(self, answer: InstanceAnswer) -> bool:
        """Return whether a response is relayed event by event."""
        return _is_success(answer.status) and self._request.route.kind is RequestKind.STREAM

    async def _relay_stream(
        self, candidate: Candidate, answer: InstanceAnswer, sent_at: float, space: ResponseSpace
    ) -> None:
        """Relay events as they arrive."""
        self._require_signed(answer)
        view, request_id = candidate.view, self._request.request_id
        first = True
        previous_chunk_at = 0.0
        async for data in answer.body():
            now = trio.current_time()
            if not first:
                pause_ms = round((now - previous_chunk_at) * MILLISECONDS)
                self._outcome.pause_ms = max(self._outcome.pause_ms, pause_ms)
            previous_chunk_at = now
            if first:
                first = False
                view.segments.mark_read(candidate.keys, now)
                view.first_byte(request_id, candidate.work_tokens, now, shows_speed=True)
                view.succeeded(now - sent_at)
                self._on_first_byte()
            view.note_chunk(request_id, now)
            await self._send_events(view, answer, data)
            self._require_space(space)
            view.expect_chunk(request_id, trio.current_time())
        view.end_stream(request_id)
        may_be_empty = bool(self.resume_after)
        if self._framer.has_partial or not (self.started or may_be_empty):
            raise InstanceCallError(
                ErrorCode.STREAM_INTERRUPTED, "the stream ended within an event", Execution.UNKNOWN
            )
        if not self.started:
            await self._start(answer.status, answer.headers, None)
        self._outcome.events = self._framer.events
        await self._finish(answer.status)

    def _require_space(self, space: ResponseSpace) -> None:
        """Raise when the node has no space for an incomplete event, which can't be passed on."""
        if not space.grow(self._framer.partial_bytes):
            raise InstanceCallError(
                ErrorCode.STREAM_INTERRUPTED, "no space for a long event", Execution.UNKNOWN
            )
        space.shrink(max(RESPONSE_BYTES, self._framer.partial_bytes))

    async def _send_events(self, view: InstanceView, answer: InstanceAnswer, data: bytes) -> None:
        """Send the events that ``data`` completes.

        The framer has counted them, so nothing may cancel the attempt before they are sent.
        """
        try:
            complete = self._framer.feed(data)
        except StreamOrderError as error:
            raise InstanceCallError(
                ErrorCode.STREAM_INTERRUPTED, str(error), Execution.UNKNOWN
            ) from error
        if not complete:
            return
        if self._first_event_at is None:
            self._first_event_at = trio.current_time()
        with trio.CancelScope(shield=True):
            if not self.started:
                self._on_stream_begun(view)
                await self._start(answer.status, answer.headers, None)
            await self._send(complete)

    async def _relay_complete(
        self, candidate: Candidate, answer: InstanceAnswer, sent_at: float, space: ResponseSpace
    ) -> None:
        """Read a response to its end and send it, unless another attempt may do better.

        A response that the node has no space for is relayed in parts from there on.
        """
        require_length(answer.length or 0)
        parts = answer.body()
        held = HeldResponse(space, has_length=answer.length is not None)
        async for data in parts:
            if not held.add(data):
                seconds = self._accept(candidate, answer, sent_at, None)
                self.unbounded = UnboundedAnswer(
                    candidate.view,
                    seconds,
                    held.size + len(data),
                    has_length=answer.length is not None,
                )
                await self._relay_in_parts(self.unbounded, answer, held, data, parts)
                return
        self._require_written(answer, held)
        candidate.view.succeeded(self._accept(candidate, answer, sent_at, held))
        await self._send_complete(answer, held.size, held.take_pieces())

    def _require_written(self, answer: InstanceAnswer, held: HeldResponse) -> None:
        """Raise when an answer to a prompt ended with its connection before its first byte.

        An instance that terminates as it begins to write leaves such an answer.
        """
        is_written = held.size > 0 or not answer.ends_with_connection
        if self._request.prompt is None or not _is_success(answer.status) or is_written:
            return
        raise InstanceCallError(
            ErrorCode.STREAM_INTERRUPTED, "the answer ended before a byte", Execution.UNKNOWN
        )

    def _accept(
        self,
        candidate: Candidate,
        answer: InstanceAnswer,
        sent_at: float,
        held: HeldResponse | None,
    ) -> float:
        """Report a response's first byte to the view of its instance; check that it may be sent.

        Args:
            candidate: The instance that responds.
            answer: Head of the response.
            sent_at: When the request was sent there, by the steady clock in seconds.
            held: The complete response; None when it isn't read to its end.

        Returns:
            Time from sending the request until now, in seconds.

        Raises:
            InstanceCallError: When another attempt may do better.
        """
        now = trio.current_time()
        candidate.view.first_byte(self._request.request_id, candidate.work_tokens, now)
        self._on_first_byte()
        if answer.status in NOT_RUN_STATUSES:
            raise InstanceCallError(
                ErrorCode.EXECUTION_UNKNOWN,
                f"status {answer.status} without proof that the request has not run",
                Execution.UNKNOWN,
            )
        if self.started or answer.status >= FIRST_FAILURE_STATUS:
            self._keep_failure(answer, held)
            raise InstanceCallError(
                ErrorCode.RETRIES_EXHAUSTED,
                f"the instance answered {answer.status}",
                Execution.UNKNOWN,
            )
        if _is_success(answer.status):
            self._require_signed(answer)
        return now - sent_at

    def _keep_failure(self, answer: InstanceAnswer, held: HeldResponse | None) -> None:
        """Keep a failure response instead of the one before, if the node has space for it."""
        share = self._answer.share
        if held is None or not share.take_spare(held.size):
            return
        if self.failure is not None:
            share.release(len(self.failure.body))
        self.failure = CompleteResponse(answer.status, answer.headers, held.read())

    async def _relay_in_parts(
        self,
        unbounded: UnboundedAnswer,
        answer: InstanceAnswer,
        held: HeldResponse,
        data: bytes,
        parts: AsyncIterator[bytes],
    ) -> None:
        """Relay what is held, the part without space, then the others, each read after the last.

        The instance has succeeded only when the answer has ended.
        """
        require_length(answer.length or 0)
        self.in_parts = True
        self._answer.share.relayed_in_parts = True
        emit(
            RESPONSE_RELAYED_IN_PARTS,
            request_id=self._request.request_id,
            instance=self._outcome.instance,
            read_bytes=held.size + len(data),
        )
        size = held.size + len(data)
        unbounded.begin_write()
        await self._start(answer.status, answer.headers, answer.length)
        await unbounded.end_write(0)
        for piece in held.take_pieces(RESPONSE_BYTES):
            await self._send_part(unbounded, piece)
        await self._send_part(unbounded, data)
        async for data in parts:
            size += len(data)
            require_length(size)
            await self._send_part(unbounded, data)
        unbounded.note_end()
        await self._finish(answer.status)

    def _require_signed(self, answer: InstanceAnswer) -> None:
        """Raise unless a successful response carries its instance's signature."""
        if not answer.signed:
            raise InstanceCallError(
                ErrorCode.EXECUTION_UNKNOWN, "the answer isn't signed", Execution.UNKNOWN
            )

    async def _send_complete(
        self, head: InstanceAnswer | CompleteResponse, length: int, pieces: Iterable[bytes]
    ) -> None:
        """Send a complete response, all of it or nothing."""
        self.finished = True
        with trio.CancelScope(shield=True):
            await self._start(head.status, head.headers, length)
            for piece in pieces:
                await self._send(piece)
            await self._finish(head.status)

    async def _send_part(self, unbounded: UnboundedAnswer, data: bytes) -> None:
        """Send a part of a response that is relayed in parts."""
        unbounded.begin_write()
        await self._send(data)
        await unbounded.end_write(len(data))

    async def _send(self, data: bytes) -> None:
        """Send a part of the body."""
        self._has_sent = self._has_sent or bool(data)
        await self._answer.send(data)

    async def _finish(self, status: int) -> None:
        """End the response as complete."""
        self.finished = True
        self.has_succeeded = _is_success(status) and self._has_sent
        self._outcome.outcome = str(status)
        with trio.CancelScope(shield=True):
            await self._answer.finish()

    async def _start(self, status: int, headers: Headers, length: int | None) -> None:
        """Send the head of the response."""
        self.started = True
        elapsed = trio.current_time() - self._request.received_at
        self._outcome.first_byte_ms = round(elapsed * MILLISECONDS)
        await self._answer.start(status, headers, length)


def _is_success(status: int) -> bool:
    """Return whether a status is that of a successful response."""
    return FIRST_SUCCESS_STATUS <= status <= LAST_SUCCESS_STATUS


def _event_number(text: str) -> int | None:
    """Return the event number in a ``Last-Event-Id`` header, or None when it has none."""
    return whole_number(text, MAX_EVENT_NUMBER)
