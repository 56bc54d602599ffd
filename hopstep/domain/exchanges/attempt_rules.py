"""Decides how a request goes on after an attempt without a complete response."""

from __future__ import annotations

import enum

import msgspec

MIN_REMAINING_SECONDS = 0.05
"""Seconds; with less time to the deadline no further attempt is made."""

MAX_UNSENT_ATTEMPTS = 3
"""Number of unreachable instances that a request may try whatever is known of the others."""

MAX_UNSENT_SECONDS = 1.0
"""Seconds on unreachable instances after which a request tries no more than that number. Refused
connections take some milliseconds each, silent ones some tenths of a second."""


class UnsentAttempts(msgspec.Struct):
    """Attempts of a request that sent nothing, because the instances couldn't be reached.

    Attributes:
        count: Their number.
        seconds: Time spent on them.
    """

    count: int = 0
    seconds: float = 0.0

    def note(self, seconds: float) -> None:
        """Count an attempt that took some seconds."""
        self.count += 1
        self.seconds += seconds

    def allow_another(self, *, others_respond: bool) -> bool:
        """Return whether another instance may be tried.

        Args:
            others_respond: Whether an instance that wasn't tried isn't known to be unreachable.
        """
        if self.count < MAX_UNSENT_ATTEMPTS:
            return True
        return others_respond and self.seconds < MAX_UNSENT_SECONDS


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
        may_have_run: Whether any attempt may have run.
        attempts: Number of attempts of which at least one byte was sent.
        max_attempts: Highest allowed number of attempts.
        may_connect: Whether another instance may be tried after those that couldn't be reached.
        within_budget: Whether the retry budget allows another attempt.
        remaining_seconds: Seconds to the deadline.
    """

    idempotent: bool
    resumable: bool
    answer_started: bool
    may_have_run: bool
    attempts: int
    max_attempts: int
    may_connect: bool
    within_budget: bool
    remaining_seconds: float


def decide_step(progress: ExchangeProgress) -> NextStep:
    """Return what to do after an attempt without a complete response."""
    another = (
        progress.attempts < progress.max_attempts
        and progress.may_connect
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
