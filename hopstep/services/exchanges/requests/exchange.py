"""Runs one request: attempts at instances until the response is complete or the request fails."""

from __future__ import annotations

import functools

import trio

from hopstep.domain.exchanges.attempt_rules import (
    ExchangeProgress,
    NextStep,
    UnsentAttempts,
    decide_step,
)
from hopstep.domain.exchanges.instance_scope import InstanceScope
from hopstep.domain.exchanges.instance_view import InstanceView
from hopstep.domain.exchanges.repeat_budget import RepeatBudget
from hopstep.domain.exchanges.request import ExchangeRequest
from hopstep.domain.exchanges.selection import Candidate
from hopstep.domain.quarantine.crashes import TerminationEvidence
from hopstep.domain.quarantine.fingerprint import is_part
from hopstep.exceptions import ErrorCode, Execution, ServiceError
from hopstep.log_events.requests import EXCHANGE_ATTEMPT_FAILED
from hopstep.logs import emit
from hopstep.ports.exchange_front import ClientAnswer
from hopstep.ports.instance_calls import InstanceCallError, SendProof
from hopstep.services.exchanges.requests.attempts.answer_relay import AnswerRelay
from hopstep.services.exchanges.requests.attempts.attempt_failures import note_failure
from hopstep.services.exchanges.requests.attempts.instance_attempt import InstanceAttempt
from hopstep.services.exchanges.requests.attempts.quarantine_gate import QuarantineGate
from hopstep.services.exchanges.requests.exchange_parts import (
    CUT,
    MILLISECONDS,
    ExchangeOutcome,
    ExchangeParts,
)
from hopstep.services.exchanges.requests.queueing.instance_waits import InstanceWaits
from hopstep.services.exchanges.streams.stream_continuation import StreamContinuation

FURTHER_STEPS = (NextStep.RETRY, NextStep.RESUME)
"""Steps that send the request to another instance."""


