"""Messages between nodes about what began streams that clients may resume."""

from __future__ import annotations

import enum
from typing import Annotated

import msgspec

from hopstep.domain.exchanges.streams.version_claims import VersionClaim

MAX_MILLISECONDS = 2**53
"""Larger integers raise errors where they are converted to floating-point numbers."""

_Milliseconds = Annotated[int, msgspec.Meta(ge=-MAX_MILLISECONDS, le=MAX_MILLISECONDS)]


class StoreWrite(enum.IntEnum):
    """What the receiver of origins does for the store.

    ``NONE``: nothing. ``WRITER``: it writes them, and passes them on when it can't.
    ``SUBSTITUTE``: it writes them in the place of a writer that can't.
    """

    NONE = 0
    WRITER = 1
    SUBSTITUTE = 2


class ReportedOrigin(msgspec.Struct, frozen=True, array_like=True):
    """The origin of a stream, as nodes send it.

    Attributes:
        key: Key of the stream, see ``stream_key``.
        service: Service whose instance began it.
        software_version: Software version of that instance; empty when unknown.
        incarnation: As ``str(InstanceIncarnation)``.
        age_ms: Milliseconds since its first event was sent to the client.
        remaining_ms: Milliseconds until its client gives up at the latest.
    """

    key: bytes
    service: str
    software_version: str
    incarnation: str
    age_ms: _Milliseconds
    remaining_ms: _Milliseconds


class OriginUpdate(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Origins of streams that the sender has begun, for nodes that keep them in its place.

    Attributes:
        number: Rises with each message of the process.
        origins: The origins.
        store_write: What the receiver does for the store.
    """

    number: int
    origins: tuple[ReportedOrigin, ...] = ()
    store_write: StoreWrite = StoreWrite.NONE


class OriginQuery(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """A node's query for the origin of a stream that a client resumes there.

    Attributes:
        number: Rises with each query of the process; the answer repeats it.
        key: Key of the stream.
        service: Service whose instances may have begun it.
        needs_reading: Whether the receiver reads the store before it answers.
    """

    number: int
    key: bytes
    service: str
    needs_reading: bool = False


class OriginAnswer(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Answer to a query for an origin.

    Attributes:
        number: Number of the query.
        origin: The origin; None when the answering node doesn't know it.
        claim: What it knows of the software versions of the service.
    """

    number: int
    origin: ReportedOrigin | None = None
    claim: VersionClaim = VersionClaim()
