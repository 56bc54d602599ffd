"""State of an attempt at an engine, and the next action when it is interrupted.

A request makes one or more attempts, each with its own nonce. ``decide_next`` takes a snapshot
of the request and returns one action, without side effects:

* a repeatable request resumes where the engine still has the stream; otherwise it is retried at
  another engine if nothing was delivered, or continued there after the delivered tokens;
* a request that must run at most once resumes at the same incarnation only, and is dispatched
  again only when it is proved that no earlier attempt ran.
"""

from __future__ import annotations

import enum

import msgspec

from hopstep.exceptions import ErrorCode, Execution

MAX_ATTEMPTS = 5
"""Dispatches of one request, the first one included."""

MAX_FRUITLESS_RESUMES = 2
"""Consecutive resumes without a new token before a repeatable request goes to another engine."""

MAX_FRUITLESS_RESUMES_ONCE = 6
"""The same for a request that must run at most once, which no other engine may serve."""


class AttemptState(enum.StrEnum):
    """Proved state of an attempt."""

    NOT_RUN = "not_run"
    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"


class FrameVerdict(enum.StrEnum):
    """What to do with a frame."""

    ACCEPT = "accept"
    DUPLICATE = "duplicate"
    FOREIGN = "foreign"
    GAP = "gap"


class FrameCheck(msgspec.Struct, frozen=True):
    """Result of checking one frame.

    Attributes:
        verdict: Accept, drop (duplicate or foreign) or interrupt the stream (gap).
        skip: Leading tokens of an accepted frame that were delivered before.
    """

    verdict: FrameVerdict
    skip: int = 0


class FrameChecker:
    """Accepts each token of one attempt exactly once and in order.

    Args:
        nonce: Nonce of the attempt.
        next_sequence: Index of the next token to deliver.
        incarnation: Incarnation that must send the frames; empty to take that of the first one.
    """

    def __init__(self, nonce: str, next_sequence: int, incarnation: str = "") -> None:
        self.nonce = nonce
        self.next_sequence = next_sequence
        self.incarnation = incarnation

    def check(
        self, nonce: str, incarnation: str, sequence: int, token_count: int, last: bool
    ) -> FrameCheck:
        """Return the verdict on a frame, and advance past it if it is accepted.

        Args:
            nonce: Nonce that the frame carries.
            incarnation: Incarnation that the frame carries.
            sequence: Index of its first token in the answer.
            token_count: Number of its tokens.
            last: Whether the frame ends the stream.
        """
        if nonce != self.nonce:
            return FrameCheck(FrameVerdict.FOREIGN)
        if self.incarnation and incarnation != self.incarnation:
            return FrameCheck(FrameVerdict.FOREIGN)
        if sequence > self.next_sequence:
            return FrameCheck(FrameVerdict.GAP)
        end = sequence + token_count
        if end < self.next_sequence or (end == self.next_sequence and token_count and not last):
            return FrameCheck(FrameVerdict.DUPLICATE)
        skip = self.next_sequence - sequence
        self.incarnation = incarnation
        self.next_sequence = end
        return FrameCheck(FrameVerdict.ACCEPT, skip)


class RequestSnapshot(msgspec.Struct, frozen=True):
    """Input to a decision about a request.

    Attributes:
        now: Time in seconds.
        deadline: Time after which the answer is useless.
        repeatable: Whether the request may run more than once.
        state: Proved state of the latest attempt.
        cause: Why the latest attempt was interrupted.
        delivered_tokens: Tokens of the answer that were delivered to the caller.
        earlier_ran: Whether an attempt before the latest one may have run.
        resumable: Whether the engine may still have the stream: its incarnation is known and
            it hasn't reported that the stream is gone.
        engine_answers: Whether the engine answered the last call to it.
        still_placed: Whether the engine may still hold the tenant's data.
        fruitless_resumes: Consecutive resumes without a new token.
        settled: Whether a cancel was already sent to prove what happened.
        attempts: Dispatches so far.
        progressed: Whether the latest attempt delivered tokens of its own: continuing at another
            engine then needs no retry budget, as the lost engine did answer.
        retry_allowed: Whether the retry budget allows a retry.
        hedge_after: Seconds to wait for a first token before a second attempt; 0 for never.
        waited: Seconds since the running attempt was dispatched.
    """

    now: float
    deadline: float
    repeatable: bool
    state: AttemptState
    cause: ErrorCode = ErrorCode.STREAM_INTERRUPTED
    delivered_tokens: int = 0
    earlier_ran: bool = False
    resumable: bool = False
    engine_answers: bool = True
    still_placed: bool = True
    fruitless_resumes: int = 0
    settled: bool = False
    attempts: int = 1
    progressed: bool = False
    retry_allowed: bool = True
    hedge_after: float = 0.0
    waited: float = 0.0


