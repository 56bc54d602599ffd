"""One attempt of a request at one instance, from the first byte sent to the end of its answer."""

from __future__ import annotations

import functools

import trio

from hopstep.domain.exchanges.request import ExchangeRequest
from hopstep.domain.exchanges.selection import Candidate
from hopstep.domain.instance_admission import Purpose
from hopstep.domain.quarantine.crashes import RequestName
from hopstep.exceptions import ErrorCode, Execution
from hopstep.ports.instance_calls import (
    InstanceAnswer,
    InstanceCall,
    InstanceCallError,
    SendProof,
)
from hopstep.services.exchanges.requests.answer_relay import AnswerRelay
from hopstep.services.exchanges.requests.exchange_parts import ExchangeOutcome, ExchangeParts
from hopstep.services.exchanges.requests.silence_watchdog import SilenceWatchdog


class InstanceAttempt:
    """Sends a request to the instance that was chosen, and passes the answer on.

    Attributes:
        proof: Whether a byte may have left.
    """

    def __init__(
        self,
        parts: ExchangeParts,
        request: ExchangeRequest,
        name: RequestName,
        relay: AnswerRelay,
        outcome: ExchangeOutcome,
        candidate: Candidate,
    ) -> None:
        """Prepare.

        Args:
            parts: What all requests share.
            request: The request.
            name: What it shares with equal requests.
            relay: Passes answers on to the client.
            outcome: Takes what is told of the attempt.
            candidate: The instance, and what it would mean there.
        """
        self.proof = SendProof()
        self._parts = parts
        self._request = request
        self._name = name
        self._relay = relay
        self._outcome = outcome
        self._candidate = candidate
        self._view = candidate.view
        leaves = self._view.standing.leaves
        self._purpose = Purpose.LAST_SENDING if leaves else Purpose.SENDING
        self._permit = parts.limits.hold(self._view)

    async def run(self) -> InstanceCallError | None:
        """Make the attempt; return what went wrong, or None after a whole answer."""
        view, candidate = self._view, self._candidate
        request_id = self._request.request_id
        now = trio.current_time()
        self._outcome.instance = view.instance.instance_id
        view.begin(request_id, candidate.uncached_tokens, now)
        view.segments.record(candidate.keys, now + candidate.read_seconds)
        self._parts.note_sent(candidate)
        left_midway = True
        try:
            await self._call()
            left_midway = False
        except InstanceCallError as error:
            left_midway = False
            return error
        finally:
            view.end(request_id, candidate.uncached_tokens)
            self._parts.limits.release(view, self._permit)
            if left_midway and self.proof.sent and not self._relay.finished:
                look = functools.partial(self._parts.calls.probe_connection, view.instance)
                self._parts.quarantine.note_left(self._name, view.life, look)
        return None

    async def _call(self) -> None:
        """Send the request and pass its answer on; one that the client has whole stays so.

        Raises:
            InstanceCallError: When the answer isn't whole.
        """
        async with trio.open_nursery() as nursery:
            watchdog = SilenceWatchdog(self._view, self._parts.pauses)
            if self._request.route.idempotent:
                nursery.start_soon(watchdog.run, nursery.cancel_scope)
            try:
                await self._exchange()
            except InstanceCallError as error:
                failure: InstanceCallError | None = error
            else:
                failure = None
            nursery.cancel_scope.cancel()
        if self._relay.finished:
            return
        if watchdog.fired:
            raise InstanceCallError(
                ErrorCode.ENGINE_UNREACHABLE, "the instance is silent", Execution.UNKNOWN
            )
        if failure is not None:
            raise failure

    async def _exchange(self) -> None:
        """Open the call and relay its answer."""
        view = self._view
        sent_at = trio.current_time()
        async with self._parts.calls.open(self._make_call()) as answer:
            view.heard(trio.current_time())
            self._parts.quarantine.note_answer(view.life, sent_at)
            self._learn_version(answer)
            try:
                await self._relay.relay(self._candidate, answer, sent_at)
            finally:
                self._learn_version(answer)

    def _learn_version(self, answer: InstanceAnswer) -> None:
        """Learn the weights that an answer names: under a stream that goes on they may change."""
        if answer.weights_version and self._request.prompt is not None:
            self._view.learn_version(self._request.prompt.model, answer.weights_version)

    def _make_call(self) -> InstanceCall:
        """Return the call."""
        view, request, candidate = self._view, self._request, self._candidate
        choice, prompt = self._parts.choice, request.prompt
        self._outcome.read_tokens = candidate.uncached_tokens
        self._outcome.source = candidate.source
        self._outcome.target = choice.push_target(request, view)
        return InstanceCall(
            instance=view.instance,
            request=request,
            remaining_seconds=request.deadline - trio.current_time(),
            priority=request.rank if prompt is not None else None,
            resume_after=self._relay.resume_after,
            expected_version=view.serving_version(prompt.model) if prompt is not None else 0,
            cache_salt=choice.salt(request, view),
            cache_source=candidate.source,
            cache_target=self._outcome.target,
            proof=self.proof,
            on_notice=self._parts.notices.listener(view),
            may_send=self._may_send,
        )

    def _may_send(self) -> bool:
        """Return whether the request may leave now; counts it as sent under a limit."""
        may_send = self._parts.choice.may_send(self._view, self._purpose)
        return may_send and self._permit.use(trio.current_time())
