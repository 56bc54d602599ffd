"""Finds the requests that end instances, and says which are refused because of that.

An answer that breaks off may have many reasons. So the instance is looked at: only one that no
longer listens, has started anew or is no longer listed has ended. Such an end is counted for every
request whose answer broke off there; see ``domain.quarantine.crash_ledger`` for what follows.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterable
from typing import Protocol

import trio

from hopstep import log_events
from hopstep.domain.quarantine.crash_ledger import ENDS_TO_REFUSE, CountedEnd, CrashLedger
from hopstep.domain.quarantine.crash_records import MAX_REQUESTS
from hopstep.domain.quarantine.crashes import (
    EndEvidence,
    InstanceSign,
    RequestCrashes,
    RequestName,
)
from hopstep.logs import emit
from hopstep.services.quarantine.trial_verdicts import Look, TrialVerdicts

LOOKS = 4
LOOK_SPACING_SECONDS = 0.4
"""A look without an answer is repeated: its first packets may be lost, and all nodes should know of
an end within the three seconds that the operators' bound leaves.
"""

MAX_WAITING_LOOKS = 256
SETTLING_SECONDS = 0.4
"""Longest wait for a look before a request goes to another instance."""

HEARING_SECONDS = 0.5
"""After an end that has a request refused midway: for other nodes to tell that they have answered
it. Without this ordinary requests would be given up before their word comes."""

TRIAL_MEMORY_SECONDS = 60.0
"""Longer than any run of a request."""

EXPIRY_SECONDS = 5.0
"""Between two looks for what is too old."""

LOGGED_FROM_ENDS = 2
"""One end says nothing about a request: most of those that it broke off just were there."""

ABRUPT = frozenset({EndEvidence.REFUSED, EndEvidence.RESTARTED})
"""Evidence of an end at once, with which all answers under way at the instance broke off."""

EXPIRED = "expired"
ANSWERED = "answered"
LIFTED = "lifted"
EXPLAINED = "explained"
"""Another request has ended these instances."""

EndListener = Callable[[str], None]
"""Told a life of an instance that this node, or another one, has seen end."""

SeenListener = Callable[[bytes], None]
"""Told a request of which this node itself has seen something new."""


class Trials(Protocol):
    """Single runs that refused requests are allowed, so that none is refused without cause."""

    def wait_seconds(self, fingerprint: bytes) -> float:
        """Return for how long none may be claimed; infinite when none is left."""

    async def claim(self, fingerprint: bytes) -> bool:
        """Return whether this node, and no other, may run a request once."""

    async def give_back(self, fingerprint: bytes) -> None:
        """Allow a request one run more: the last one has shown nothing."""


class Quarantine:
    """What this node knows of requests that end instances."""

    def __init__(self, node: str) -> None:
        """Know nothing. Must be called inside the event loop.

        Args:
            node: Name of this node.
        """
        self.node = node
        self.changed = trio.Event()
        self._ledger = CrashLedger(node)
        self._names: OrderedDict[bytes, RequestName] = OrderedDict()
        self._refused: set[bytes] = set()
        self._listeners: list[SeenListener] = []
        self._end_listeners: list[EndListener] = []
        self._looking: dict[str, trio.Event] = {}
        self._trials: Trials | None = None
        self._verdicts = TrialVerdicts()
        self._tried: dict[bytes, float] = {}
        self._looks, self._due = trio.open_memory_channel[tuple[str, Look]](MAX_WAITING_LOOKS)

    def subscribe(self, listener: SeenListener) -> None:
        """Tell a listener of what this node sees, so that it can tell others."""
        self._listeners.append(listener)

    def subscribe_terminations(self, listener: EndListener) -> None:
        """Tell a listener of instances that have ended under requests, whoever saw it."""
        self._end_listeners.append(listener)

    def offer_trials(self, trials: Trials) -> None:
        """Allow refused requests single runs."""
        self._trials = trials
        self._verdicts.offer(trials.give_back)

    @property
    def is_idle(self) -> bool:
        """Whether nothing counts against any request, so that none needs to be looked up."""
        return self._ledger.is_empty

    @property
    def refused_requests(self) -> int:
        """How many requests are refused now."""
        now = trio.current_time()
        repeated = self._ledger.repeated()
        return sum(self._ledger.refused_seconds(fingerprint, now) > 0 for fingerprint in repeated)

    def refused_seconds(self, fingerprint: bytes) -> float:
        """Return for how much longer a request is refused; 0 when it isn't."""
        return self._ledger.refused_seconds(fingerprint, trio.current_time())

    async def admit(self, fingerprint: bytes) -> float:
        """Return for how much longer a request is refused; 0 when it may be sent to an instance.

        Some time after the last end one node may try a refused request once.
        """
        seconds = self.refused_seconds(fingerprint)
        if not seconds or self._trials is None:
            return seconds
        if await self._trials.claim(fingerprint):
            self._tried[fingerprint] = trio.current_time()
            self._verdicts.begin(fingerprint)
            name = self.name(fingerprint)
            emit(
                log_events.QUARANTINED_REQUEST_TRIED,
                fingerprint=fingerprint.hex(),
                tenant=name.caller,
                route=name.route,
            )
            return 0.0
        return seconds

    def end_trial(self, fingerprint: bytes) -> None:
        """Note that a request has ended that may have been this node's try of it."""
        self._verdicts.end(fingerprint, trio.current_time())

    async def _hear_others(self, fingerprint: bytes) -> None:
        """Wait while a request is refused for an end that others may excuse any moment."""
        until = self._ledger.last_end_at(fingerprint) + HEARING_SECONDS
        while self.refused_seconds(fingerprint) and trio.current_time() < until:
            with trio.move_on_at(until):
                await self.changed.wait()

    def last_end_at(self, fingerprint: bytes) -> float:
        """Return when the last end under a request became known; minus infinity for none."""
        return self._ledger.last_end_at(fingerprint)

    def known_crashes(self, fingerprint: bytes) -> RequestCrashes:
        """Return all that is known of a request."""
        return self._ledger.told(fingerprint)

    def terminations(self, fingerprint: bytes) -> int:
        """Return how many instances have ended under a request, as far as it counts."""
        return self._ledger.ends(fingerprint)

    def wake(self) -> None:
        """Have those look again that keep or tell what is known."""
        self.changed.set()
        self.changed = trio.Event()

    def name(self, fingerprint: bytes) -> RequestName:
        """Return how a request is named in the log, as far as this node has met it."""
        return self._names.get(fingerprint, RequestName(fingerprint))

    def repeated(self) -> list[bytes]:
        """Return the requests under which more than one instance has ended."""
        return self._ledger.repeated()

    def note_interrupted(self, request: RequestName, life: str, look: Look | None = None) -> None:
        """Note a request whose answer broke off, or that was left before it was answered.

        Args:
            request: The request.
            life: The instance.
            look: Looks whether the instance has ended; None when nothing says so.
        """
        if request.fingerprint in self._tried:
            # It is refused already. One more end would make it the worse one of those that shared
            # instances with it, and release these.
            self._verdicts.note_reached(request.fingerprint, life, look)
            return
        self._remember(request)
        counted = self._ledger.note_broken(request.fingerprint, life, trio.current_time())
        if counted is not None:
            self._note_counted(counted)
        elif look is not None and life not in self._looking:
            self._begin_look(life, look)

    def note_abandoned(self, request: RequestName, life: str, look: Look) -> None:
        """Note a request that was left before it was answered whole; see ``note_broken``.

        The instance is looked at for the verdict on a try only: clients leave often.
        """
        self.note_interrupted(request, life, look if request.fingerprint in self._tried else None)

    def note_answer(self, life: str, sent_at: float) -> None:
        """Note an instance's answer to a request that was sent at a time."""
        self._ledger.note_answer(life, sent_at)

    def note_complete_response(self, fingerprint: bytes) -> None:
        """Take back an end that counts for a request, or excuse one: it was answered whole."""
        if self._tried.pop(fingerprint, None) is not None:
            self._verdicts.forget(fingerprint)
            self._ledger.release(fingerprint)
        if self._ledger.note_whole_answer(fingerprint):
            self._note_changed(fingerprint, seen_here=True)
            self._review(fingerprint, ANSWERED)

    def note_terminated(self, life: str, evidence: EndEvidence) -> None:
        """Note that an instance has ended.

        Args:
            life: The instance.
            evidence: What shows it.
        """
        self._verdicts.note_ended(life)
        abruptly = evidence in ABRUPT
        counted = self._ledger.note_ended(life, trio.current_time(), abruptly=abruptly)
        if not counted:
            return
        emit(
            log_events.INSTANCE_ENDED,
            instance=life,
            evidence=evidence.value,
            requests=len(counted),
        )
        for end in counted:
            self._note_counted(end)

    def merge_reports(self, told: Iterable[RequestCrashes]) -> None:
        """Take what other nodes tell, or what is in the store."""
        for request in told:
            before = self._ledger.told(request.fingerprint)
            ends = self._ledger.merge(request, trio.current_time())
            for end in ends:
                self._announce(end)
            if self._ledger.told(request.fingerprint) != before:
                excused_here = any(end.excused for end in ends)
                self._note_changed(request.fingerprint, seen_here=excused_here)
                self._review(request.fingerprint, ANSWERED)

    def lift(self, fingerprint: bytes) -> None:
        """Let a request run again: operators say so."""
        if self._ledger.clear(fingerprint):
            self._note_changed(fingerprint, seen_here=True)
            self._review(fingerprint, LIFTED)

    async def settle(self, fingerprint: bytes, life: str) -> None:
        """Wait for the look at an instance if one more end would have the request refused.

        If one more has it refused, wait for the other nodes' word as well.
        """
        looking = self._looking.get(life)
        if looking is not None and self._ledger.ends(fingerprint) >= ENDS_TO_REFUSE - 1:
            with trio.move_on_after(SETTLING_SECONDS):
                await looking.wait()
        await self._hear_others(fingerprint)

    async def run(self) -> None:
        """Look at instances, and forget what is too old, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._expire)
            nursery.start_soon(self._verdicts.run)
            async for life, look in self._due:
                nursery.start_soon(self._look, life, look)

    async def _expire(self) -> None:
        """Forget what is too old from time to time."""
        while True:
            await trio.sleep(EXPIRY_SECONDS)
            now = trio.current_time()
            self._ledger.expire(now)
            self._tried = {
                fingerprint: at
                for fingerprint, at in self._tried.items()
                if now - at < TRIAL_MEMORY_SECONDS
            }
            for fingerprint in self._refused.union(self._ledger.repeated()):
                self._review(fingerprint, EXPIRED)

    def _begin_look(self, life: str, look: Look) -> None:
        """Have an instance looked at; beyond the bound the end of its entry has to show it."""
        try:
            self._looks.send_nowait((life, look))
        except trio.WouldBlock:
            return
        self._looking[life] = trio.Event()

    async def _look(self, life: str, look: Look) -> None:
        """Look at an instance until it answers or has ended."""
        try:
            for number in range(LOOKS):
                if number:
                    await trio.sleep(LOOK_SPACING_SECONDS)
                sign = await look()
                if sign is InstanceSign.ENDED:
                    self.note_terminated(life, EndEvidence.REFUSED)
                if sign is not InstanceSign.NO_ANSWER:
                    return
        finally:
            self._looking.pop(life).set()

    def _remember(self, request: RequestName) -> None:
        """Keep how a request is named in the log."""
        self._names[request.fingerprint] = request
        self._names.move_to_end(request.fingerprint)
        while len(self._names) > MAX_REQUESTS:
            self._names.popitem(last=False)

    def _note_counted(self, end: CountedEnd) -> None:
        """Log an end that this node has seen, and have it told to the others."""
        self._announce(end)
        self._note_changed(end.fingerprint, seen_here=True)

    def _note_changed(self, fingerprint: bytes, *, seen_here: bool) -> None:
        """Wake up those who keep or tell what is known."""
        if seen_here:
            for listener in self._listeners:
                listener(fingerprint)
        self.wake()

    def _announce(self, end: CountedEnd) -> None:
        """Tell of an end that counts for a request, and of what follows for it and others."""
        for listener in self._end_listeners:
            listener(end.crash.life)
        name = self.name(end.fingerprint)
        if end.ends >= LOGGED_FROM_ENDS:
            emit(
                log_events.INSTANCE_ENDED_UNDER_REQUEST,
                fingerprint=end.fingerprint.hex(),
                tenant=name.caller,
                route=name.route,
                instance=end.crash.life,
                seen_by=end.crash.node,
                ends=end.ends,
            )
        self._review(end.fingerprint, EXPLAINED)
        for sharing in self._ledger.sharing(end.crash.life) & self._refused:
            self._review(sharing, EXPLAINED)

    def _review(self, fingerprint: bytes, reason: str) -> None:
        """Log when a request begins to be refused, or no longer is.

        Args:
            fingerprint: Of the request.
            reason: What may have released it.
        """
        refused = self.refused_seconds(fingerprint) > 0
        if refused and fingerprint not in self._refused:
            self._refused.add(fingerprint)
            self._log_refusal(fingerprint)
        elif not refused and fingerprint in self._refused:
            self._refused.discard(fingerprint)
            self._log_release(fingerprint, reason)

    def _log_refusal(self, fingerprint: bytes) -> None:
        """Log that a request is refused from now on."""
        name = self.name(fingerprint)
        known = self._ledger.told(fingerprint)
        emit(
            log_events.REQUEST_QUARANTINED,
            fingerprint=fingerprint.hex(),
            tenant=name.caller,
            route=name.route,
            ends=[f"{crash.life} seen by {crash.node}" for crash in known.crashes],
            seconds=round(self.refused_seconds(fingerprint)),
        )

    def _log_release(self, fingerprint: bytes, reason: str) -> None:
        """Log that a request is no longer refused."""
        name = self.name(fingerprint)
        emit(
            log_events.REQUEST_RELEASED,
            fingerprint=fingerprint.hex(),
            tenant=name.caller,
            route=name.route,
            reason=reason,
        )
