"""One attempt of a request at one instance, from the first byte sent to the end of the response."""

from __future__ import annotations

import functools
import math
from collections.abc import Callable

import trio

from hopstep.domain.exchanges.request import ExchangeRequest
from hopstep.domain.exchanges.selection import Candidate
from hopstep.domain.exchanges.serving import RequestKind
from hopstep.domain.instance_admission import Purpose
from hopstep.domain.quarantine.crashes import RequestIdentity
from hopstep.exceptions import ErrorCode, Execution
from hopstep.ports.instance_calls import (
    InstanceAnswer,
    InstanceCall,
    InstanceCallError,
    SendProof,
)
from hopstep.services.exchanges.requests.attempts.answer_relay import AnswerRelay
from hopstep.services.exchanges.requests.attempts.response_watchdog import ResponseWatchdog
from hopstep.services.exchanges.requests.exchange_parts import (
    MILLISECONDS,
    UNKNOWN_MS,
    ExchangeOutcome,
    ExchangeParts,
)

NAMING_CHECK_SECONDS = 0.2
"""Time between two checks whether a newer version of the weights was named."""


class InstanceAttempt:
    """Sends a request to the chosen instance and relays the response.

    Attributes:
        proof: Whether a byte may have been sent.
    """

    def __init__(
        self,
        parts: ExchangeParts,
        request: ExchangeRequest,
        name: RequestIdentity,
        relay: AnswerRelay,
        outcome: ExchangeOutcome,
        candidate: Candidate,
        can_go_on: Callable[[], bool],
        *,
        is_stream_begun: bool = False,
    ) -> None:
        """Create an attempt that is sent by ``run``.

        Args:
            parts: Objects that all requests share.
            request: The request.
            name: Fingerprint and route that equal requests share.
            relay: Relays responses to the client.
            outcome: Records what is logged of the attempt.
            candidate: The instance, and the estimated work of the request there.
            can_go_on: Returns whether the request can go on at another instance now.
            is_stream_begun: Whether the request goes on with a stream.
        """
        self.proof = SendProof()
        self._parts = parts
        self._request = request
        self._name = name
        self._relay = relay
        self._outcome = outcome
        self._candidate = candidate
        self._can_go_on = can_go_on
        self._view = candidate.view
        self._purpose = self._sending_purpose(is_stream_begun)
        self._has_answered = False
        self._configuration = 0
        self._weights_version = 0
        self._is_taken_back = False
        self._permit = parts.limits.hold(self._view)

    def _sending_purpose(self, is_stream_begun: bool) -> Purpose:
        """Return the purpose of the request right before its first byte is sent."""
        if is_stream_begun and self._view.instance.draining:
            return Purpose.RESUME_SENDING
        leaves = self._view.announced_state.has_announced_leaving
        return Purpose.LAST_SENDING if leaves else Purpose.SENDING

    async def run(self) -> InstanceCallError | None:
        """Make the attempt; return its error, or None after a complete response."""
        view, candidate = self._view, self._candidate
        request_id = self._request.request_id
        now = trio.current_time()
        self._outcome.instance = view.instance.instance_id
        self._outcome.software_version = view.instance.software_version
        self._relay.begin_attempt()
        prompt = self._request.prompt
        used_tokens = prompt.used_tokens(candidate.uncached_tokens) if prompt is not None else 0
        view.begin(
            request_id,
            candidate.work_tokens,
            now,
            used_tokens=used_tokens,
            moves_segments=bool(candidate.source),
        )
        view.segments.record(candidate.keys, now + candidate.read_seconds)
        self._parts.note_sent(candidate)
        self._parts.choice.note_sent(self._request, candidate)
        abandoned = True
        try:
            await self._call()
            abandoned = False
        except InstanceCallError as error:
            abandoned = False
            return error
        finally:
            self._outcome.gateway = self.proof.gateway
            self._outcome.connection = self.proof.connection
            self._outcome.send_number = self.proof.send_number
            view.end(request_id, candidate.work_tokens, used_tokens)
            self._parts.limits.release(view, self._permit)
            if abandoned and self.proof.sent and not self._relay.finished:
                look = functools.partial(self._parts.calls.probe_connection, view.instance)
                self._parts.quarantine.note_abandoned(
                    self._name, view.incarnation, look, self._relay.writing_seconds()
                )
        return None

    async def _call(self) -> None:
        """Send the request and relay its response; errors after a complete response are ignored.

        Raises:
            InstanceCallError: When the response is incomplete.
        """
        async with trio.open_nursery() as nursery:
            watchdog = ResponseWatchdog(
                self._view,
                self._request.request_id,
                self._parts.pauses,
                self._uses_cut_link,
                self._can_go_on,
            )
            if self._request.route.idempotent:
                nursery.start_soon(watchdog.run, nursery.cancel_scope)
            if self._request.prompt is not None and self._shows_begin:
                model = self._request.prompt.model
                nursery.start_soon(self._take_back_late, model, nursery.cancel_scope)
            try:
                await self._exchange()
            except InstanceCallError as error:
                failure: InstanceCallError | None = error
            else:
                failure = None
            nursery.cancel_scope.cancel()
        if self._relay.finished:
            return
        if watchdog.fired and self._has_answered:
            raise InstanceCallError(
                ErrorCode.STREAM_INTERRUPTED, "the stream is silent", Execution.UNKNOWN
            )
        if self._is_taken_back:
            raise self._not_begun()
        if watchdog.fired:
            raise self._silence()
        if failure is not None:
            raise failure

    @property
    def _shows_begin(self) -> bool:
        """Whether a request that hasn't been answered can be taken back.

        A stream is answered when it begins; of other answers only those to repeatable requests can
        be given up, as they may be under way.
        """
        route = self._request.route
        return route.idempotent or route.kind is RequestKind.STREAM

    async def _take_back_late(self, model: str, scope: trio.CancelScope) -> None:
        """Cancel the attempt if it hasn't begun when the engine's weights become too old.

        A newer version may be named while it waits.
        """
        while not self._has_answered:
            now = trio.current_time()
            until = self._parts.choice.begins_until(model, self._weights_version)
            if now >= until:
                self._is_taken_back = True
                scope.cancel()
                return
            await trio.sleep_until(min(until, now + NAMING_CHECK_SECONDS))

    def _not_begun(self) -> InstanceCallError:
        """Return the error of an attempt that was taken back."""
        execution = Execution.UNKNOWN if self.proof.sent else Execution.NOT_RUN
        return InstanceCallError(
            ErrorCode.OVERLOADED,
            "not begun before the weights were too old",
            execution,
            sent=self.proof.sent,
            taken_back=True,
        )

    def _silence(self) -> InstanceCallError:
        """Return the error of an attempt that was cancelled before any response.

        It may still have been waiting for a connection.
        """
        execution = Execution.UNKNOWN if self.proof.sent else Execution.NOT_RUN
        return InstanceCallError(
            ErrorCode.ENGINE_UNREACHABLE,
            "the instance is silent",
            execution,
            sent=self.proof.sent,
        )

    async def _exchange(self) -> None:
        """Open the call and relay its response."""
        view = self._view
        sent_at = trio.current_time()
        async with self._parts.calls.open(self._make_call()) as answer:
            self._has_answered = True
            view.note_received_byte(trio.current_time())
            self._parts.quarantine.note_answer(view.incarnation, sent_at)
            self._record_version(answer)
            try:
                await self._relay.relay(self._candidate, answer, sent_at)
            finally:
                self._record_version(answer)

    def _record_version(self, answer: InstanceAnswer) -> None:
        """Record the weights version that a response names; it may change while a stream runs."""
        if answer.weights_version and self._request.prompt is not None:
            self._view.learn_version(self._request.prompt.model, answer.weights_version)

    def _make_call(self) -> InstanceCall:
        """Return the call to the instance."""
        view, request, candidate = self._view, self._request, self._candidate
        choice, prompt = self._parts.choice, request.prompt
        self._configuration = self._parts.configuration()
        self._weights_version = view.serving_version(prompt.model) if prompt is not None else 0
        self._outcome.read_tokens = candidate.uncached_tokens
        self._outcome.source = candidate.source
        self._outcome.target = choice.push_target(request, view)
        self._outcome.cache_salt = choice.salt(request, view)
        return InstanceCall(
            instance=view.instance,
            request=request,
            remaining_seconds=request.deadline - trio.current_time(),
            priority=request.rank if prompt is not None else None,
            resume_after=self._relay.resume_after,
            expected_version=self._weights_version,
            cache_salt=self._outcome.cache_salt,
            cache_source=candidate.source,
            cache_target=self._outcome.target,
            proof=self.proof,
            on_notice=self._parts.notices.listener(view),
            may_send=self._may_send,
        )

    def _uses_cut_link(self) -> bool:
        """Return whether the attempt was sent directly over a link that is cut by now."""
        return not self.proof.gateway and self._parts.is_link_cut(self._view.instance)

    def _may_send(self) -> bool:
        """Return whether the request may be sent now; counts it as sent under a limit.

        A call is made by one configuration: its tenant, salt and cache stores may have changed
        while it waited for its connection.
        """
        is_outdated = self._parts.configuration() != self._configuration
        if is_outdated or self._parts.is_drained() or not self._parts.sending_view.allows_sending:
            return False
        may_send = self._parts.choice.may_send(self._view, self._purpose)
        if not may_send or not self._permit.use(trio.current_time()):
            return False
        self._note_sending()
        return True

    def _note_sending(self) -> None:
        """Record for the log when the request is sent, and how old the node's view is then."""
        elapsed = trio.current_time() - self._request.received_at
        self._outcome.sent_ms = round(elapsed * MILLISECONDS)
        self._outcome.view_age_ms = _milliseconds(self._parts.view_age())


def _milliseconds(seconds: float) -> int:
    """Return a time in whole milliseconds; ``UNKNOWN_MS`` for an infinite one."""
    return round(seconds * MILLISECONDS) if math.isfinite(seconds) else UNKNOWN_MS
