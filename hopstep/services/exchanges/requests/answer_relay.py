"""Relays responses of instances to one client and tracks what the client has received.

Once data is counted as delivered, sending it is shielded from cancellation: neither the watchdog
for unresponsive instances nor the request's deadline can interrupt it.
"""

from __future__ import annotations

import trio

from hopstep.domain.exchanges.event_stream import EventFramer, StreamOrderError
from hopstep.domain.exchanges.request import ExchangeRequest, Headers
from hopstep.domain.exchanges.selection import Candidate
from hopstep.domain.exchanges.serving import RequestKind
from hopstep.exceptions import ErrorCode, Execution
from hopstep.ports.exchange_front import ClientAnswer
from hopstep.ports.instance_calls import InstanceAnswer, InstanceCallError
from hopstep.services.exchanges.requests.exchange_parts import (
    MILLISECONDS,
    CompleteResponse,
    ExchangeOutcome,
)

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses by which clients are told that their request has not run."""

FIRST_FAILURE_STATUS = 500
FIRST_SUCCESS_STATUS = 200
LAST_SUCCESS_STATUS = 299
MAX_ANSWER_BYTES = 16 * 1024 * 1024


class AnswerRelay:
    """Relays one request's response, over all of its attempts.

    Attributes:
        started: Whether the response head is counted as delivered.
        finished: Whether the complete response is counted as delivered.
        failure: Latest failure response of an instance, sent if no attempt does better.
    """

    def __init__(
        self, request: ExchangeRequest, answer: ClientAnswer, outcome: ExchangeOutcome
    ) -> None:
        """Create the relay of one request.

        Args:
            request: The request.
            answer: Writes the response to the client.
            outcome: Records times, number of events and the status.
        """
        self.started = False
        self.finished = False
        self.failure: CompleteResponse | None = None
        self._request = request
        self._answer = answer
        self._outcome = outcome
        self._framer = EventFramer(_event_number(request.resume_after))

    @property
    def resume_after(self) -> str:
        """Id of the last event that the client has received; empty for none."""
        last_id = self._framer.last_id
        return str(last_id) if last_id is not None else self._request.resume_after

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
        if self._is_stream(answer):
            await self._relay_stream(candidate, answer, sent_at)
        else:
            await self._relay_complete(candidate, answer, sent_at)

    async def send_failure(self) -> bool:
        """Send the recorded failure response; return False when there is none to send."""
        if self.failure is None or self.started:
            return False
        await self._send_complete(self.failure)
        return True

    def _is_stream(self, answer: InstanceAnswer) -> bool:
        """Return whether a response is relayed event by event."""
        successful = FIRST_SUCCESS_STATUS <= answer.status <= LAST_SUCCESS_STATUS
        return successful and self._request.route.kind is RequestKind.STREAM

    async def _relay_stream(
        self, candidate: Candidate, answer: InstanceAnswer, sent_at: float
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
                view.first_byte(request_id, candidate.uncached_tokens, now, shows_speed=True)
                view.succeeded(now - sent_at)
            view.note_chunk(request_id, now)
            await self._send_events(answer, data)
            view.expect_chunk(request_id, trio.current_time())
        view.end_stream(request_id)
        if self._framer.has_partial or not self.started:
            raise InstanceCallError(
                ErrorCode.STREAM_INTERRUPTED, "the stream ended within an event", Execution.UNKNOWN
            )
        self._outcome.events = self._framer.events
        self._outcome.outcome = str(answer.status)
        self.finished = True
        with trio.CancelScope(shield=True):
            await self._answer.finish()

    async def _send_events(self, answer: InstanceAnswer, data: bytes) -> None:
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
        with trio.CancelScope(shield=True):
            if not self.started:
                await self._start(answer.status, answer.headers, None)
            await self._answer.send(complete)

    async def _relay_complete(
        self, candidate: Candidate, answer: InstanceAnswer, sent_at: float
    ) -> None:
        """Read a response to its end and send it, unless another attempt may do better."""
        body = bytearray()
        async for data in answer.body():
            body += data
            if len(body) > MAX_ANSWER_BYTES:
                raise InstanceCallError(
                    ErrorCode.EXECUTION_UNKNOWN, "the answer is too long", Execution.UNKNOWN
                )
        now = trio.current_time()
        candidate.view.first_byte(self._request.request_id, candidate.uncached_tokens, now)
        if answer.status in NOT_RUN_STATUSES:
            raise InstanceCallError(
                ErrorCode.EXECUTION_UNKNOWN,
                f"status {answer.status} without proof that the request has not run",
                Execution.UNKNOWN,
            )
        complete = CompleteResponse(answer.status, answer.headers, bytes(body))
        if self.started or answer.status >= FIRST_FAILURE_STATUS:
            self.failure = complete
            raise InstanceCallError(
                ErrorCode.RETRIES_EXHAUSTED,
                f"the instance answered {answer.status}",
                Execution.UNKNOWN,
            )
        if FIRST_SUCCESS_STATUS <= answer.status <= LAST_SUCCESS_STATUS:
            self._require_signed(answer)
        candidate.view.succeeded(now - sent_at)
        await self._send_complete(complete)

    def _require_signed(self, answer: InstanceAnswer) -> None:
        """Raise unless a successful response carries its instance's signature."""
        if not answer.signed:
            raise InstanceCallError(
                ErrorCode.EXECUTION_UNKNOWN, "the answer isn't signed", Execution.UNKNOWN
            )

    async def _send_complete(self, complete: CompleteResponse) -> None:
        """Send a complete response, all of it or nothing."""
        self.finished = True
        with trio.CancelScope(shield=True):
            await self._start(complete.status, complete.headers, len(complete.body))
            await self._answer.send(complete.body)
            self._outcome.outcome = str(complete.status)
            await self._answer.finish()

    async def _start(self, status: int, headers: Headers, length: int | None) -> None:
        """Send the head of the response."""
        self.started = True
        elapsed = trio.current_time() - self._request.received_at
        self._outcome.first_byte_ms = round(elapsed * MILLISECONDS)
        await self._answer.start(status, headers, length)


def _event_number(text: str) -> int | None:
    """Return the event number in a ``Last-Event-Id`` header, or None when it has none."""
    return int(text) if text.isdecimal() else None
