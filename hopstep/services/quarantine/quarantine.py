"""Finds the requests that crash instances, and decides which are refused because of that.

An answer may be interrupted for many reasons. So the instance is probed: it has terminated only if
it no longer listens, has restarted or is no longer listed. Such a termination is counted for every
request whose answer was interrupted there; ``domain.quarantine.crash_ledger`` has the rules.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterable
from typing import Protocol

import trio

from hopstep import log_events
from hopstep.domain.quarantine.crash_ledger import (
    TERMINATIONS_TO_REFUSE,
    CountedTermination,
    CrashLedger,
)
from hopstep.domain.quarantine.crash_records import MAX_REQUESTS
from hopstep.domain.quarantine.crashes import (
    InstanceProbeResult,
    RequestCrashes,
    RequestIdentity,
    TerminationEvidence,
)
from hopstep.logs import emit
from hopstep.services.quarantine.trial_verdicts import ProbeInstance, TrialVerdicts

MAX_PROBES = 4
PROBE_SPACING_SECONDS = 0.4
"""Time between two probes. A probe without an answer is repeated: its first packets may be lost,
and all nodes should know of a termination within the three seconds that the operators' bound
leaves.
"""

MAX_WAITING_PROBES = 256
PROBE_WAIT_SECONDS = 0.4
"""Longest wait for a probe before a request goes to another instance."""

PEER_REPORT_SECONDS = 0.5
"""Wait after a termination that has a request refused midway, for other nodes to report that they
have answered it. Otherwise ordinary requests are given up before these reports arrive."""

TRIAL_MEMORY_SECONDS = 60.0
"""Time for which a trial is remembered: longer than any run of a request."""

EXPIRY_SECONDS = 5.0
"""Time between two checks for expired records."""

MIN_LOGGED_TERMINATIONS = 2
"""A single termination says little about a request: most requests that it interrupts didn't cause
it."""

ABRUPT = frozenset({TerminationEvidence.REFUSED, TerminationEvidence.RESTARTED})
"""Evidence of an abrupt termination, which interrupts all answers in progress at the instance."""

EXPIRED = "expired"
ANSWERED = "answered"
LIFTED = "lifted"
EXPLAINED = "explained"
"""Reason of a release: another request has crashed these instances."""

TerminationListener = Callable[[str], None]
"""Takes an instance's incarnation that this node, or another one, has seen terminate."""

ObservationListener = Callable[[bytes], None]
"""Takes the fingerprint of a request for which this node itself has observed something new."""


class Trials(Protocol):
    """Trials: single runs of refused requests, so that none stays refused without cause."""

    def wait_seconds(self, fingerprint: bytes) -> float:
        """Return the seconds until a trial may be claimed; infinite when none is left."""

    async def claim(self, fingerprint: bytes) -> bool:
        """Claim a trial; return whether this node, and no other, may run the request once."""

    async def release_trial(self, fingerprint: bytes) -> None:
        """Allow a request another trial: the last one was inconclusive."""


