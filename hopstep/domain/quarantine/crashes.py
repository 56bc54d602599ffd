"""What is known, and told to other nodes, of one request under which instances have ended."""

from __future__ import annotations

import enum

import msgspec


class RequestIdentity(msgspec.Struct, frozen=True):
    """What requests share that ask for the same thing.

    Attributes:
        fingerprint: Digest of caller, path and body.
        caller: Name of the tenant; empty where requests carry no key.
        route: Name of the route or request class, for the log.
    """

    fingerprint: bytes
    caller: str = ""
    route: str = ""


class Crash(msgspec.Struct, frozen=True, array_like=True):
    """The end of an instance while a request was under way there.

    Attributes:
        life: The instance and its start: one that starts again has another life.
        node: The node that saw it.
    """

    incarnation: str
    node: str


class RequestCrashes(msgspec.Struct, frozen=True, array_like=True):
    """All that a node knows of one request.

    Two of them are merged by joining both lists, so they may come late, twice and in any order.

    Attributes:
        fingerprint: Of the request.
        crashes: Ends of instances.
        cleared: Lives whose ends no longer count.
    """

    fingerprint: bytes
    crashes: tuple[Crash, ...] = ()
    cleared: tuple[str, ...] = ()


class InstanceProbeResult(enum.StrEnum):
    """What a look at an instance shows."""

    ANSWERS = "answers"
    ENDED = "ended"
    NO_ANSWER = "no_answer"


class TerminationEvidence(enum.StrEnum):
    """What shows that an instance has ended."""

    REFUSED = "refused"
    REPLACED = "replaced"
    RESTARTED = "restarted"
    UNLISTED = "unlisted"
