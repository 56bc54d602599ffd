"""Records, shared between nodes, of a request under which instances have terminated."""

from __future__ import annotations

import enum

import msgspec

from hopstep.domain.quarantine.fingerprint import is_part

LONGEST_FATAL_WRITING_SECONDS = 0.25
"""Time in seconds. A part of a prompt terminates an instance that begins to write an answer on it;
one that has been writing for longer has terminated for another cause.
"""


class SubjectKind(enum.StrEnum):
    """Kind of what a termination may be due to."""

    REQUEST = "request"
    PART = "part"


class CrashSubject(msgspec.Struct, frozen=True):
    """What the termination of an instance may be due to: a request, or a part of a prompt.

    Attributes:
        fingerprint: Digest that equal subjects share.
        caller: Name of a tenant that sent it; empty when unknown, or without keys.
        route: Name of its route or request class, for the log.
    """

    fingerprint: bytes
    caller: str = ""
    route: str = ""

    @property
    def kind(self) -> SubjectKind:
        """Kind of the subject."""
        return SubjectKind.PART if is_part(self.fingerprint) else SubjectKind.REQUEST


class RequestIdentity(msgspec.Struct, frozen=True):
    """Identity of a request, the same for equal requests of one caller.

    Attributes:
        fingerprint: Digest of caller, path and body.
        caller: Name of the tenant; empty where requests carry no key.
        route: Name of the route or request class, for the log.
        parts: Fingerprints of the parts of its prompt that other requests may share.
    """

    fingerprint: bytes
    caller: str = ""
    route: str = ""
    parts: tuple[bytes, ...] = ()

    def fingerprints(self) -> tuple[bytes, ...]:
        """Return the fingerprints of the request and of the parts of its prompt."""
        return (self.fingerprint, *self.parts)

    def subjects(self) -> tuple[CrashSubject, ...]:
        """Return the request and the parts of its prompt."""
        return tuple(CrashSubject(f, self.caller, self.route) for f in self.fingerprints())

    def suspects(self, writing_seconds: float) -> tuple[bytes, ...]:
        """Return what may have terminated an instance under the request.

        Args:
            writing_seconds: Time for which the instance had been writing its answer.
        """
        if writing_seconds > LONGEST_FATAL_WRITING_SECONDS:
            return (self.fingerprint,)
        return self.fingerprints()


class Crash(msgspec.Struct, frozen=True, array_like=True):
    """The termination of an instance while a request was under way there.

    Attributes:
        incarnation: The instance and its start; a restarted instance has another incarnation.
        node: The node that observed it.
    """

    incarnation: str
    node: str


class RequestCrashes(msgspec.Struct, frozen=True, array_like=True):
    """One node's record of the crashes of one request.

    Two records are merged by joining both lists, so they may arrive late, twice and in any order.

    Attributes:
        fingerprint: Fingerprint of the request.
        crashes: Terminations of instances.
        cleared: Incarnations whose terminations no longer count.
    """

    fingerprint: bytes
    crashes: tuple[Crash, ...] = ()
    cleared: tuple[str, ...] = ()


class InstanceProbeResult(enum.StrEnum):
    """Result of a probe of an instance."""

    ANSWERS = "answers"
    ENDED = "ended"
    NO_ANSWER = "no_answer"


class TerminationEvidence(enum.StrEnum):
    """Evidence that an instance has terminated."""

    REFUSED = "refused"
    REPLACED = "replaced"
    RESTARTED = "restarted"
    UNLISTED = "unlisted"
