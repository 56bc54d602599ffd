"""Result of the search for what began a resumed stream."""

from __future__ import annotations

import enum

import msgspec

from hopstep.domain.exchanges.streams.origin import StreamOrigin


class OriginSource(enum.StrEnum):
    """Where the origin of a stream is known from."""

    OWN = "own"
    """This node began the stream, or keeps its record."""

    NODE = "node"
    """Another node began it, or keeps its record."""

    SOLE_VERSION = "sole_version"
    """The service has had a single software version for as long as a stream may last."""

    EARLIER_VERSION = "earlier_version"
    """A process that has ended began it, when a single version was recorded."""

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
