"""Passes answers of instances on to one client, and knows what the client has of them.

What is counted as handed over is handed over: from the moment of counting no cancellation strikes,
neither of a silent instance's attempt nor at the deadline.
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
    ExchangeOutcome,
    WholeAnswer,
)

PROMISES = frozenset({408, 421, 429, 503})
"""Statuses that say to a client that its request has not run."""

FIRST_FAILURE_STATUS = 500
FIRST_SUCCESS_STATUS = 200
LAST_SUCCESS_STATUS = 299
MAX_ANSWER_BYTES = 16 * 1024 * 1024


class AnswerRelay:
    """Passes on one request's answer, over all of its attempts.

    Attributes:
        started: Whether the head has been counted as handed over.
        finished: Whether the whole answer has.
        failure: An instance's own failure, for want of anything better.
    """

    def __init__(
        self, request: ExchangeRequest, answer: ClientAnswer, outcome: ExchangeOutcome
    ) -> None:
        """Prepare.

        Args:
            request: The request.
            answer: The client's answer.
            outcome: Takes times, events and the status.
        """
        self.started = False
        self.finished = False
        self.failure: WholeAnswer | None = None
        self._request = request
        self._answer = answer
        self._outcome = outcome
        self._framer = EventFramer(_event_number(request.resume_after))

    @property
    def resume_after(self) -> str:
        """Id of the last event that the client has; empty for none."""
        last_id = self._framer.last_id
        return str(last_id) if last_id is not None else self._request.resume_after

    def restart(self) -> None:
        """Forget a partial event: another attempt goes on after the last whole one."""
        self._framer.restart()

    async def relay(self, candidate: Candidate, answer: InstanceAnswer, sent_at: float) -> None:
        """Pass an answer on.

        Args:
            candidate: The instance that gives it.
            answer: Head of the answer.
            sent_at: When the request was sent there.

        Raises:
            InstanceCallError: When the answer isn't whole, or another attempt may do better.
        """
        if self._is_stream(answer):
            await self._relay_stream(candidate, answer, sent_at)
        else:
            await self._relay_whole(candidate, answer, sent_at)

    async def send_failure(self) -> bool:
        """Pass on an instance's own failure; return False when there is none to pass on."""
        if self.failure is None or self.started:
            return False
        await self._send_whole(self.failure)
        return True

    def _is_stream(self, answer: InstanceAnswer) -> bool:
        """Return whether an answer is passed on event by event."""
        successful = FIRST_SUCCESS_STATUS <= answer.status <= LAST_SUCCESS_STATUS
        return successful and self._request.route.kind is RequestKind.STREAM

    async def _relay_stream(
        self, candidate: Candidate, answer: InstanceAnswer, sent_at: float
    ) -> None:
        """Pass events on as they come."""
        self._require_signed(answer)
        view = candidate.view
        first = True
        heard_at = 0.0
        async for data in answer.body():
            now = trio.current_time()
            if not first:
                pause_ms = round((now - heard_at) * MILLISECONDS)
                self._outcome.pause_ms = max(self._outcome.pause_ms, pause_ms)
            heard_at = now
            if first:
                first = False
                view.segments.mark_read(candidate.keys, now)
                view.first_byte(self._request.request_id, candidate.uncached_tokens, now)
                view.succeeded(now - sent_at)
            view.note_received_byte(now)
            await self._send_events(answer, data)
        if self._framer.has_partial or not self.started:
            raise InstanceCallError(
                ErrorCode.STREAM_INTERRUPTED, "the stream ended in an event", Execution.UNKNOWN
            )
        self._outcome.events = self._framer.events
        self._outcome.outcome = str(answer.status)
        self.finished = True
        with trio.CancelScope(shield=True):
            await self._answer.finish()

    async def _send_events(self, answer: InstanceAnswer, data: bytes) -> None:
        """Pass on the events that are whole with ``data``.

        The framer has counted them, so nothing may end the attempt before they are handed over.
        """
        try:
            whole = self._framer.feed(data)
        except StreamOrderError as error:
            raise InstanceCallError(
                ErrorCode.STREAM_INTERRUPTED, str(error), Execution.UNKNOWN
            ) from error
        if not whole:
            return
        with trio.CancelScope(shield=True):
            if not self.started:
                await self._start(answer.status, answer.headers, None)
            await self._answer.send(whole)

    async def _relay_whole(
        self, candidate: Candidate, answer: InstanceAnswer, sent_at: float
    ) -> None:
        """Read an answer to its end and pass it on, unless another attempt may do better."""
        body = bytearray()
        async for data in answer.body():
            body += data
            if len(body) > MAX_ANSWER_BYTES:
                raise InstanceCallError(
                    ErrorCode.EXECUTION_UNKNOWN, "the answer is too long", Execution.UNKNOWN
                )
        now = trio.current_time()
        candidate.view.first_byte(self._request.request_id, candidate.uncached_tokens, now)
        if answer.status in PROMISES:
            raise InstanceCallError(
                ErrorCode.EXECUTION_UNKNOWN,
                f"status {answer.status} without the proof",
                Execution.UNKNOWN,
            )
        whole = WholeAnswer(answer.status, answer.headers, bytes(body))
        if self.started or answer.status >= FIRST_FAILURE_STATUS:
            self.failure = whole
            raise InstanceCallError(
                ErrorCode.RETRIES_EXHAUSTED,
                f"the instance answered {answer.status}",
                Execution.UNKNOWN,
            )
        if FIRST_SUCCESS_STATUS <= answer.status <= LAST_SUCCESS_STATUS:
            self._require_signed(answer)
        candidate.view.succeeded(now - sent_at)
        await self._send_whole(whole)

    def _require_signed(self, answer: InstanceAnswer) -> None:
        """Raise unless a success carries its instance's signature."""
        if not answer.signed:
            raise InstanceCallError(
                ErrorCode.EXECUTION_UNKNOWN, "the answer isn't signed", Execution.UNKNOWN
            )

    async def _send_whole(self, whole: WholeAnswer) -> None:
        """Pass a whole answer on, all of it or nothing."""
        self.finished = True
        with trio.CancelScope(shield=True):
            await self._start(whole.status, whole.headers, len(whole.body))
            await self._answer.send(whole.body)
            self._outcome.outcome = str(whole.status)
            await self._answer.finish()

    async def _start(self, status: int, headers: Headers, length: int | None) -> None:
        """Send the head of the answer."""
        self.started = True
        elapsed = trio.current_time() - self._request.received_at
        self._outcome.first_byte_ms = round(elapsed * MILLISECONDS)
        await self._answer.start(status, headers, length)


def _event_number(text: str) -> int | None:
    """Return the number of an event that a client names, or None."""
    return int(text) if text.isdecimal() else None
