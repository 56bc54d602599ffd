"""Incarnations of instances, their notices and limits, and the orders that they executed.

All times are seconds of the soak process's monotonic clock, unless they are named as Unix times.
"""

from __future__ import annotations

import msgspec

from emulator.soak.answer_faults import AnswerEvent


class SentNotice(msgspec.Struct, frozen=True):
    """Notices that an instance sent in the headers of a response.

    Attributes:
        request_id: The request that was answered.
        incarnation: Instance id and start of the incarnation.
        at: When the response was created.
        leaving: Whether the instance announces that it is shutting down.
        backoff_seconds: Backoff that it asks for; 0 for none.
        limit: Requests per second that it accepts from all nodes together; None for no limit.
    """

    request_id: str
    incarnation: str
    at: float
    leaving: bool
    backoff_seconds: float
    limit: float | None = None


class LinkSilence(msgspec.Struct):
    """A time in which the link of an instance delivers nothing, in one direction or both.

    Attributes:
        incarnation: Instance id and start of the incarnation.
        since: Start.
        until: End; infinite while it lasts.
    """

    incarnation: str
    since: float
    until: float = float("inf")


class OverwrittenEntry(msgspec.Struct):
    """A time in which another writer's invalid entry stands in the place of an instance's own.

    Attributes:
        instance_id: The instance, which is as good as not listed.
        since: When the entry was overwritten.
        until: When the instance wrote its own again; infinite until then.
    """

    instance_id: str
    since: float
    until: float = float("inf")


class LimitChange(msgspec.Struct, frozen=True):
    """A change of the limit that an instance announces.

    Attributes:
        incarnation: Instance id and start of the incarnation.
        at: When its responses begin to carry the limit.
        per_second: Requests per second that it accepts from all nodes together; None for no limit.
    """

    incarnation: str
    at: float
    per_second: float | None


class FatalTermination(msgspec.Struct, frozen=True):
    """The crash of an instance that was caused by a fatal request.

    Attributes:
        fatal: Name of the request, or id of the part of its prompt.
        incarnation: Instance id and start of the incarnation.
        at: Time of the crash.
    """

    fatal: str
    incarnation: str
    at: float


class IncarnationPeriod(msgspec.Struct):
    """The time in which an incarnation of an instance serves.

    Attributes:
        incarnation: Instance id and start of the incarnation.
        service: Its service.
        since: When it was listed.
        is_plain: Whether it belongs to a plain service rather than to engines.
        until: Its end; infinite while it runs.
        software_version: Version of its software.
    """

    incarnation: str
    service: str
    since: float
    is_plain: bool
    until: float = float("inf")
    software_version: str = ""


class ListedInstance(msgspec.Struct, frozen=True):
    """An instance that is listed and accepts requests.

    Attributes:
        instance_id: Its id.
        service: Its service.
        since: When this incarnation was listed.
        version: Its weights version; 0 for a plain service.
    """

    instance_id: str
    service: str
    since: float
    version: int


class TakenOrder(msgspec.Struct, frozen=True):
    """An order that an instance executed.

    Attributes:
        instance_id: The instance.
        holder: Node that sent it.
        token: Its fencing token.
        at: When it was executed.
    """

    instance_id: str
    holder: str
    token: int
    at: float


class AnsweredOrder(msgspec.Struct, frozen=True):
    """An order that an instance answered.

    Attributes:
        instance_id: The instance.
        holder: Node that sent it.
        token: Its fencing token.
        version: Weights version that it names.
        status: HTTP status of the answer.
        at_unix: Unix time of the answer, in seconds.
    """

    instance_id: str
    holder: str
    token: int
    version: int
    status: int
    at_unix: float


class LoggedOrder(msgspec.Struct, frozen=True):
    """An order and its outcome as the node that sent it has logged them.

    Attributes:
        instance_id: The instance.
        node: The node.
        token: Its fencing token.
        version: Weights version that it names.
        outcome: Outcome, as the log names it.
        at_unix: Unix time of the log line, in seconds.
    """

    instance_id: str
    node: str
    token: int
    version: int
    outcome: str
    at_unix: float


class InstanceAnswerEvent(msgspec.Struct, frozen=True):
    """An answer on a connection of an instance, its copy, or another fault of it.

    Attributes:
        incarnation: Instance id and start of the incarnation.
        event: What happened, and when.
    """

    incarnation: str
    event: AnswerEvent
