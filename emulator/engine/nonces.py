"""Attempts of one engine incarnation by nonce, and the nonces that must not start again."""

from __future__ import annotations

from collections import OrderedDict

from emulator.engine.attempts import Attempt, AttemptState
from emulator.engine.config import EngineConfig
from hopstep.ports.engine import CancelOutcome

_OUTCOMES = {
    AttemptState.FINISHED: CancelOutcome.FINISHED,
    AttemptState.REFUSED: CancelOutcome.NOT_STARTED,
}


class NonceRegistry:
    """Live attempts, a bounded number of ended ones, and outcomes of older nonces."""

    def __init__(self, config: EngineConfig) -> None:
        """Start empty."""
        self._config = config
        self._live: dict[str, Attempt] = {}
        self._retained: OrderedDict[str, Attempt] = OrderedDict()
        self._outcomes: OrderedDict[str, CancelOutcome] = OrderedDict()

    def add(self, attempt: Attempt) -> None:
        """Remember an accepted attempt."""
        self._live[attempt.nonce] = attempt

    def find(self, nonce: str) -> Attempt | None:
        """Return a live or retained attempt."""
        return self._live.get(nonce) or self._retained.get(nonce)

    def live(self) -> list[Attempt]:
        """Return the attempts that haven't ended."""
        return list(self._live.values())

    def outcome(self, nonce: str) -> CancelOutcome | None:
        """Return what became of an ended nonce; None when it is live or was never seen."""
        return self._outcomes.get(nonce)

    def knows(self, nonce: str) -> bool:
        """Return whether the nonce was accepted or cancelled before."""
        return nonce in self._live or nonce in self._outcomes

    def bury(self, nonce: str) -> None:
        """Remember that a nonce never seen was cancelled, so that it never starts."""
        self._remember(nonce, CancelOutcome.NOT_STARTED)

    def end(self, attempt: Attempt, outcome: CancelOutcome | None = None) -> None:
        """Move an attempt that has ended out of the live ones.

        Args:
            attempt: The attempt.
            outcome: What a later cancel is told; by default it follows from the state.
        """
        del self._live[attempt.nonce]
        self._remember(attempt.nonce, outcome or _OUTCOMES[attempt.state])
        self._retained[attempt.nonce] = attempt
        if len(self._retained) > self._config.retained_attempts:
            self._retained.popitem(last=False)

    def _remember(self, nonce: str, outcome: CancelOutcome) -> None:
        """Keep an outcome, and drop the oldest beyond the bound."""
        self._outcomes[nonce] = outcome
        if len(self._outcomes) > self._config.retained_nonces:
            self._outcomes.popitem(last=False)
