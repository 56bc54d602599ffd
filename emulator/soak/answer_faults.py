"""Kinds and shares of the faults of instances' answers, and the events that record them."""

from __future__ import annotations

import enum

import msgspec


class CopyTime(enum.StrEnum):
    """When the copy of an answer is sent.

    ``AT_ONCE`` is in one write with the end of the answer, ``NEXT`` as the next request arrives and
    before its answer, ``SPLIT`` half at once and half as the next request arrives. ``CUT`` stops in
    the head of the copy, and the next answer follows right behind it.
    """

    AT_ONCE = "at once"
    SOON = "soon"
    LATE = "late"
    NEXT = "next"
    SPLIT = "split"
    CUT = "cut"


COPY_TIMES = (*CopyTime, *(CopyTime.NEXT,) * 2, *(CopyTime.CUT,) * 2)
"""Times that are drawn. Nodes see most other copies before they use the connection again, and then
use each connection to that instance once only, for some seconds."""


class StopKind(enum.StrEnum):
    """What follows an answer that has stopped; ``AGAIN`` is the same answer from its beginning."""

    CLOSE = "close"
    RESET = "reset"
    SILENCE = "silence"
    AGAIN = "again"


STOP_KINDS = (*StopKind, StopKind.AGAIN, StopKind.AGAIN)
"""Kinds that are drawn; only in the last one do bytes follow that might be taken for the rest."""


class EndlessForm(enum.StrEnum):
    """What comes without end."""

    GARBAGE = "garbage"
    HEADER_LINE = "header line"
    HEADER_LINES = "header lines"
    INFORMATIONAL = "informational responses"
    BODY = "body"
    CHUNKS = "chunks"
    SURPLUS = "surplus"


class AnswerFaults(msgspec.Struct):
    """Shares (0 to 1) of an instance's answers that are faulty.

    Attributes:
        repeated: Whole answers that are sent twice.
        stopped: Answers that stop in their head or body.
        endless: Answers that are replaced or followed by bytes without end.
        unframed: Answers with a length that are sent without one and end with their connection.
    """

    repeated: float = 0.0
    stopped: float = 0.0
    endless: float = 0.0
    unframed: float = 0.0


class HeadDelivery(enum.StrEnum):
    """What the caller got of an answer's head.

    ``CUT`` is not all of it, or all of it behind a part of another head, or behind the copy of an
    answer without an id, which may be the caller's own. ``COPY`` is the event of a copy, which says
    nothing about the answer. The copy of an answer with an id is discarded by the caller, which
    reads the head behind it.
    """

    WHOLE = "whole"
    CUT = "cut"
    COPY = "copy"


class AnswerEvent(msgspec.Struct, frozen=True):
    """An answer that was passed on whole, or a fault of one.

    Attributes:
        at: Time of the event.
        connection: Number of the connection at its instance.
        what: ``answer`` for a whole answer, otherwise the kind of fault.
        status: HTTP status; 0 if no head was read.
        attempt_id: Id in the answer; empty for none.
        stamp: Signature in the answer; empty for none.
        head: What the caller got of the answer's head.
        asked: Name of the latest request on the connection; empty for none. Refusals may have no
            id of their own.
    """

    at: float
    connection: int
    what: str
    status: int = 0
    attempt_id: str = ""
    stamp: str = ""
    head: HeadDelivery = HeadDelivery.WHOLE
    asked: str = ""
