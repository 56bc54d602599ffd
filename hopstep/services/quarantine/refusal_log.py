"""Logs the terminations under a subject, and when it begins or ceases to be refused."""

from __future__ import annotations

from collections import OrderedDict

from hopstep.domain.quarantine.crash_ledger import CountedTermination
from hopstep.domain.quarantine.crash_records import MAX_REQUESTS, drop_oldest
from hopstep.domain.quarantine.crashes import CrashSubject, RequestCrashes, RequestIdentity
from hopstep.log_events.requests import (
    INSTANCE_ENDED_UNDER_REQUEST,
    QUARANTINED_REQUEST_TRIED,
    REQUEST_QUARANTINED,
    REQUEST_RELEASED,
)
from hopstep.logs import emit

MIN_LOGGED_TERMINATIONS = 2
"""A single termination says little about a subject: most of those that it interrupts didn't cause
it."""


class RefusalLog:
    """The refused subjects, and how each subject is named in the log."""

    def __init__(self) -> None:
        """Start without any."""
        self.refused: set[bytes] = set()
        self._subjects: OrderedDict[bytes, CrashSubject] = OrderedDict()

    def remember(self, request: RequestIdentity) -> None:
        """Keep how a request and the parts of its prompt are named."""
        for subject in request.subjects():
            self._subjects[subject.fingerprint] = subject
            self._subjects.move_to_end(subject.fingerprint)
        drop_oldest(self._subjects, MAX_REQUESTS)

    def subject(self, fingerprint: bytes) -> CrashSubject:
        """Return a subject with its caller and route, empty if this node hasn't seen it."""
        return self._subjects.get(fingerprint, CrashSubject(fingerprint))

    def log_termination(self, termination: CountedTermination) -> None:
        """Log a termination that was counted, from a subject's second one on."""
        if termination.terminations < MIN_LOGGED_TERMINATIONS:
            return
        subject = self.subject(termination.fingerprint)
        emit(
            INSTANCE_ENDED_UNDER_REQUEST,
            fingerprint=subject.fingerprint.hex(),
            subject=subject.kind.value,
            tenant=subject.caller,
            route=subject.route,
            instance=termination.crash.incarnation,
            seen_by=termination.crash.node,
            ends=termination.terminations,
        )

    def review(self, known: RequestCrashes, seconds: float, reason: str) -> None:
        """Log when a subject begins to be refused, or no longer is.

        Args:
            known: What is known of it.
            seconds: Remaining seconds for which it is refused; 0 when it isn't.
            reason: Reason to log for a release.
        """
        fingerprint = known.fingerprint
        if seconds and fingerprint not in self.refused:
            self.refused.add(fingerprint)
            self._log_refusal(known, seconds)
        elif not seconds and fingerprint in self.refused:
            self.refused.discard(fingerprint)
            self._log_release(fingerprint, reason)

    def log_trial(self, fingerprint: bytes) -> None:
        """Log that a request runs as a trial of a refused subject."""
        subject = self.subject(fingerprint)
        emit(
            QUARANTINED_REQUEST_TRIED,
            fingerprint=fingerprint.hex(),
            subject=subject.kind.value,
            tenant=subject.caller,
            route=subject.route,
        )

    def _log_refusal(self, known: RequestCrashes, seconds: float) -> None:
        """Log that a subject is refused from now on."""
        subject = self.subject(known.fingerprint)
        emit(
            REQUEST_QUARANTINED,
            fingerprint=subject.fingerprint.hex(),
            subject=subject.kind.value,
            tenant=subject.caller,
            route=subject.route,
            ends=[f"{crash.incarnation} seen by {crash.node}" for crash in known.crashes],
            seconds=round(seconds),
        )

    def _log_release(self, fingerprint: bytes, reason: str) -> None:
        """Log that a subject is no longer refused."""
        subject = self.subject(fingerprint)
        emit(
            REQUEST_RELEASED,
            fingerprint=fingerprint.hex(),
            subject=subject.kind.value,
            tenant=subject.caller,
            route=subject.route,
            reason=reason,
        )
