"""State of one request, and the snapshot of it that decisions are based on."""

from __future__ import annotations

import trio

from hopstep.domain.attempts import AttemptState, RequestSnapshot
from hopstep.domain.configuration.index import ConfigurationIndex
from hopstep.domain.inference import InferenceRequest
from hopstep.domain.requests_in_force import may_hold_answer
from hopstep.domain.retry_budget import RetryBudget
from hopstep.exceptions import ErrorCode, Execution
from hopstep.services.requests.answer_progress import AnswerProgress
from hopstep.services.requests.attempt import Attempt


class RequestState:
    """State of one request: its current attempt and the outcome of the earlier ones.

    Args:
        request: The request.
        progress: Tokens of the answer that its caller has received.

    Attributes:
        attempt: The current attempt; None while one is being prepared.
        attempts: Dispatches so far.
        earlier_ran: Whether an attempt before the current one may have run.
        tried: Names of engines that failed it.
    """

    def __init__(self, request: InferenceRequest, progress: AnswerProgress) -> None:
        self.request = request
        self.progress = progress
        self.attempt: Attempt | None = None
        self.attempts = 0
        self.earlier_ran = False
        self.tried: frozenset[str] = frozenset()

    def begin(self, attempt: Attempt) -> None:
        """Make a newly prepared attempt the current one."""
        self.attempt = attempt
        self.attempts += 1

    def require_attempt(self) -> Attempt:
        """Return the current attempt; there is one between dispatch and close."""
        assert self.attempt is not None  # noqa: S101 - see above
        return self.attempt

    def take_attempt(self) -> Attempt | None:
        """Remove and return the current attempt.

        Later attempts avoid its engine, unless the engine merely has another incarnation now.
        """
        attempt, self.attempt = self.attempt, None
        if attempt is None:
            return None
        self.record_abandoned(attempt)
        if attempt.cause is not ErrorCode.PRECONDITION_FAILED:
            self.tried |= {attempt.engine_name}
        return attempt

    def record_abandoned(self, attempt: Attempt) -> None:
        """Record whether an attempt that is given up may have run."""
        self.earlier_ran |= attempt.state is not AttemptState.NOT_RUN

    def proved(self) -> Execution:
        """Return the proved execution over all attempts, also while one is being prepared."""
        if self.attempt is None:
            return Execution.UNKNOWN if self.earlier_ran else Execution.NOT_RUN
        ran = self.earlier_ran or self.attempt.state is not AttemptState.NOT_RUN
        return Execution.UNKNOWN if ran else Execution.NOT_RUN

    def hedge_after(self, index: ConfigurationIndex) -> float:
        """Return the wait for a first token before a hedge, in seconds; 0 for none."""
        request_class = self.request.request_class
        if not (request_class.hedge and request_class.repeatable):
            return 0.0
        return index.configuration.routing.hedge_after_seconds

    def snapshot(self, index: ConfigurationIndex, budget: RetryBudget) -> RequestSnapshot:
        """Return the state that the next decision depends on.

        Args:
            index: Configuration in force.
            budget: Remaining retries.
        """
        attempt = self.require_attempt()
        now = trio.current_time()
        return RequestSnapshot(
            now=now,
            deadline=self.request.deadline,
            repeatable=self.request.request_class.repeatable,
            state=attempt.state,
            cause=attempt.cause,
            delivered_tokens=self.progress.delivered_tokens,
            earlier_ran=self.earlier_ran,
            resumable=attempt.resumable,
            engine_answers=attempt.engine_answers,
            still_placed=may_hold_answer(self.request, index, attempt.engine_name),
            fruitless_resumes=attempt.fruitless_resumes,
            settled=attempt.settled,
            attempts=self.attempts,
            progressed=attempt.progressed,
            retry_allowed=budget.allows(now),
            hedge_after=self.hedge_after(index),
            waited=now - attempt.dispatched_at,
        )
