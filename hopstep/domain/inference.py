"""A caller's request and the parts of its answer, as services pass them on."""

from __future__ import annotations

import enum

import msgspec

from hopstep.domain.configuration.document import Model, RequestClass, Tenant
from hopstep.domain.quarantine.crashes import RequestIdentity
from hopstep.domain.quarantine.fingerprint import request_fingerprint


class InferenceRequest(msgspec.Struct, frozen=True):
    """An authenticated request with its tenant, class and model resolved.

    Attributes:
        request_id: Unique, made by this router.
        tenant: Tenant of the caller.
        request_class: Class, as configured when the request arrived.
        model: Model asked for.
        prompt: Rendered prompt text.
        max_tokens: Highest number of answer tokens, already bounded by the class.
        idempotency_key: Caller's key for a request that must run at most once; may be empty.
        deadline: Absolute time by the node's monotonic clock, in seconds.
    """

    request_id: str
    tenant: Tenant
    request_class: RequestClass
    model: Model
    prompt: str
    max_tokens: int
    idempotency_key: str = ""
    deadline: float = float("inf")

    def name(self) -> RequestIdentity:
        """Return the name it shares with equal requests of its caller; hashes the whole prompt."""
        target = f"{self.model.name} {self.max_tokens}".encode()
        fingerprint = request_fingerprint(self.tenant.name, target, self.prompt.encode())
        return RequestIdentity(fingerprint, self.tenant.name, self.request_class.name)


class AnswerFinish(enum.StrEnum):
    """Why an answer ended."""

    STOP = "stop"
    LENGTH = "length"


class AnswerUsage(msgspec.Struct, frozen=True):
    """Token counts of a complete answer, over all its attempts.

    Attributes:
        prompt_tokens: Tokens of the caller's prompt.
        cached_tokens: Prompt tokens that the first answering attempt took from a cache.
        completion_tokens: Tokens delivered to the caller.
    """

    prompt_tokens: int
    cached_tokens: int
    completion_tokens: int


class AnswerPart(msgspec.Struct, frozen=True):
    """Consecutive tokens of an answer, without gaps; the last part has ``finish``.

    Attributes:
        sequence: Index of the first token in the answer.
        tokens: Texts of the tokens.
        engine: Name of the engine that generated them.
        finish: Set on the last part only.
        usage: Set on the last part only.
    """

    sequence: int
    tokens: tuple[str, ...]
    engine: str
    finish: AnswerFinish | None = None
    usage: AnswerUsage | None = None
