"""Record of a simulation, which the oracle reads."""

from __future__ import annotations

import enum
from collections.abc import MutableMapping
from typing import Any

import msgspec
import trio

from hopstep.domain.configuration.document import AcceptedConfiguration
from hopstep.exceptions import ErrorCode, Execution
from hopstep.ports.engine import GenerateRequest


class Outcome(enum.StrEnum):
    """Outcome of one sending of a request for its caller."""

    OPEN = "open"
    COMPLETE = "complete"
    REFUSED = "refused"
    FAILED = "failed"
    CONNECTION_REFUSED = "connection_refused"
    CONNECTION_LOST = "connection_lost"
    LEFT = "left"


class Call(msgspec.Struct, frozen=True):
    """A request of a caller.

    Attributes:
        tenant: Name of the tenant, which also is its bearer key.
        request_class: Name of the class.
        prompt: Prompt text.
        max_tokens: Longest answer, in tokens.
        idempotency_key: Caller's key; may be empty.
    """

    tenant: str
    request_class: str
    prompt: str
    max_tokens: int
    idempotency_key: str = ""


class Answer(msgspec.Struct):
    """One sending of a call and the answer that its caller received.

    Attributes:
        number: Unique number of the sending.
        call: The call.
        router: Name of the router.
        started_at: Time of sending, in seconds.
        request_id: Id that the router gave it.
        tokens: Tokens in the order of their arrival.
        sequence_errors: Number of parts whose sequence didn't continue the tokens before.
        finished: Whether the end mark arrived.
        usage_tokens: Completion tokens according to the answer's usage.
        cached_tokens: Cached tokens according to the answer's usage.
        outcome: Outcome for the caller.
        code: Error code of a refusal or failure.
        execution: Execution state that the refusal reports.
        retry_after_seconds: Time after which to retry, according to the refusal.
        endpoints: Routers to try instead, according to the refusal.
        first_token_at: Time of the first token, in seconds.
        ended_at: Time of the end, in seconds.
        delayed: Whether the caller or a pause of the router delayed the answer.
    """

    number: int
    call: Call
    router: str
    started_at: float
    request_id: str = ""
    tokens: list[str] = []
    sequence_errors: int = 0
    finished: bool = False
    usage_tokens: int = -1
    cached_tokens: int = 0
    outcome: Outcome = Outcome.OPEN
    code: str = ""
    execution: str = ""
    retry_after_seconds: float = 0.0
    endpoints: tuple[str, ...] = ()
    first_token_at: float = float("inf")
    ended_at: float = float("inf")
    delayed: bool = False

    @property
    def reports_not_run(self) -> bool:
        """Whether the response states that nothing of this sending ran."""
        return self.execution == Execution.NOT_RUN.value

    @property
    def error_code(self) -> ErrorCode | None:
        """Error code; None without an error."""
        return ErrorCode(self.code) if self.code else None


class Dispatch(msgspec.Struct):
    """An attempt that a router sent to an engine.

    Attributes:
        at: Time of the decision, in seconds; a process that is paused between the decision and
            the sending sends it later.
        router: Name of the router.
        incarnation_number: Number of the router's incarnation.
        revision: Configuration revision that the router had applied at the decision.
        address: Address of the engine.
        request: The request that was sent.
        sending: Number of the caller's sending; 0 when it isn't known.
        answered_by: Incarnation of the first frame; empty without one.
        cached_tokens: Cached tokens according to the first frame's usage.
        imported_tokens: Tokens read from a KV cache store, according to the first frame's usage.
    """

    at: float
    router: str
    incarnation_number: int
    revision: int
    address: str
    request: GenerateRequest
    sending: int
    answered_by: str = ""
    cached_tokens: int = 0
    imported_tokens: int = 0


class Applied(msgspec.Struct, frozen=True):
    """A revision that a router applied."""

    at: float
    router: str
    incarnation_number: int
    revision: int


class Accepted(msgspec.Struct, frozen=True):
    """A revision that the store accepted."""

    at: float
    accepted: AcceptedConfiguration


class RouterIncarnation(msgspec.Struct):
    """One incarnation of a router.

    Attributes:
        router: Name of the router.
        number: Number of the incarnation, over all routers.
        began_at: Time of its start, in seconds.
        ended_at: Time when it was killed or had stopped; infinite while it runs.
        planned_stop_at: Time when its planned stop was requested; infinite without one.
        killed: Whether it was killed.
    """

    router: str
    number: int
    began_at: float
    ended_at: float = float("inf")
    planned_stop_at: float = float("inf")
    killed: bool = False


class Leaving(msgspec.Struct, frozen=True):
    """A leaving back end, which must get no new work.

    Attributes:
        address: Its address.
        known_at: Time from which a source that routers read shows it as leaving.
        until: Time when it was no longer leaving.
    """

    address: str
    known_at: float
    until: float = float("inf")


class Topic(enum.StrEnum):
    """Kind of updates that a fault can keep from routers."""

    CONFIGURATION = "configuration"
    LEAVING = "leaving"


class Interval(msgspec.Struct, frozen=True):
    """A time interval in which a fault keeps updates from routers.

    Attributes:
        began_at: Start time, in seconds.
        ended_at: End time, in seconds.
        router: The only affected router; empty for all.
        topics: Updates that don't reach the router.
    """

    began_at: float
    ended_at: float
    router: str = ""
    topics: frozenset[Topic] = frozenset(Topic)

    def concerns(self, router: str, topic: Topic) -> bool:
        """Return whether updates of a topic don't reach a router in the interval."""
        return self.router in ("", router) and topic in self.topics


class LogLine(msgspec.Struct, frozen=True):
    """A log line that the oracle checks."""

    at: float
    event: str
    request_id: str


class History:
    """All records that the oracle reads."""

    def __init__(self) -> None:
        """Start empty."""
        self.answers: list[Answer] = []
        self.dispatches: list[Dispatch] = []
        self.applied: list[Applied] = []
        self.accepted: list[Accepted] = []
        self.incarnations: list[RouterIncarnation] = []
        self.leaving: list[Leaving] = []
        self.disturbances: list[Interval] = []
        self.log: list[LogLine] = []

    def undisturbed_since(self, router: str, topic: Topic, since: float, seconds: float) -> float:
        """Return the start of the first span of ``seconds`` without a fault at a router.

        Args:
            router: Name of the router.
            topic: Kind of updates that must reach it.
            since: Earliest start of the span, in seconds.
            seconds: Length of the span.
        """
        start = since
        for interval in sorted(self.disturbances, key=lambda item: item.began_at):
            if interval.concerns(router, topic) and interval.began_at < start + seconds:
                start = max(start, interval.ended_at)
        return start

    def note_log(
        self, _logger: object, _method: str, entry: MutableMapping[str, Any]
    ) -> MutableMapping[str, Any]:
        """Keep log lines about requests; a ``structlog`` processor."""
        if "request_id" in entry:
            line = LogLine(trio.current_time(), entry["event"], entry["request_id"])
            self.log.append(line)
        return entry