class Quarantine:
    """Requests that crash instances, as far as this node has observed or received."""

    def __init__(self, node: str) -> None:
        """Start without any termination. Must be called inside the event loop.

        Args:
            node: Name of this node.
        """
        self.node = node
        self.changed = trio.Event()
        self._ledger = CrashLedger(node)
        self._names: OrderedDict[bytes, RequestIdentity] = OrderedDict()
        self._refused: set[bytes] = set()
        self._listeners: list[ObservationListener] = []
        self._termination_listeners: list[TerminationListener] = []
        self._probing: dict[str, trio.Event] = {}
        self._trials: Trials | None = None
        self._verdicts = TrialVerdicts()
        self._tried: dict[bytes, float] = {}
        self._probes, self._due = trio.open_memory_channel[tuple[str, ProbeInstance]](
            MAX_WAITING_PROBES
        )

    def subscribe(self, listener: ObservationListener) -> None:
        """Call a listener with each request for which this node observes something new."""
        self._listeners.append(listener)

    def subscribe_terminations(self, listener: TerminationListener) -> None:
        """Call a listener with terminated instances, whichever node has seen the termination."""
        self._termination_listeners.append(listener)

    def set_trials(self, trials: Trials) -> None:
        """Set the source of trials; without one, refused requests get none."""
        self._trials = trials
        self._verdicts.set_release(trials.release_trial)

    @property
    def is_idle(self) -> bool:
        """Whether no termination is recorded for any request, so that lookups are needless."""
        return self._ledger.is_empty

    @property
    def refused_requests(self) -> int:
        """Number of requests that are refused now."""
        now = trio.current_time()
        repeated = self._ledger.repeated()
        return sum(self._ledger.refused_seconds(fingerprint, now) > 0 for fingerprint in repeated)

    def refused_seconds(self, fingerprint: bytes) -> float:
        """Return the seconds for which a request is still refused; 0 when it isn't."""
        return self._ledger.refused_seconds(fingerprint, trio.current_time())

    async def admit(self, fingerprint: bytes) -> float:
        """Return the seconds for which a request is still refused; 0 when it may be sent.

        Some time after the last termination, one node may run a refused request once as a trial.
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
        """Record the end of a request that may have been this node's trial of it."""
        self._verdicts.end(fingerprint, trio.current_time())

    async def _await_peer_reports(self, fingerprint: bytes) -> None:
        """Wait while a request is refused for a termination that reports may have disregarded."""
        until = self._ledger.last_end_at(fingerprint) + PEER_REPORT_SECONDS
        while self.refused_seconds(fingerprint) and trio.current_time() < until:
            with trio.move_on_at(until):
                await self.changed.wait()

    def last_end_at(self, fingerprint: bytes) -> float:
        """Return when a request's last termination became known; minus infinity for none."""
        return self._ledger.last_end_at(fingerprint)

    def known_crashes(self, fingerprint: bytes) -> RequestCrashes:
        """Return all that this node has recorded for a request."""
        return self._ledger.request_crashes(fingerprint)

    def terminations(self, fingerprint: bytes) -> int:
        """Return the number of terminations that count for a request."""
        return self._ledger.terminations(fingerprint)

    def notify_changed(self) -> None:
        """Wake the tasks that store or publish the records."""
        self.changed.set()
        self.changed = trio.Event()

    def name(self, fingerprint: bytes) -> RequestIdentity:
        """Return the request's caller and route for the log, empty if this node hasn't seen it."""
        return self._names.get(fingerprint, RequestIdentity(fingerprint))

    def repeated(self) -> list[bytes]:
        """Return the requests under which more than one instance has terminated."""
        return self._ledger.repeated()

    def note_interrupted(
        self,
        request: RequestIdentity,
        instance_incarnation: str,
        probe: ProbeInstance | None = None,
    ) -> None:
        """Record a request whose answer was interrupted, or that its client abandoned.

        Args:
            request: The request.
            instance_incarnation: Incarnation of the instance.
            probe: Probes whether the instance has terminated; None when nothing suggests it.
        """
        if request.fingerprint in self._tried:
            # It is refused already. Another termination would give it the most among the requests
            # that shared instances with it, and release the others.
            self._verdicts.note_reached(request.fingerprint, instance_incarnation, probe)
            return
        self._remember(request)
        counted = self._ledger.note_broken(
            request.fingerprint, instance_incarnation, trio.current_time()
        )
        if counted is not None:
            self._record_counted(counted)
        elif probe is not None and instance_incarnation not in self._probing:
            self._begin_probe(instance_incarnation, probe)

    def note_abandoned(
        self, request: RequestIdentity, instance_incarnation: str, probe: ProbeInstance
    ) -> None:
        """Record a request that was abandoned by its client; see ``note_interrupted``.

        The instance is probed only for the verdict on a trial: clients leave often.
        """
        self.note_interrupted(
            request, instance_incarnation, probe if request.fingerprint in self._tried else None
        )

    def note_answer(self, instance_incarnation: str, sent_at: float) -> None:
        """Record that an instance answered a request.

        Args:
            instance_incarnation: Incarnation of the instance.
            sent_at: Time at which the request was sent.
        """
        self._ledger.note_answer(instance_incarnation, sent_at)

    def note_complete_response(self, fingerprint: bytes) -> None:
        """Discount a termination, seen or to come, of a request that got a complete response."""
        if self._tried.pop(fingerprint, None) is not None:
            self._verdicts.forget(fingerprint)
            self._ledger.release(fingerprint)
        if self._ledger.note_complete_response(fingerprint):
            self._record_change(fingerprint, seen_here=True)
            self._review(fingerprint, ANSWERED)

    def note_terminated(self, instance_incarnation: str, evidence: TerminationEvidence) -> None:
        """Record that an instance has terminated.

        Args:
            instance_incarnation: Incarnation of the instance.
            evidence: Observation that proves it.
        """
        self._verdicts.note_terminated(instance_incarnation)
        abruptly = evidence in ABRUPT
        counted = self._ledger.note_ended(
            instance_incarnation, trio.current_time(), abruptly=abruptly
        )
        if not counted:
            return
        emit(
            log_events.INSTANCE_ENDED,
            instance=instance_incarnation,
            evidence=evidence.value,
            requests=len(counted),
        )
        for end in counted:
            self._record_counted(end)

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
        """Let a request run again, by an operator's command."""
        if self._ledger.clear(fingerprint):
            self._record_change(fingerprint, seen_here=True)
            self._review(fingerprint, LIFTED)

    async def settle(self, fingerprint: bytes, instance_incarnation: str) -> None:
        """Wait for the probe of an instance if its termination would have the request refused.

        If the request is refused then, wait for the other nodes' reports as well.
        """
        probed = self._probing.get(instance_incarnation)
        if (
            probed is not None
            and self._ledger.terminations(fingerprint) >= TERMINATIONS_TO_REFUSE - 1
        ):
            with trio.move_on_after(PROBE_WAIT_SECONDS):
                await probed.wait()
        await self._await_peer_reports(fingerprint)

    async def run(self) -> None:
        """Probe instances and drop expired records until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._expire)
            nursery.start_soon(self._verdicts.run)
            async for instance_incarnation, probe in self._due:
                nursery.start_soon(self._probe, instance_incarnation, probe)

    async def _expire(self) -> None:
        """Drop expired records at intervals."""
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

    def _begin_probe(self, instance_incarnation: str, probe: ProbeInstance) -> None:
        """Have an instance probed; beyond the bound, only its unlisting shows a termination."""
        try:
            self._probes.send_nowait((instance_incarnation, probe))
        except trio.WouldBlock:
            return
        self._probing[instance_incarnation] = trio.Event()

    async def _probe(self, instance_incarnation: str, probe: ProbeInstance) -> None:
        """Probe an instance until it answers, has terminated or the probes are used up."""
        try:
            for number in range(MAX_PROBES):
                if number:
                    await trio.sleep(PROBE_SPACING_SECONDS)
                sign = await probe()
                if sign is InstanceProbeResult.ENDED:
                    self.note_terminated(instance_incarnation, TerminationEvidence.REFUSED)
                if sign is not InstanceProbeResult.NO_ANSWER:
                    return
        finally:
            self._probing.pop(instance_incarnation).set()

    def _remember(self, request: RequestIdentity) -> None:
        """Keep how a request is named in the log."""
        self._names[request.fingerprint] = request
        self._names.move_to_end(request.fingerprint)
        while len(self._names) > MAX_REQUESTS:
            self._names.popitem(last=False)

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
        """Notify listeners of a counted termination, log it, and review the requests it affects."""
        for listener in self._termination_listeners:
            listener(end.crash.incarnation)
        name = self.name(end.fingerprint)
        if end.terminations >= MIN_LOGGED_TERMINATIONS:
            emit(
                log_events.INSTANCE_ENDED_UNDER_REQUEST,
                fingerprint=end.fingerprint.hex(),
                tenant=name.caller,
                route=name.route,
                instance=end.crash.incarnation,
                seen_by=end.crash.node,
                ends=end.terminations,
            )
        self._review(end.fingerprint, EXPLAINED)
        for sharing in self._ledger.requests_at(end.crash.incarnation) & self._refused:
            self._review(sharing, EXPLAINED)

    def _review(self, fingerprint: bytes, reason: str) -> None:
        """Log when a request begins to be refused, or no longer is.

        Args:
            fingerprint: Fingerprint of the request.
            reason: Reason to log for a release.
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
        known = self._ledger.request_crashes(fingerprint)
        emit(
            log_events.REQUEST_QUARANTINED,
            fingerprint=fingerprint.hex(),
            tenant=name.caller,
            route=name.route,
            ends=[f"{crash.incarnation} seen by {crash.node}" for crash in known.crashes],
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
