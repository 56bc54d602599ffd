"""Finds what crashes instances, and decides which requests are refused because of that.

An answer may be interrupted for many reasons. So the instance is probed: it has terminated only if
it no longer listens, has restarted or is no longer listed. Such a termination is counted for every
request whose answer was interrupted there, and for the parts of the prompts on which the instance
may have begun to write; ``domain.quarantine.crash_ledger`` has the rules.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

import trio

from hopstep.domain.quarantine.crash_ledger import (
    TERMINATIONS_TO_REFUSE,
    CountedTermination,
    CrashLedger,
)
from hopstep.domain.quarantine.crashes import (
    CrashSubject,
    RequestCrashes,
    RequestIdentity,
    TerminationEvidence,
)
from hopstep.domain.quarantine.fingerprint import is_part
from hopstep.domain.quarantine.refusals import NOT_REFUSED, Refusal
from hopstep.log_events.requests import INSTANCE_ENDED
from hopstep.logs import emit
from hopstep.services.quarantine.instance_probes import InstanceProbes
from hopstep.services.quarantine.refusal_log import RefusalLog
from hopstep.services.quarantine.trial_runs import TrialRuns, Trials
from hopstep.services.quarantine.trial_verdicts import ProbeInstance

PEER_REPORT_SECONDS = 0.5
"""Wait after a termination that has a request refused midway, for other nodes to report that they
have answered it. Otherwise ordinary requests are given up before these reports arrive."""

EXPIRY_SECONDS = 5.0
"""Time between two checks for expired records."""

ABRUPT = frozenset({TerminationEvidence.REFUSED, TerminationEvidence.RESTARTED})
"""Evidence of an abrupt termination, which interrupts all answers in progress at the instance."""

EXPIRED = "expired"
ANSWERED = "answered"
LIFTED = "lifted"
EXPLAINED = "explained"
"""Reason of a release: another subject has crashed these instances."""

TerminationListener = Callable[[str], None]
"""Takes an instance's incarnation that this node, or another one, has seen terminate."""

ObservationListener = Callable[[bytes], None]
"""Takes the fingerprint of a subject for which this node itself has observed something new."""