class Action(enum.StrEnum):
    """What to do next with a request."""

    WAIT = "wait"
    HEDGE = "hedge"
    FINISH = "finish"
    RESUME = "resume"
    CONTINUE = "continue"
    RETRY = "retry"
    SETTLE = "settle"
    FAIL = "fail"


class Decision(msgspec.Struct, frozen=True):
    """An action; for a failure also its cause and what is proved about execution.

    Attributes:
        action: What to do.
        code: Code of a failure.
        execution: What is proved about the request's execution, for a failure.
    """

    action: Action
    code: ErrorCode = ErrorCode.INTERNAL
    execution: Execution = Execution.UNKNOWN


def decide_next(snapshot: RequestSnapshot) -> Decision:
    """Return the next action for a request.

    Args:
        snapshot: State of the request and its latest attempt. ``RUNNING`` means that the
            stream is open; an interrupted stream is ``UNKNOWN``.
    """
    if snapshot.state is AttemptState.DONE:
        return Decision(Action.FINISH)
    if snapshot.now >= snapshot.deadline:
        return _fail(snapshot, ErrorCode.DEADLINE_EXCEEDED)
    if snapshot.state is AttemptState.RUNNING:
        return Decision(Action.HEDGE if _hedge_is_due(snapshot) else Action.WAIT)
    if snapshot.state is AttemptState.NOT_RUN:
        return _after_not_run(snapshot)
    if _may_resume(snapshot):
        return Decision(Action.RESUME)
    if not snapshot.repeatable:
        return _after_lost_single_run(snapshot)
    return _elsewhere(snapshot)


def proved_execution(snapshot: RequestSnapshot) -> Execution:
    """Return what is proved about the execution of a request over all its attempts."""
    ran = snapshot.earlier_ran or snapshot.delivered_tokens > 0
    if ran or snapshot.state is not AttemptState.NOT_RUN:
        return Execution.UNKNOWN
    return Execution.NOT_RUN


def _hedge_is_due(snapshot: RequestSnapshot) -> bool:
    """Return whether a slow first token justifies a second attempt."""
    return (
        snapshot.repeatable
        and snapshot.hedge_after > 0
        and snapshot.delivered_tokens == 0
        and snapshot.waited >= snapshot.hedge_after
        and snapshot.retry_allowed
    )


def _after_not_run(snapshot: RequestSnapshot) -> Decision:
    """Decide after an attempt that is proved not to have run."""
    if snapshot.earlier_ran and not snapshot.repeatable:
        return _fail(snapshot, ErrorCode.EXECUTION_UNKNOWN)
    return _elsewhere(snapshot)


def _after_lost_single_run(snapshot: RequestSnapshot) -> Decision:
    """Decide when a request that must run at most once can't be resumed."""
    if snapshot.delivered_tokens > 0:
        return _fail(snapshot, ErrorCode.STREAM_INTERRUPTED)
    if not snapshot.settled:
        return Decision(Action.SETTLE)
    return _fail(snapshot, ErrorCode.EXECUTION_UNKNOWN)


def _may_resume(snapshot: RequestSnapshot) -> bool:
    """Return whether to ask the same incarnation for the rest of the stream."""
    if not (snapshot.resumable and snapshot.still_placed):
        return False
    if not snapshot.repeatable:
        return snapshot.fruitless_resumes < MAX_FRUITLESS_RESUMES_ONCE
    return snapshot.engine_answers and snapshot.fruitless_resumes < MAX_FRUITLESS_RESUMES


def _elsewhere(snapshot: RequestSnapshot) -> Decision:
    """Decide between another dispatch and failing, for requests that may run again."""
    allowed = snapshot.retry_allowed or snapshot.progressed
    if snapshot.attempts >= MAX_ATTEMPTS or not allowed:
        return _fail(snapshot, _exhausted_code(snapshot))
    return Decision(Action.CONTINUE if snapshot.delivered_tokens else Action.RETRY)


def _exhausted_code(snapshot: RequestSnapshot) -> ErrorCode:
    """Return the error code for a request without a further attempt."""
    if snapshot.delivered_tokens:
        return ErrorCode.STREAM_INTERRUPTED
    if snapshot.cause is ErrorCode.OVERLOADED:
        return ErrorCode.OVERLOADED
    return ErrorCode.RETRIES_EXHAUSTED


def _fail(snapshot: RequestSnapshot, code: ErrorCode) -> Decision:
    """Return a failure with what is proved about execution."""
    return Decision(Action.FAIL, code, proved_execution(snapshot))
