"""Attempts of one engine incarnation by nonce, and the nonces that must not start again."""

from __future__ import annotations

from collections import OrderedDict

from emulator.engine.attempts import Attempt, AttemptState
from emulator.engine.config import EngineConfig
from emulator.engine.refusal import EngineRefusalError, refuse
from hopstep.exceptions import ErrorCode, Execution
from hopstep.ports.engine import AttemptStatus, CancelOutcome

_OUTCOMES = {
    AttemptState.FINISHED: CancelOutcome.FINISHED,
    AttemptState.REFUSED: CancelOutcome.NOT_STARTED,
}
_STATUS_OF_OUTCOME = {
    CancelOutcome.NOT_STARTED: AttemptStatus.NOT_SEEN,
    CancelOutcome.CANCELLED: AttemptStatus.CANCELLED,
    CancelOutcome.FINISHED: AttemptStatus.FINISHED,
}


class NonceRegistry:
    """Live attempts, a bounded number of ended ones, and a bounded number of outcomes."""

    def __init__(self, config: EngineConfig) -> None:
        """Start empty."""
        self._config = config
        self._live: dict[str, Attempt] = {}
        self._retained: OrderedDict[str, Attempt] = OrderedDict()
        self._outcomes: OrderedDict[str, CancelOutcome] = OrderedDict()

    def add(self, attempt: Attempt) -> None:
        """Register an accepted attempt."""
        self._live[attempt.nonce] = attempt

    def find(self, nonce: str) -> Attempt | None:
        """Return a live or retained attempt."""
        return self._live.get(nonce) or self._retained.get(nonce)

    def live(self) -> list[Attempt]:
        """Return the attempts that haven't ended."""
        return list(self._live.values())

    def outcome(self, nonce: str) -> CancelOutcome | None:
        """Return the outcome of an ended nonce; None when it is live or was never seen."""
        return self._outcomes.get(nonce)

    def check_new(self, nonce: str) -> None:
        """Refuse a nonce that was accepted or cancelled before, so that it never starts again.

        Raises:
            EngineRefusalError: ``NOT_RUN`` only if the nonce never started.
        """
        if nonce not in self._live and nonce not in self._outcomes:
            return
        never_started = self.outcome(nonce) is CancelOutcome.NOT_STARTED
        raise refuse(
            ErrorCode.ALREADY_CLAIMED,
            "the nonce was seen before",
            nonce=nonce,
            execution=Execution.NOT_RUN if never_started else Execution.UNKNOWN,
        )

    def resumable(self, nonce: str, next_sequence: int) -> Attempt:
        """Return an attempt whose tokens from ``next_sequence`` on can be read.

        Raises:
            EngineRefusalError: When it isn't retained, or has no such token.
        """
        attempt = self.find(nonce)
        if attempt is None:
            raise unproved_refusal(nonce, "the attempt isn't held in this incarnation")
        last = attempt.first_sequence + attempt.token_limit
        if attempt.first_sequence <= next_sequence <= last:
            return attempt
        raise refuse(
            ErrorCode.MALFORMED_REQUEST,
            "next_sequence is outside the attempt",
            nonce=nonce,
            execution=Execution.UNKNOWN,
        )

    def fence(self, nonce: str) -> AttemptStatus:
        """Return the status of a nonce; one that was never seen can never start afterwards."""
        attempt = self._live.get(nonce)
        if attempt is not None:
            waiting = attempt.state is AttemptState.WAITING
            return AttemptStatus.QUEUED if waiting else AttemptStatus.RUNNING
        outcome = self.outcome(nonce)
        if outcome is None:
            self.mark_not_started(nonce)
            return AttemptStatus.NOT_SEEN
        return _STATUS_OF_OUTCOME[outcome]

    def mark_not_started(self, nonce: str) -> None:
        """Record a nonce that was never seen as not started, so that it never starts."""
        self._remember(nonce, CancelOutcome.NOT_STARTED)

    def end(self, attempt: Attempt, outcome: CancelOutcome | None = None) -> None:
        """Move an ended attempt from the live to the retained ones.

        Args:
            attempt: The attempt.
            outcome: Outcome that a later cancel returns; by default it follows from the state.
        """
        del self._live[attempt.nonce]
        self._remember(attempt.nonce, outcome or _OUTCOMES[attempt.state])
        self._retained[attempt.nonce] = attempt
        if len(self._retained) > self._config.retained_attempts:
            self._retained.popitem(last=False)

    def _remember(self, nonce: str, outcome: CancelOutcome) -> None:
        """Store an outcome, and drop the oldest beyond the limit."""
        self._outcomes[nonce] = outcome
        if len(self._outcomes) > self._config.retained_nonces:
            self._outcomes.popitem(last=False)


def unproved_refusal(nonce: str, message: str) -> EngineRefusalError:
    """Return the refusal of a call that proves nothing about an attempt's execution."""
    return refuse(ErrorCode.PRECONDITION_FAILED, message, nonce=nonce, execution=Execution.UNKNOWN)
