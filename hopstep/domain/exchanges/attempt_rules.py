"""Decides how a request goes on after an attempt without a complete response."""

from __future__ import annotations

import enum

import msgspec

from hopstep.exceptions import Execution

MIN_REMAINING_SECONDS = 0.05
"""Seconds; with less time to the deadline no further attempt is made."""


class NextStep(enum.StrEnum):
    """What to do next with a request."""

    RETRY = "retry"
    RESUME = "resume"
    REFUSE = "refuse"
    ANSWER_UNKNOWN = "answer_unknown"
    CUT = "cut"


class ExchangeProgress(msgspec.Struct, frozen=True):
    """Progress of a request over all its attempts.

    Attributes:
        idempotent: Whether it may run more than once.
        resumable: Whether its stream may go on at another instance.
        answer_started: Whether the head of a response was sent to the client.
        last: What is known about the execution of the last attempt.
        may_have_run: Whether any attempt may have run.
        attempts: Number of attempts of which at least one byte was sent.
        max_attempts: Highest allowed number of attempts.
        within_budget: Whether the retry budget allows another attempt.
        remaining_seconds: Seconds to the deadline.
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
    """Return what to do after an attempt without a complete response."""
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
