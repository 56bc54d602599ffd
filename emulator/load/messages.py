"""Requests of the load generator and their results."""

from __future__ import annotations

import enum

import msgspec


class LoadRequest(msgspec.Struct, frozen=True):
    """One request to send.

    Attributes:
        tenant: Name of the tenant, for reports.
        key: Bearer key of the tenant.
        request_class: Name of the request class.
        model: Name of the model.
        prompt: Prompt text; for a chat, the user's message.
        max_tokens: Maximum length of the response in tokens.
        chat: Whether to send a chat completion, not a plain completion.
        idempotency_key: Key of a request that must run at most once; may be empty.
    """

    tenant: str
    key: str
    request_class: str
    model: str
    prompt: str
    max_tokens: int
    chat: bool = True
    idempotency_key: str = ""


class Outcome(enum.StrEnum):
    """How a request ended."""

    COMPLETE = "complete"
    WRONG = "wrong"
    REFUSED = "refused"
    INTERRUPTED = "interrupted"
    UNREACHABLE = "unreachable"


class LoadResult(msgspec.Struct, frozen=True):
    """Result of one request.

    Attributes:
        request: The request.
        outcome: ``COMPLETE`` only when every token is the expected one; ``WRONG`` when any differs.
        code: Error code of the refusal or interruption.
        execution: What the error says about whether the request was executed.
        router: Router that answered.
        engines: Engines that produced the response, in order.
        tokens: Tokens of the response.
        cached_tokens: Prompt tokens served from a cache.
        prompt_tokens: Tokens of the prompt.
        first_token_seconds: Time from sending to the first token.
        total_seconds: Time from sending to the end of the response.
        endpoints: Routers named by a refusal for wrong placement.
        retry_after_seconds: Delay that a refusal asks for before a retry.
        tries: Number of times that the request was sent.
    """

    request: LoadRequest
    outcome: Outcome
    code: str = ""
    execution: str = ""
    router: str = ""
    engines: tuple[str, ...] = ()
    tokens: int = 0
    cached_tokens: int = 0
    prompt_tokens: int = 0
    first_token_seconds: float = 0.0
    total_seconds: float = 0.0
    endpoints: tuple[str, ...] = ()
    retry_after_seconds: float = 0.0
    tries: int = 1
