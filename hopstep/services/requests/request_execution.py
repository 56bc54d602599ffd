"""Runs the attempts of one request, to a complete answer or an error with its proved execution."""

from __future__ import annotations

import msgspec
import trio

from hopstep.domain.attempts import Action, AttemptState, Decision, RequestSnapshot, decide_next
from hopstep.domain.blocks import count_tokens
from hopstep.domain.configuration.index import ConfigurationIndex
from hopstep.domain.inference import InferenceRequest
from hopstep.domain.retry_budget import RetryBudget
from hopstep.exceptions import ErrorCode, Execution, ServiceError
from hopstep.log_events.requests import (
    ATTEMPT_INTERRUPTED,
    ATTEMPT_RETRIED,
    HEDGE_STARTED,
    REQUEST_FAILED,
)
from hopstep.logs import emit
from hopstep.ports.engine import AttemptStatus, EnginePort, TokenFrame
from hopstep.services.configuration.holder import ConfigurationHolder
from hopstep.services.engine_calls import fence_attempt, probe_engine
from hopstep.services.requests.answer_progress import AnswerProgress
from hopstep.services.requests.attempt import Attempt
from hopstep.services.requests.attempt_closer import AttemptCloser
from hopstep.services.requests.attempt_factory import AttemptFactory
from hopstep.services.requests.attempt_runner import AttemptRunner
from hopstep.services.requests.engine_terminations import EngineTerminations
from hopstep.services.requests.hedging import HedgedRace
from hopstep.services.requests.request_metrics import AttemptKind, RequestMetrics
from hopstep.services.requests.request_state import RequestState

BACKOFF_SECONDS = 0.05
"""Wait before the second resume or retry in a row; doubles with each further one."""

MAX_BACKOFF_SECONDS = 5.0

MIN_RETRY_AFTER_SECONDS = 1.0

RESUMABLE_STATUSES = (AttemptStatus.QUEUED, AttemptStatus.RUNNING, AttemptStatus.FINISHED)
"""Statuses of attempts whose stream an engine still holds."""

MESSAGES = {
    ErrorCode.DEADLINE_EXCEEDED: "the answer wasn't whole before the deadline",
    ErrorCode.STREAM_INTERRUPTED: "the answer was cut off and can't be continued",
    ErrorCode.EXECUTION_UNKNOWN: "the engine was lost, and the request may have run",
    ErrorCode.RETRIES_EXHAUSTED: "no attempt was answered",
    ErrorCode.OVERLOADED: "the engines are overloaded",
}


class ExecutionContext(msgspec.Struct, frozen=True):
    """Services shared by all requests of a router.

    Attributes:
        port: Calls to engines.
        holder: Configuration in force.
        factory: Prepares attempts.
        runner: Runs them.
        budget: Limits retries to a share of first attempts.
        metrics: Counts attempts and cached tokens.
        terminations: Terminations of engines under requests.
    """

    port: EnginePort
    holder: ConfigurationHolder
    factory: AttemptFactory
    runner: AttemptRunner
    budget: RetryBudget
    metrics: RequestMetrics
    terminations: EngineTerminations


