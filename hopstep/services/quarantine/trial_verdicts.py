"""Whether the single run that a refused request was allowed has shown anything.

It has when it was answered whole, or when an instance that it reached has ended. A run that its
client left, or that reached no instance, shows nothing: it is given back, so that an ordinary
request isn't refused for ten minutes because one client had no patience.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import msgspec
import trio

from hopstep.domain.quarantine.crashes import InstanceProbeResult

VERDICT_SECONDS = 8.0
"""After a run without an answer, for the end of an instance that it reached to be seen: its port is
closed within 0.2 s, its entry lapses after 3.6 s, and both may take twice as long."""

VERDICT_CHECK_SECONDS = 1.0
"""Between two looks for runs that are due."""

Look = Callable[[], Awaitable[InstanceProbeResult]]
"""Looks at an instance once."""

GiveBack = Callable[[bytes], Awaitable[None]]
"""Allows a request one run more."""


class _Trial(msgspec.Struct):
    """One run: the lives of instances that it reached, and when it is judged if it has ended."""

    lives: dict[str, Look | None] = {}
    due_at: float = float("inf")


class TrialVerdicts:
    """Follows this node's trials to their verdicts."""

    def __init__(self) -> None:
        """Follow none."""
        self._trials: dict[bytes, _Trial] = {}
        self._give_back: GiveBack | None = None

    def offer(self, give_back: GiveBack) -> None:
        """Set what allows another run."""
        self._give_back = give_back

    def begin(self, fingerprint: bytes) -> None:
        """Follow a trial that was just claimed."""
        self._trials[fingerprint] = _Trial()

    def note_reached(self, fingerprint: bytes, life: str, look: Look | None) -> None:
        """Note that a trial may have run at an instance, and gave no whole answer there.

        Args:
            fingerprint: The request.
            life: The instance.
            look: Looks whether it has ended; None when nothing but the directory says so.
        """
        trial = self._trials.get(fingerprint)
        if trial is not None:
            trial.lives[life] = look or trial.lives.get(life)

    def end(self, fingerprint: bytes, now: float) -> None:
        """Note that a trial is over."""
        trial = self._trials.get(fingerprint)
        if trial is not None:
            trial.due_at = now + VERDICT_SECONDS

    def forget(self, fingerprint: bytes) -> None:
        """Follow a trial no longer: it has shown something."""
        self._trials.pop(fingerprint, None)

    def note_ended(self, life: str) -> None:
        """Note the end of an instance: trials that reached it have shown something."""
        for fingerprint, trial in list(self._trials.items()):
            if life in trial.lives:
                self.forget(fingerprint)

    async def run(self) -> None:
        """Give back runs that have shown nothing, until cancelled."""
        while True:
            await trio.sleep(VERDICT_CHECK_SECONDS)
            now = trio.current_time()
            due = [name for name, trial in self._trials.items() if now >= trial.due_at]
            for fingerprint in due:
                await self._judge(fingerprint)

    async def _judge(self, fingerprint: bytes) -> None:
        """Give a run back, unless an instance that it reached may have ended under it."""
        trial = self._trials.pop(fingerprint)
        for look in trial.lives.values():
            if look is not None and await look() is not InstanceProbeResult.ANSWERS:
                return
        if self._give_back is not None:
            await self._give_back(fingerprint)
