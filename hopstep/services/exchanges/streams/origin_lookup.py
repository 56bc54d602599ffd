"""Result of the search for what began a resumed stream, and its log line."""

from __future__ import annotations

import enum

import msgspec

from hopstep import log_events
from hopstep.domain.exchanges.instance_scope import InstanceScope
from hopstep.domain.exchanges.streams.origin import StreamOrigin
from hopstep.logs import emit

MILLISECONDS = 1_000


class OriginSource(enum.StrEnum):
    """Where the origin of a stream is known from."""

    OWN = "own"
    """This node began the stream, or keeps its record."""

    NODE = "node"
    """Another node began it, or keeps its record."""

    SOLE_VERSION = "sole_version"
    """The service has had a single software version for as long as a stream may last."""

    DOUBTFUL = "doubtful"
    """The instance that is recorded may have started again, with other software, by then."""

    UNKNOWN = "unknown"
    """No node that answered knows the stream, and it may have begun at several versions."""


class OriginLookup(msgspec.Struct, frozen=True):
    """What was found out about a resumed stream.

    Attributes:
        source: Where the origin is known from.
        origin: What began the stream; None when unknown.
        node: Node that keeps the record; empty for none.
        age_seconds: Time since the first event of the stream; 0 when unknown.
        asked: Nodes that were asked.
        answered: Those of them that answered.
    """

    source: OriginSource
    origin: StreamOrigin | None = None
    node: str = ""
    age_seconds: float = 0.0
    asked: int = 0
    answered: int = 0


def log_resume(
    scope: InstanceScope, lookup: OriginLookup, candidates: int, waited_seconds: float
) -> None:
    """Log a client's resume.

    Args:
        scope: Its request, with the origin if that is known.
        lookup: What was found out.
        candidates: Listed instances that may go on with the stream.
        waited_seconds: Time that the search took.
    """
    emit(
        log_events.STREAM_RESUMED,
        request_id=scope.request.request_id,
        resumes=scope.request.resumes,
        service=scope.service,
        software_version=scope.software_version,
        known_from=lookup.source.value,
        keeper=lookup.node,
        age_ms=round(lookup.age_seconds * MILLISECONDS),
        candidates=candidates,
        asked=lookup.asked,
        answered=lookup.answered,
        waited_ms=round(waited_seconds * MILLISECONDS),
    )
