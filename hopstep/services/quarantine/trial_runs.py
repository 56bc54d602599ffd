"""Trials at this node: single runs of requests that are refused, so that none is without cause."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

import trio

from hopstep.services.quarantine.trial_verdicts import ProbeInstance, TrialVerdicts

TRIAL_MEMORY_SECONDS = 60.0
"""Time for which a trial is remembered: longer than any run of a request."""


class Trials(Protocol):
    """Claims of trials, over all nodes."""

    def wait_seconds(self, fingerprint: bytes, *, alone: bool) -> float:
        """Return the seconds until a trial may be claimed; infinite when none is left.

        Args:
            fingerprint: The refused subject.
            alone: Whether the request is refused for it only.
        """

    async def claim(self, fingerprint: bytes, *, alone: bool) -> bool:
        """Claim a trial; return whether this node, and no other, may run a request once."""

    async def release_trial(self, fingerprint: bytes) -> None:
        """Allow a subject another trial: the last one was inconclusive."""

    def note_succeeded(self, fingerprint: bytes) -> None:
        """Record that a subject's trial here got a complete response, which releases it."""

    def note_conclusive(self, fingerprint: bytes) -> None:
        """Record that an instance has terminated, or may have, under a subject's trial here."""


class TrialRuns:
    """The trials that this node has claimed lately."""

    def __init__(self) -> None:
        """Start without trials; until ``set_trials`` is called, none is claimed."""
        self._trials: Trials | None = None
        self._verdicts = TrialVerdicts()
        self._tried: dict[bytes, float] = {}

    def set_trials(self, trials: Trials) -> None:
        """Set the source of trials."""
        self._trials = trials
        self._verdicts.set_outcomes(trials.release_trial, trials.note_conclusive)

    async def claim(self, refused: Sequence[bytes]) -> bool:
        """Claim a trial of each subject for which a request is refused; return whether it may run.

        A request that several subjects have refused may not tell which of them is to blame. So the
        last trial of each is kept for a request that only it has refused. If a claim fails, or the
        client leaves, those before it are released, as nothing runs.
        """
        trials, alone = self._trials, len(refused) == 1
        if trials is None or any(trials.wait_seconds(f, alone=alone) > 0 for f in refused):
            return False
        claimed = 0
        try:
            for fingerprint in refused:
                if not await trials.claim(fingerprint, alone=alone):
                    return False
                claimed += 1
        finally:
            if claimed < len(refused):
                self._release_unused(refused[:claimed])
        for fingerprint in refused:
            self._tried[fingerprint] = trio.current_time()
            self._verdicts.begin(fingerprint)
        return True

    def _release_unused(self, claimed: Sequence[bytes]) -> None:
        """Have claimed trials judged as runs that reached no instance."""
        for fingerprint in claimed:
            self._verdicts.begin(fingerprint)
        self.end(claimed)

    def tried(self, fingerprints: Sequence[bytes]) -> list[bytes]:
        """Return those of some subjects that had a trial at this node lately."""
        return [fingerprint for fingerprint in fingerprints if fingerprint in self._tried]

    def note_reached(
        self, fingerprint: bytes, incarnation: str, probe: ProbeInstance | None
    ) -> None:
        """Record that a trial may have run at an instance, without a complete response."""
        self._verdicts.note_reached(fingerprint, incarnation, probe)

    def note_answer(self, incarnation: str, sent_at: float) -> None:
        """Record an instance's answer: trials that it has outlived don't explain its end."""
        self._verdicts.note_answer(incarnation, sent_at)

    def note_terminated(self, incarnation: str) -> None:
        """Record the termination of an instance: trials that reached it were conclusive."""
        self._verdicts.note_terminated(incarnation)

    def end(self, fingerprints: Sequence[bytes]) -> None:
        """Record the end of a trial's run."""
        now = trio.current_time()
        for fingerprint in fingerprints:
            self._verdicts.end(fingerprint, now)

    def succeed(self, fingerprint: bytes) -> bool:
        """Return whether a subject that was answered had a trial, which ends with that."""
        if self._tried.pop(fingerprint, None) is None:
            return False
        self._verdicts.forget(fingerprint)
        if self._trials is not None:
            self._trials.note_succeeded(fingerprint)
        return True

    def expire(self, now: float) -> None:
        """Forget old trials."""
        self._tried = {
            fingerprint: at
            for fingerprint, at in self._tried.items()
            if now - at < TRIAL_MEMORY_SECONDS
        }

    async def run(self) -> None:
        """Release inconclusive trials until cancelled."""
        await self._verdicts.run()
