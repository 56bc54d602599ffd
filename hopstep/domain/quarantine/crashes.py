"""Records, shared between nodes, of a request under which instances have terminated."""

from __future__ import annotations

import enum

import msgspec


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