class Exchange:
    """Runs one request.

    Attributes:
        outcome: What is logged when the request has ended.
        refused_seconds: Remaining time for which the quarantine refuses the request; else 0.
        scope: Which instances may serve its next attempt.
        waits: Its waits for instances.
    """

    def __init__(
        self, parts: ExchangeParts, request: ExchangeRequest, service: str, answer: ClientAnswer
    ) -> None:
        """Create the run of one request.

        Args:
            parts: Objects that all requests share.
            request: The request.
            service: Service that its route chose.
            answer: Writes the response to the client.
        """
        self.outcome = ExchangeOutcome()
        self.refused_seconds = 0.0
        self._parts = parts
        self._request = request
        self.scope = InstanceScope(request, service)
        self._stream = StreamContinuation(parts, self.scope)
        self._relay = AnswerRelay(
            request, answer, self.outcome, parts.queue.recheck, self._stream.note_begun
        )
        self.waits = InstanceWaits(parts, self.scope, self.outcome)
        self._unsent = UnsentAttempts()
        self._may_have_run = False
        self._configuration = request.configuration
        self._gate = QuarantineGate(parts.quarantine, parts.calls, request, self.outcome)
        self._in_flight = SendProof()

    async def run(self) -> None:
        """Send the client a response, or cut it off when it can't be completed.

        Raises:
            ServiceError: When nothing of a response was sent; ``execution`` says whether the
                request may have run.
        """
        with (
            trio.CancelScope(deadline=self._request.deadline) as scope,
            self._parts.cancelled_by_stop(scope),
        ):
            try:
                await self._stream.find_origin()
                self._budget.record_request(self._request.received_at)
                await self._run_attempts()
            finally:
                self._gate.end()
        if scope.cancelled_caught and not self._relay.finished:
            self._may_have_run = self._may_have_run or self._in_flight.sent
            if trio.current_time() < self._request.deadline:
                self._fail(ErrorCode.STOPPING, "the node stops before the answer")
                return
            self._note_unbounded()
            self._fail(ErrorCode.DEADLINE_EXCEEDED, "no whole answer in time")

    def _note_unbounded(self) -> None:
        """Count an answer that hasn't ended by the deadline as a failure, if it may have no end."""
        unbounded = self._relay.unbounded
        if unbounded is None or not unbounded.may_have_no_end():
            return
        if self._parts.pauses.has_just_ended:
            return
        error = InstanceCallError(
            ErrorCode.STREAM_INTERRUPTED, "the answer didn't end in time", Execution.UNKNOWN
        )
        note_failure(self._parts, unbounded.view, error)
        self._log_attempt(unbounded.view, error, NextStep.CUT)

    @property
    def _budget(self) -> RepeatBudget:
        """Retry budget of the service."""
        return self._parts.budgets(self.scope.service)

    async def _run_attempts(self) -> None:
        """Make attempts until the response is complete or no further attempt is allowed."""
        only: str | None = None
        while True:
            if self._parts.is_drained():
                self._fail(ErrorCode.STOPPING, "the node's drain has ended")
                return
            await self._check_again()
            try:
                candidate = await self.waits.acquire(
                    only, self._check_again, started=self._relay.started
                )
            except ServiceError as refusal:
                self._fail(refusal.code, refusal.message)
                return
            if candidate is None and await self.waits.wait_for_opening():
                continue
            if candidate is None:
                self._fail(ErrorCode.OVERLOADED, "no instance may serve the request now")
                return
            error = await self._attempt(candidate)
            if error is None:
                return
            if error.withdrawn:
                self._log_attempt(candidate.view, error, NextStep.RETRY)
                continue
            self._record_failure(candidate.view, error)
            only = self._uncounted_retry(candidate.view, error)
            if only is not None:
                continue
            step = self._next_step(error.execution, self.outcome.attempts.counted)
            self._log_attempt(candidate.view, error, step)
            if step in FURTHER_STEPS:
                await self._gate.settle(candidate.view)
            if step is NextStep.CUT:
                self.outcome.outcome = CUT
                return
            if step is NextStep.REFUSE:
                self._fail(error.code, error.message)
            if step is NextStep.ANSWER_UNKNOWN:
                await self._answer_unknown()
                return
            self._relay.restart()

    async def _check_again(self) -> None:
        """Check whether the request may be sent; called before each attempt and after a wait.

        An answer that has begun goes on by what it began with.
        """
        await self._require_recent_view()
        if self._relay.started:
            return
        await self._refuse_quarantined()
        self._refuse_unproved_key()
        self._readmit()

    async def _require_recent_view(self) -> None:
        """Refuse a request if it isn't known which instances leave."""
        try:
            await self._parts.sending_view.require()
        except ServiceError as error:
            self._fail(error.code, error.message)

    async def _refuse_quarantined(self) -> None:
        """Refuse a request under which too many instances crashed; called before each attempt."""
        refusal = await self._gate.refusal()
        self.refused_seconds = refusal.seconds
        if not refusal.seconds:
            return
        self.outcome.quarantined_for = refusal.fingerprint.hex()
        if is_part(refusal.fingerprint):
            code, subject = ErrorCode.PROMPT_PART_QUARANTINED, "a part of its prompt"
        else:
            code, subject = ErrorCode.REQUEST_QUARANTINED, "this request"
        self._fail(code, f"instances have ended under {subject}")

    def _refuse_unproved_key(self) -> None:
        """Refuse a request whose key may have been revoked since it was admitted.

        Otherwise a node that was suspended between two attempts would make the second one with a
        key that it confirmed long before.
        """
        if self._request.tenant is None:
            return
        try:
            self._parts.require_fresh()
        except ServiceError as error:
            self._fail(error.code, error.message)

    def _readmit(self) -> None:
        """Judge the request again if the configuration has changed since it was last judged."""
        configuration = self._parts.configuration()
        if configuration == self._configuration:
            return
        try:
            self._parts.readmit(self._request, self.scope.service)
        except ServiceError as error:
            self._fail(error.code, error.message)
        self._configuration = configuration

    def _uncounted_retry(self, view: InstanceView, error: InstanceCallError) -> str | None:
        """Return where to retry after a refusal that doesn't count as one of the route's attempts.

        Refusals by a replaced instance, and a second request to the same instance, aren't counted
        as attempts. Both use up retry budget.

        Returns:
            Id of the only instance to retry at, empty for any other one, None when the refusal
            counts.
        """
        where = self._apply_refusal(view, error)
        if where is None or not self._budget.allows(trio.current_time(), self._parts.nodes()):
            return None
        self._budget.record_repeat(trio.current_time())
        self.outcome.attempts.note_uncounted()
        if where:
            self.scope.tried.discard(where)
        self._log_attempt(view, error, NextStep.RETRY)
        return where

    def _apply_refusal(self, view: InstanceView, error: InstanceCallError) -> str | None:
        """Update the view of an instance that refused; returns the same as ``_uncounted_retry``."""
        if error.replaced:
            view.replaced = True
            self._parts.quarantine.note_terminated(view.incarnation, TerminationEvidence.REPLACED)
            return ""
        prompt = self._request.prompt
        if not error.stale_version or prompt is None or view.drop_assumption(prompt.model):
            return None
        if self._parts.choice.assume_newest(self._request, view):
            return view.instance.instance_id
        return None

    async def _attempt(self, candidate: Candidate) -> InstanceCallError | None:
        """Make one attempt; return its error, or None after a complete response."""
        view = candidate.view
        attempt = InstanceAttempt(
            self._parts,
            self._request,
            self._gate.name,
            self._relay,
            self.outcome,
            candidate,
            functools.partial(self._can_go_on, view),
            is_stream_begun=self.scope.origin is not None,
        )
        self._in_flight = attempt.proof
        began_at = trio.current_time()
        error = await attempt.run()
        self._in_flight = SendProof()
        self._parts.queue.recheck()
        if error is not None:
            self._record_attempt(view, error, trio.current_time() - began_at)
            return error
        self._count_sent(view)
        self._gate.note_whole_answer(is_success=self._relay.has_succeeded)
        return None

    def _record_attempt(self, view: InstanceView, error: InstanceCallError, seconds: float) -> None:
        """Count an attempt without a complete response, and have the instance checked.

        An attempt that was withdrawn before it was sent isn't counted: another instance is chosen.

        Args:
            view: The instance.
            error: How the attempt failed.
            seconds: Duration of the attempt.
        """
        if error.withdrawn:
            return
        if error.sent:
            self._count_sent(view)
            self._gate.note_broken(view, error, self._relay.writing_seconds())
        else:
            self._unsent.note(seconds)
        self.scope.tried.add(view.instance.instance_id)

    def _count_sent(self, view: InstanceView) -> None:
        """Count an attempt that was sent."""
        if self.outcome.attempts.counted:
            self._budget.record_repeat(trio.current_time())
        self.outcome.attempts.note_sent()
        self.scope.tried.add(view.instance.instance_id)

    async def _answer_unknown(self) -> None:
        """Send an instance's failure response, or the error that the request may have run."""
        if not await self._relay.send_failure():
            self._fail(ErrorCode.EXECUTION_UNKNOWN, "the request may have run")

    def _fail(self, code: ErrorCode, message: str) -> None:
        """Raise the error that ends the request; when a response has begun, record it as cut."""
        if self._relay.started:
            self.outcome.outcome = CUT
            return
        execution = Execution.UNKNOWN if self._may_have_run else Execution.NOT_RUN
        raise ServiceError(code, message, execution=execution)

    def _record_failure(self, view: InstanceView, error: InstanceCallError) -> None:
        """Update the instance's view after a failed attempt."""
        if error.execution is Execution.UNKNOWN:
            self._may_have_run = True
        note_failure(self._parts, view, error)

    def _can_go_on(self, view: InstanceView) -> bool:
        """Return whether another instance can go on with the request, now under way at one."""
        step = self._next_step(Execution.UNKNOWN, self.outcome.attempts.counted + 1)
        if step not in FURTHER_STEPS:
            return False
        now = trio.current_time()
        others = self._parts.choice.admissible(self.scope)
        return any(other is not view and other.is_usable(now) for other in others)

    def _next_step(self, last: Execution, attempts: int) -> NextStep:
        """Return what to do after an attempt.

        Args:
            last: What is known about the execution of the attempt.
            attempts: Attempts of which at least one byte was sent, this one included.
        """
        step = decide_step(self._progress(last, attempts))
        if step is NextStep.RESUME and self._stream.is_doubtful:
            return NextStep.CUT
        return step

    def _progress(self, last: Execution, attempts: int) -> ExchangeProgress:
        """Return the request's progress, from which the next step is decided."""
        now = trio.current_time()
        route = self._request.route
        others_respond = self._parts.choice.any_responds(self.scope)
        return ExchangeProgress(
            idempotent=route.idempotent,
            resumable=route.resumable and not self._relay.in_parts,
            answer_started=self._relay.started,
            may_have_run=self._may_have_run or last is Execution.UNKNOWN,
            attempts=attempts,
            max_attempts=route.max_attempts,
            may_connect=self._unsent.allow_another(others_respond=others_respond),
            within_budget=self._budget.allows(now, self._parts.nodes()),
            remaining_seconds=self._request.deadline - now,
        )

    def _log_attempt(self, view: InstanceView, error: InstanceCallError, step: NextStep) -> None:
        """Log and count a failed attempt and the next step."""
        self._parts.count_failure(error.code.value, step.value)
        emit(
            EXCHANGE_ATTEMPT_FAILED,
            request_id=self._request.request_id,
            fingerprint=self._gate.name.fingerprint.hex(),
            parts=[part.hex() for part in self._gate.name.parts],
            writing_ms=round(self._relay.writing_seconds() * MILLISECONDS),
            instance=view.instance.instance_id,
            software_version=view.instance.software_version,
            code=error.code.value,
            reason=error.message,
            execution=error.execution.value,
            sent=error.sent,
            gateway=self.outcome.gateway,
            connection=self.outcome.connection,
            send_number=self.outcome.send_number,
            next_step=step.value,
        )
