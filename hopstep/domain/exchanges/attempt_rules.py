"""What follows an attempt that gave no whole answer."""

from __future__ import annotations

import enum

import msgspec

from hopstep.exceptions import Execution

MIN_REMAINING_SECONDS = 0.05
"""Less time than this isn't worth another attempt."""


class NextStep(enum.StrEnum):
    """What to do next."""

    RETRY = "retry"
    RESUME = "resume"
    REFUSE = "refuse"
    ANSWER_UNKNOWN = "answer_unknown"
    CUT = "cut"


class ExchangeProgress(msgspec.Struct, frozen=True):
    """How far a request has come.

    Attributes:
        idempotent: Whether it may run more than once.
        resumable: Whether its stream may go on at another instance.
        answer_started: Whether the head of an answer went to the client.
        last: What is known of the last attempt's execution.
        may_have_run: Whether any attempt may have run.
        attempts: Attempts of which a byte was sent.
        max_attempts: Most of these.
        within_budget: Whether the retry budget allows another one.
        remaining_seconds: Time to the deadline.
    """

    idempotent: bool
    resumable: bool
    answer_started: bool
    last: Execution
    may_have_run: bool
    attempts: int
    max_attempts: int
    within_budget: bool
    remaining_seconds: float


def decide_step(progress: ExchangeProgress) -> NextStep:
    """Return what to do after an attempt without a whole answer."""
    another = (
        progress.attempts < progress.max_attempts
        and progress.remaining_seconds > MIN_REMAINING_SECONDS
        and (progress.within_budget or progress.attempts == 0)
    )
    if progress.answer_started:
        return NextStep.RESUME if progress.resumable and another else NextStep.CUT
    if progress.may_have_run:
        if progress.idempotent and another:
            return NextStep.RETRY
        return NextStep.ANSWER_UNKNOWN
    return NextStep.RETRY if another else NextStep.REFUSE