class RequestExecution:
    """The execution of one request.

    Args:
        context: Shared services.
        request: The request.
        progress: Takes the tokens of the answer.
        closer: Closes attempts.
    """

    def __init__(
        self,
        context: ExecutionContext,
        request: InferenceRequest,
        progress: AnswerProgress,
        closer: AttemptCloser,
    ) -> None:
        self._context = context
        self._request = request
        self._progress = progress
        self._closer = closer
        self._state = RequestState(request, progress)

    async def run(self) -> None:
        """Deliver the complete answer.

        Raises:
            ServiceError: When it can't be completed; the code and ``execution`` are as proved.
        """
        try:
            with trio.move_on_at(self._request.deadline) as scope:
                await self._run_attempts()
            if scope.cancelled_caught:
                raise self._failure(ErrorCode.DEADLINE_EXCEEDED, self._state.proved())
        finally:
            self._close_attempt()
            self._context.terminations.note_finished(self._request)

    async def _run_attempts(self) -> None:
        """Run attempts until one finishes the answer."""
        await self._first_attempt()
        while True:
            attempt = self._state.require_attempt()
            decision = decide_next(self._snapshot())
            if decision.action is Action.FINISH or self._progress.finish_if_complete(
                attempt.engine_name
            ):
                self._context.terminations.note_complete_response(self._request)
                return
            self._log_interruption(attempt)
            await self._execute(decision, attempt)

    async def _execute(self, decision: Decision, attempt: Attempt) -> None:
        """Execute the decision after an attempt that didn't finish."""
        if decision.action is Action.FAIL:
            raise self._failure(decision.code, decision.execution)
        if decision.action is Action.RESUME:
            await self._resume(attempt)
        elif decision.action is Action.SETTLE:
            await self._settle(attempt)
        else:
            await self._dispatch_again(decision.action)

    async def _first_attempt(self) -> None:
        """Dispatch the first attempt, with a hedge if the class has hedging."""
        attempt = await self._prepare()
        index = self._index()
        self._context.metrics.count_attempt(AttemptKind.FIRST)
        self._context.budget.record_first_attempt(index.configuration.routing.retry_ratio)
        hedge_after = self._state.hedge_after(index)
        if hedge_after <= 0:
            await self._dispatch(attempt)
            return
        race = HedgedRace(self._context.runner.dispatch, self._deliver, hedge_after, self._hedge)
        self._state.attempt, other = await race.race(attempt)
        if other is not None:
            self._state.record_abandoned(other)
            self._closer.close(other)
        await self._handle_failure(self._state.require_attempt())

    async def _hedge(self, first: Attempt) -> Attempt | None:
        """Return a hedge for a slow first attempt, if it is decided on and an engine is free."""
        if decide_next(self._snapshot()).action is not Action.HEDGE:
            return None
        if self._context.terminations.is_refused(self._request):
            return None
        tried = frozenset({first.engine_name})
        second = self._context.factory.prepare_hedge(self._request, tried)
        if second is None:
            return None
        self._context.budget.take(trio.current_time())
        self._state.attempts += 1
        self._context.metrics.count_attempt(AttemptKind.HEDGE)
        request_id = self._request.request_id
        emit(HEDGE_STARTED, request_id=request_id, engine=second.engine_name)
        return second

    async def _dispatch_again(self, action: Action) -> None:
        """Dispatch a new attempt at another engine, after the tokens delivered so far."""
        if not self._state.require_attempt().progressed:
            self._context.budget.take(trio.current_time())
        attempts = self._state.attempts
        emit(
            ATTEMPT_RETRIED,
            request_id=self._request.request_id,
            action=action.value,
            attempts=attempts,
        )
        await self._context.terminations.settle(self._request, self._state.require_attempt())
        self._close_attempt()
        if attempts > 1:
            await trio.sleep(_backoff(attempts - 2))
        attempt = await self._prepare(further=True)
        self._context.metrics.count_attempt(AttemptKind(action.value))
        await self._dispatch(attempt)

    async def _prepare(self, further: bool = False) -> Attempt:
        """Wait for a slot at an engine and make the attempt the current one."""
        state = self._state
        try:
            terminations = await self._context.terminations.require_allowed(self._request)
            attempt = await self._context.factory.prepare(
                self._request, self._progress.tokens, state.tried, further
            )
            state.begin(attempt)
            # Engines may have terminated under the request while it waited for a slot.
            self._context.terminations.require_no_more(self._request, terminations)
        except ServiceError as error:
            raise self._for_all_attempts(error) from error
        return attempt

    async def _dispatch(self, attempt: Attempt) -> None:
        """Dispatch an attempt and handle its failure, if any."""
        await self._context.runner.dispatch(attempt, self._deliver)
        await self._handle_failure(attempt)

    async def _resume(self, attempt: Attempt) -> None:
        """Resume the stream at the same incarnation."""
        if attempt.fruitless_resumes:
            await trio.sleep(_backoff(attempt.fruitless_resumes - 1))
        self._context.metrics.count_attempt(AttemptKind.RESUME)
        await self._context.runner.resume(attempt, self._deliver)
        await self._handle_failure(attempt)

    async def _settle(self, attempt: Attempt) -> None:
        """Prove that the attempt never starts, or determine that its stream can be resumed."""
        attempt.settled = True
        if not attempt.incarnation:
            return
        status = await fence_attempt(
            self._context.port, attempt.address, attempt.nonce, attempt.incarnation
        )
        if status is AttemptStatus.NOT_SEEN:
            attempt.state = AttemptState.NOT_RUN
        attempt.stream_lost = status not in RESUMABLE_STATUSES

    async def _handle_failure(self, attempt: Attempt) -> None:
        """Record a failed attempt, and probe whether its engine still has the same incarnation."""
        if attempt.state is AttemptState.DONE:
            return
        if attempt.state is AttemptState.NOT_RUN and attempt.cause is ErrorCode.OVERLOADED:
            self._context.factory.record_overloaded(attempt)
            return
        table = self._context.factory.table
        if attempt.cause is ErrorCode.PRECONDITION_FAILED:
            table.record_precondition_failed(attempt.address, trio.current_time())
        self._context.terminations.note_interrupted(self._request, attempt)
        facts = await probe_engine(self._context.port, attempt.address)
        attempt.engine_answers = facts is not None
        if facts is None:
            self._context.terminations.note_unresponsive(self._request, attempt)
            table.record_failure(attempt.address, trio.current_time())
            return
        table.update_facts(attempt.address, facts, trio.current_time())
        if attempt.incarnation and facts.incarnation != attempt.incarnation:
            attempt.stream_lost = True

    async def _deliver(self, attempt: Attempt, frame: TokenFrame, tokens: tuple[str, ...]) -> None:
        """Deliver new tokens to the caller."""
        if not attempt.answered:
            self._context.terminations.note_answer(attempt)
            cached = self._progress.note_first_frame(frame)
            self._context.metrics.count_answered(count_tokens(attempt.request.prompt), cached)
            self._context.factory.table.record_first_token(
                attempt.nonce, frame.incarnation, cached, trio.current_time()
            )
        await self._progress.deliver(attempt.engine_name, frame, tokens)

    def _index(self) -> ConfigurationIndex:
        """Return the index of the configuration in force."""
        return self._context.holder.require_index()

    def _snapshot(self) -> RequestSnapshot:
        """Return the state that the next decision depends on."""
        return self._state.snapshot(self._index(), self._context.budget)

    def _close_attempt(self) -> None:
        """Close the current attempt, if there is one."""
        attempt = self._state.take_attempt()
        if attempt is not None:
            if attempt.state is AttemptState.RUNNING:
                self._context.terminations.note_interrupted(self._request, attempt)
            self._closer.close(attempt)

    def _for_all_attempts(self, error: ServiceError) -> ServiceError:
        """Return the refusal of an attempt as the error of the request with all its attempts."""
        if self._state.proved() is Execution.NOT_RUN:
            return error
        if self._progress.delivered_tokens:
            return self._failure(ErrorCode.STREAM_INTERRUPTED, Execution.UNKNOWN)
        return ServiceError(
            error.code,
            error.message,
            field=error.field,
            execution=Execution.UNKNOWN,
            retry_after_seconds=error.retry_after_seconds,
        )

    def _failure(self, code: ErrorCode, execution: Execution) -> ServiceError:
        """Return the error that ends the request."""
        emit(
            REQUEST_FAILED,
            request_id=self._request.request_id,
            code=code.value,
            execution=execution.value,
            attempts=self._state.attempts,
        )
        attempt = self._state.attempt
        retry_after = attempt.retry_after_seconds if attempt is not None else 0.0
        return ServiceError(
            code,
            MESSAGES.get(code, "the request failed"),
            execution=execution,
            retry_after_seconds=max(MIN_RETRY_AFTER_SECONDS, retry_after),
        )

    def _log_interruption(self, attempt: Attempt) -> None:
        """Log an attempt that didn't finish."""
        emit(
            ATTEMPT_INTERRUPTED,
            request_id=self._request.request_id,
            engine=attempt.engine_name,
            nonce=attempt.nonce,
            state=attempt.state.value,
            code=attempt.cause.value,
            delivered_tokens=self._progress.delivered_tokens,
        )


def _backoff(exponent: int) -> float:
    """Return a wait in seconds that doubles with each step, bounded."""
    return min(MAX_BACKOFF_SECONDS, BACKOFF_SECONDS * 2.0**exponent)
