"""What happened in a simulation, as the oracle reads it."""

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
    """How a sending of a request ended for its caller."""

    OPEN = "open"
    COMPLETE = "complete"
    REFUSED = "refused"
    FAILED = "failed"
    CONNECTION_REFUSED = "connection_refused"
    CONNECTION_LOST = "connection_lost"
    LEFT = "left"


class Call(msgspec.Struct, frozen=True):
    """What a caller asks.

    Attributes:
        tenant: Name of the tenant, which also is its bearer key.
        request_class: Name of the class.
        prompt: Prompt text.
        max_tokens: Longest answer.
        idempotency_key: Caller's key; may be empty.
    """

    tenant: str
    request_class: str
    prompt: str
    max_tokens: int
    idempotency_key: str = ""


class Answer(msgspec.Struct):
    """One sending of a call and what its caller got.

    Attributes:
        number: Unique number of the sending.
        call: What was asked.
        router: Name of the router.
        started_at: When it was sent.
        request_id: Identity that the router gave it.
        tokens: Tokens in the order in which they came.
        sequence_errors: Parts whose sequence didn't fit the tokens before.
        finished: Whether the end mark came.
        usage_tokens: Completion tokens by the answer's usage.
        cached_tokens: Cached tokens by the answer's usage.
        outcome: How it ended.
        code: Error code of a refusal or failure.
        execution: What the refusal says of execution.
        retry_after_seconds: When to come back, by the refusal.
        endpoints: Routers to ask instead, by the refusal.
        first_token_at: When the first token came.
        ended_at: When it ended.
        delayed: Whether the caller or a pause of the router held the answer up.
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
    def says_not_run(self) -> bool:
        """Whether the caller was told that nothing of this sending ran."""
        return self.execution == Execution.NOT_RUN.value

    @property
    def error_code(self) -> ErrorCode | None:
        """Error code, or None."""
        return ErrorCode(self.code) if self.code else None


class Dispatch(msgspec.Struct):
    """An attempt on its way to an engine.

    Attributes:
        at: When it was decided; a process that is paused between the decision and the sending
            sends it later.
        router: Who sent it.
        life: Number of the router's start.
        revision: Configuration revision in force at the router then.
        address: Engine that it was sent to.
        request: What was sent.
        sending: Number of the caller's sending; 0 when it isn't known.
        answered_by: Incarnation of the first frame; empty without one.
        cached_tokens: Cached tokens by the first frame's usage.
        imported_tokens: Tokens read from a KV cache store by the first frame's usage.
    """

    at: float
    router: str
    life: int
    revision: int
    address: str
    request: GenerateRequest
    sending: int
    answered_by: str = ""
    cached_tokens: int = 0
    imported_tokens: int = 0


class Applied(msgspec.Struct, frozen=True):
    """A revision that came into force at a router."""

    at: float
    router: str
    life: int
    revision: int


class Accepted(msgspec.Struct, frozen=True):
    """A revision that the store accepted."""

    at: float
    accepted: AcceptedConfiguration


class Life(msgspec.Struct):
    """One start of a router, to its end.

    Attributes:
        router: Its name.
        number: Counted over all routers.
        began_at: When it started.
        ended_at: When it was killed or had stopped.
        planned_stop_at: When its planned stop was asked for; infinite without one.
        killed: Whether it was killed.
    """

    router: str
    number: int
    began_at: float
    ended_at: float = float("inf")
    planned_stop_at: float = float("inf")
    killed: bool = False


class Leaving(msgspec.Struct, frozen=True):
    """A back end that must get no new work.

    Attributes:
        address: Its address.
        known_at: From when on a source that routers read has shown it.
        until: When it came back.
    """

    address: str
    known_at: float
    until: float = float("inf")


class Topic(enum.StrEnum):
    """What a fault keeps routers from learning."""

    CONFIGURATION = "configuration"
    LEAVING = "leaving"


class Interval(msgspec.Struct, frozen=True):
    """A span of time in which a fault keeps routers from learning something.

    Attributes:
        began_at: Its begin.
        ended_at: Its end.
        router: The only router that it concerns; empty for all.
        topics: What they can't learn.
    """

    began_at: float
    ended_at: float
    router: str = ""
    topics: frozenset[Topic] = frozenset(Topic)

    def concerns(self, router: str, topic: Topic) -> bool:
        """Return whether a router can't learn of a topic meanwhile."""
        return self.router in ("", router) and topic in self.topics


class LogLine(msgspec.Struct, frozen=True):
    """A log line that the oracle looks at."""

    at: float
    event: str
    request_id: str


class History:
    """Everything that the oracle knows."""

    def __init__(self) -> None:
        """Start empty."""
        self.answers: list[Answer] = []
        self.dispatches: list[Dispatch] = []
        self.applied: list[Applied] = []
        self.accepted: list[Accepted] = []
        self.lives: list[Life] = []
        self.leaving: list[Leaving] = []
        self.disturbed: list[Interval] = []
        self.log: list[LogLine] = []

    def calm_since(self, router: str, topic: Topic, since: float, seconds: float) -> float:
        """Return the first time from which on a router had ``seconds`` without a fault.

        Args:
            router: Name of the router.
            topic: What it must learn.
            since: From when on it could learn it.
            seconds: Length of the calm.
        """
        calm = since
        for interval in sorted(self.disturbed, key=lambda item: item.began_at):
            if interval.concerns(router, topic) and interval.began_at < calm + seconds:
                calm = max(calm, interval.ended_at)
        return calm

    def note_log(
        self, _logger: object, _method: str, entry: MutableMapping[str, Any]
    ) -> MutableMapping[str, Any]:
        """Keep log lines about requests; a ``structlog`` processor."""
        if "request_id" in entry:
            line = LogLine(trio.current_time(), entry["event"], entry["request_id"])
            self.log.append(line)
        return entry
