"""Decides whether the trial of a refused request, a single run, was conclusive.

It was if the request got a complete response, or if an instance that it reached has terminated,
unless that instance went on answering other requests for a while. A trial that its client
abandoned, or that reached no instance, is inconclusive: it is released, so that an ordinary request
isn't refused for ten minutes because one client didn't wait.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import msgspec
import trio

from hopstep.domain.quarantine.crashes import InstanceProbeResult
from hopstep.domain.quarantine.interruptions import ABRUPT_TERMINATION_SECONDS

VERDICT_SECONDS = 8.0
"""Time after a trial without a response until it is judged, for the termination of an instance that
it reached to be seen: its port is closed within 0.2 s, its entry expires after 3.6 s, and both may
take twice as long."""

VERDICT_CHECK_SECONDS = 1.0
"""Time between two checks for trials that are due."""

ProbeInstance = Callable[[], Awaitable[InstanceProbeResult]]
"""Probes an instance once."""

ReleaseTrial = Callable[[bytes], Awaitable[None]]
"""Allows a request another trial."""

NoteConclusive = Callable[[bytes], None]
"""Takes a request whose trial an instance has not outlived."""


class _Reached(msgspec.Struct):
    """An instance that a trial reached.

    Attributes:
        at: When the trial ended there.
        probe: Probes whether the instance has terminated; None when only the directory shows that.
        survived: Whether the instance has answered a request that was sent later.
    """

    at: float
    probe: ProbeInstance | None
    survived: bool = False

    def may_have_terminated(self, now: float) -> bool:
        """Return whether an instance that terminates now may do so because of the trial."""
        return not self.survived or now - self.at <= ABRUPT_TERMINATION_SECONDS


class _Trial(msgspec.Struct):
    """One trial: the instances that it reached, and when it is judged after its end."""

    reached: dict[str, _Reached] = {}
    due_at: float = float("inf")


class TrialVerdicts:
    """Follows this node's trials until their verdicts."""

    def __init__(self) -> None:
        """Start without trials."""
        self._trials: dict[bytes, _Trial] = {}
        self._release: ReleaseTrial | None = None
        self._note_conclusive: NoteConclusive | None = None

    def set_outcomes(self, release: ReleaseTrial, note_conclusive: NoteConclusive) -> None:
        """Set the functions for inconclusive trials, and for those that end instances."""
        self._release = release
        self._note_conclusive = note_conclusive

    def begin(self, fingerprint: bytes) -> None:
        """Follow a trial that was just claimed."""
        self._trials[fingerprint] = _Trial()

    def note_reached(
        self, fingerprint: bytes, instance_incarnation: str, probe: ProbeInstance | None
    ) -> None:
        """Record that a trial may have run at an instance, without a complete response.

        Args:
            fingerprint: Fingerprint of the request.
            instance_incarnation: Incarnation of the instance.
            probe: Probes whether it has terminated; None when only the directory shows that.
        """
        trial = self._trials.get(fingerprint)
        if trial is not None:
            earlier = trial.reached.get(instance_incarnation)
            probe = probe or (earlier.probe if earlier is not None else None)
            trial.reached[instance_incarnation] = _Reached(trio.current_time(), probe)

    def note_answer(self, instance_incarnation: str, sent_at: float) -> None:
        """Record an instance's answer to a request that was sent at a time."""
        for trial in self._trials.values():
            reached = trial.reached.get(instance_incarnation)
            if reached is not None:
                reached.survived = reached.survived or reached.at <= sent_at

    def end(self, fingerprint: bytes, now: float) -> None:
        """Record the end of a trial's run."""
        trial = self._trials.get(fingerprint)
        if trial is not None:
            trial.due_at = now + VERDICT_SECONDS if trial.reached else now

    def forget(self, fingerprint: bytes) -> None:
        """Stop following a trial: it was conclusive."""
        self._trials.pop(fingerprint, None)

    def note_terminated(self, instance_incarnation: str) -> None:
        """Record the termination of an instance: trials that reached it were conclusive."""
        now = trio.current_time()
        for fingerprint, trial in list(self._trials.items()):
            reached = trial.reached.get(instance_incarnation)
            if reached is not None and reached.may_have_terminated(now):
                self.forget(fingerprint)
                self._conclude(fingerprint)

    async def run(self) -> None:
        """Release inconclusive trials until cancelled."""
        while True:
            await trio.sleep(VERDICT_CHECK_SECONDS)
            now = trio.current_time()
            due = [name for name, trial in self._trials.items() if now >= trial.due_at]
            for fingerprint in due:
                await self._judge(fingerprint)

    async def _judge(self, fingerprint: bytes) -> None:
        """Release a trial, unless an instance that it reached may have terminated."""
        trial = self._trials.pop(fingerprint)
        for reached in trial.reached.values():
            if reached.survived or reached.probe is None:
                continue
            if await reached.probe() is not InstanceProbeResult.ANSWERS:
                self._conclude(fingerprint)
                return
        if self._release is not None:
            await self._release(fingerprint)

    def _conclude(self, fingerprint: bytes) -> None:
        """Report that a trial was conclusive."""
        if self._note_conclusive is not None:
            self._note_conclusive(fingerprint)