class Quarantine:
    """What crashes instances, requests and parts of prompts, as far as this node knows."""

    def __init__(self, node: str) -> None:
        """Start without any termination. Must be called inside the event loop.

        Args:
            node: Name of this node.
        """
        self.node = node
        self.changed = trio.Event()
        self._ledger = CrashLedger(node)
        self._log = RefusalLog()
        self._listeners: list[ObservationListener] = []
        self._termination_listeners: list[TerminationListener] = []
        self._probes = InstanceProbes(
            lambda incarnation: self.note_terminated(incarnation, TerminationEvidence.REFUSED)
        )
        self._trials = TrialRuns()

    def subscribe(self, listener: ObservationListener) -> None:
        """Call a listener with each subject for which this node observes something new."""
        self._listeners.append(listener)

    def subscribe_terminations(self, listener: TerminationListener) -> None:
        """Call a listener with terminated instances, whichever node has seen the termination."""
        self._termination_listeners.append(listener)

    def set_trials(self, trials: Trials) -> None:
        """Set the source of trials; without one, refused requests get none."""
        self._trials.set_trials(trials)

    @property
    def is_idle(self) -> bool:
        """Whether no termination is recorded for any subject, so that lookups are needless."""
        return self._ledger.is_empty

    @property
    def refused_requests(self) -> int:
        """Number of requests that are refused now."""
        return sum(not is_part(fingerprint) for fingerprint in self._refused_now())

    @property
    def refused_parts(self) -> int:
        """Number of parts of prompts for which requests are refused now."""
        return sum(is_part(fingerprint) for fingerprint in self._refused_now())

    def refused_seconds(self, fingerprint: bytes) -> float:
        """Return the seconds for which a subject is still refused; 0 when it isn't."""
        return self._ledger.refused_seconds(fingerprint, trio.current_time())

    def refusal(self, request: RequestIdentity) -> Refusal:
        """Return for how long, and for which subject, a request is still refused."""
        refusals = (Refusal(self.refused_seconds(f), f) for f in request.fingerprints())
        return max(refusals, key=lambda refusal: refusal.seconds)

    async def admit(self, request: RequestIdentity) -> Refusal:
        """Return whether a request is still refused, or may be sent.

        Some time after the last termination, one node may run a refused request once as a trial.
        """
        refusal = self.refusal(request)
        if not refusal.seconds:
            return NOT_REFUSED
        refused = [f for f in request.fingerprints() if self.refused_seconds(f)]
        self._log.remember(request)
        if not await self._trials.claim(refused):
            return refusal
        for fingerprint in refused:
            self._log.log_trial(fingerprint)
        return NOT_REFUSED

    def end_trial(self, request: RequestIdentity) -> None:
        """Record the end of a request that may have been this node's trial of a subject."""
        self._trials.end(request.fingerprints())

    def last_end_at(self, fingerprint: bytes) -> float:
        """Return when a subject's last termination became known; minus infinity for none."""
        return self._ledger.last_end_at(fingerprint)

    def known_crashes(self, fingerprint: bytes) -> RequestCrashes:
        """Return all that this node has recorded for a subject."""
        return self._ledger.request_crashes(fingerprint)

    def terminations(self, fingerprint: bytes) -> int:
        """Return the number of terminations that count for a subject."""
        return self._ledger.terminations(fingerprint)

    def is_due_to_one_request(self, fingerprint: bytes) -> bool:
        """Return whether a part's terminations may all be due to one request that has it."""
        return self._ledger.is_due_to_one_request(fingerprint)

    def most_terminations(self, request: RequestIdentity) -> int:
        """Return the highest number that count for a request or a part of its prompt."""
        return max(self.terminations(fingerprint) for fingerprint in request.fingerprints())

    def notify_changed(self) -> None:
        """Wake the tasks that store or publish the records."""
        self.changed.set()
        self.changed = trio.Event()

    def subject(self, fingerprint: bytes) -> CrashSubject:
        """Return a subject with its caller and route, empty if this node hasn't seen it."""
        return self._log.subject(fingerprint)

    def repeated(self) -> list[bytes]:
        """Return the subjects under which more than one instance has terminated."""
        return self._ledger.repeated()

    def note_interrupted(
        self,
        request: RequestIdentity,
        incarnation: str,
        probe: ProbeInstance | None = None,
        writing_seconds: float = 0.0,
    ) -> None:
        """Record a request whose answer was interrupted, or that its client abandoned.

        Args:
            request: The request.
            incarnation: Incarnation of the instance.
            probe: Probes whether the instance has terminated; None when nothing suggests it.
            writing_seconds: Time for which the instance had been writing its answer.
        """
        tried = self._trials.tried(request.fingerprints())
        if tried:
            # They are refused already. Another termination would give them the most among the
            # subjects that shared instances with them, and release the others.
            for fingerprint in tried:
                self._trials.note_reached(fingerprint, incarnation, probe)
            return
        self._log.remember(request)
        now = trio.current_time()
        suspects = request.suspects(writing_seconds)
        counted = [self._ledger.note_broken(suspect, incarnation, now) for suspect in suspects]
        for termination in counted:
            if termination is not None:
                self._record_counted(termination)
        if probe is not None and not any(counted):
            self._probes.begin(incarnation, probe)

    def note_abandoned(
        self,
        request: RequestIdentity,
        incarnation: str,
        probe: ProbeInstance,
        writing_seconds: float = 0.0,
    ) -> None:
        """Record a request that was abandoned by its client; see ``note_interrupted``.

        The instance is probed only for the verdict on a trial: clients leave often.
        """
        is_trial = bool(self._trials.tried(request.fingerprints()))
        self.note_interrupted(request, incarnation, probe if is_trial else None, writing_seconds)

    def note_answer(self, incarnation: str, sent_at: float) -> None:
        """Record that an instance answered a request.

        Args:
            incarnation: Incarnation of the instance.
            sent_at: Time at which the request was sent.
        """
        self._ledger.note_answer(incarnation, sent_at)
        self._trials.note_answer(incarnation, sent_at)

    def note_complete_response(self, request: RequestIdentity, *, is_success: bool = True) -> None:
        """Discount terminations, seen or to come, of a request that got a complete response.

        Args:
            request: The request.
            is_success: Whether the instance wrote the answer that its prompt asks for, which also
                discounts those of the parts of its prompt.
        """
        answered = request.fingerprints() if is_success else (request.fingerprint,)
        for fingerprint in answered:
            if self._trials.succeed(fingerprint):
                self._ledger.release(fingerprint)
            if self._ledger.note_complete_response(fingerprint):
                self._record_change(fingerprint, seen_here=True)
                self._review(fingerprint, ANSWERED)

    def note_terminated(self, incarnation: str, evidence: TerminationEvidence) -> None:
        """Record that an instance has terminated.

        Args:
            incarnation: Incarnation of the instance.
            evidence: Observation that proves it.
        """
        self._trials.note_terminated(incarnation)
        counted = self._ledger.note_ended(
            incarnation, trio.current_time(), abruptly=evidence in ABRUPT
        )
        if not counted:
            return
        parts = sum(is_part(termination.fingerprint) for termination in counted)
        emit(
            INSTANCE_ENDED,
            instance=incarnation,
            evidence=evidence.value,
            requests=len(counted) - parts,
            parts=parts,
        )
        for termination in counted:
            self._record_counted(termination)

    def merge_reports(self, reports: Iterable[RequestCrashes]) -> None:
        """Merge the reports of other nodes, or the records of the store."""
        for request in reports:
            before = self._ledger.request_crashes(request.fingerprint)
            ends = self._ledger.merge(request, trio.current_time())
            for end in ends:
                self._announce(end)
            if self._ledger.request_crashes(request.fingerprint) != before:
                discounted_here = any(end.disregarded for end in ends)
                self._record_change(request.fingerprint, seen_here=discounted_here)
                self._review(request.fingerprint, ANSWERED)

    def lift(self, fingerprint: bytes) -> None:
        """Let a subject run again, by an operator's command."""
        for cleared in self._ledger.clear(fingerprint):
            self._record_change(cleared, seen_here=True)
            self._review(cleared, LIFTED)

    async def settle(self, request: RequestIdentity, incarnation: str) -> None:
        """Wait for the probe of an instance if its termination would have the request refused.

        If the request is refused then, wait for the other nodes' reports as well.
        """
        if self.most_terminations(request) >= TERMINATIONS_TO_REFUSE - 1:
            await self._probes.wait(incarnation)
        for fingerprint in request.fingerprints():
            await self._await_peer_reports(fingerprint)

    async def run(self) -> None:
        """Probe instances and drop expired records until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._expire)
            nursery.start_soon(self._trials.run)
            nursery.start_soon(self._probes.run)

    def _refused_now(self) -> list[bytes]:
        """Return the subjects that are refused now."""
        now = trio.current_time()
        repeated = self._ledger.repeated()
        return [f for f in repeated if self._ledger.refused_seconds(f, now) > 0]

    async def _await_peer_reports(self, fingerprint: bytes) -> None:
        """Wait while a subject is refused for a termination that reports may have disregarded."""
        until = self._ledger.last_end_at(fingerprint) + PEER_REPORT_SECONDS
        while self.refused_seconds(fingerprint) and trio.current_time() < until:
            with trio.move_on_at(until):
                await self.changed.wait()

    async def _expire(self) -> None:
        """Drop expired records at intervals."""
        while True:
            await trio.sleep(EXPIRY_SECONDS)
            now = trio.current_time()
            self._ledger.expire(now)
            self._trials.expire(now)
            for fingerprint in self._log.refused.union(self._ledger.repeated()):
                self._review(fingerprint, EXPIRED)

    def _record_counted(self, end: CountedTermination) -> None:
        """Announce a termination that this node has seen, and have it published to the others."""
        self._announce(end)
        self._record_change(end.fingerprint, seen_here=True)

    def _record_change(self, fingerprint: bytes, *, seen_here: bool) -> None:
        """Notify the listeners and tasks that store or publish the records."""
        if seen_here:
            for listener in self._listeners:
                listener(fingerprint)
        self.notify_changed()

    def _announce(self, end: CountedTermination) -> None:
        """Notify listeners of a counted termination, log it, and review the subjects it affects."""
        for listener in self._termination_listeners:
            listener(end.crash.incarnation)
        self._log.log_termination(end)
        if end.terminations >= TERMINATIONS_TO_REFUSE:
            self._clear_explained(end.fingerprint)
        self._review(end.fingerprint, EXPLAINED)
        for sharing in self._ledger.requests_at(end.crash.incarnation) & self._log.refused:
            self._review(sharing, EXPLAINED)

    def _clear_explained(self, fingerprint: bytes) -> None:
        """Release parts that are refused for what a subject, and others, explain.

        Args:
            fingerprint: Subject with enough terminations to explain others, or to be refused.
        """
        now = trio.current_time()
        explains = not self._ledger.was_answered(fingerprint)
        others = self._log.refused.difference({fingerprint}) if explains else ()
        for refused in (fingerprint, *others):
            if self._ledger.clear_explained(refused, now):
                self._record_change(refused, seen_here=True)
                self._review(refused, EXPLAINED)

    def _review(self, fingerprint: bytes, reason: str) -> None:
        """Log when a subject begins to be refused, or no longer is.

        Args:
            fingerprint: Fingerprint of the subject.
            reason: Reason to log for a release.
        """
        known = self._ledger.request_crashes(fingerprint)
        self._log.review(known, self.refused_seconds(fingerprint), reason)
