"""Requests of the load generator and what came of them."""

from __future__ import annotations

import enum

import msgspec


class LoadRequest(msgspec.Struct, frozen=True):
    """One request to send.

    Attributes:
        tenant: Name of the tenant, for reports.
        key: Its bearer key.
        request_class: Request class.
        model: Model.
        prompt: Prompt text; for a chat, the user's message.
        max_tokens: Longest answer.
        chat: Whether it goes as a chat or as a plain completion.
        idempotency_key: For requests that must run at most once; may be empty.
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
    """What came of a request."""

    COMPLETE = "complete"
    WRONG = "wrong"
    REFUSED = "refused"
    INTERRUPTED = "interrupted"
    UNREACHABLE = "unreachable"


class LoadResult(msgspec.Struct, frozen=True):
    """What came of one request.

    Attributes:
        request: The request.
        outcome: Complete only when every token is the oracle's; wrong when any differs.
        code: Code of the refusal or interruption.
        execution: What the refusal proves of execution.
        router: Router that answered.
        engines: Engines that made the answer, in order.
        tokens: Tokens of the answer.
        cached_tokens: Prompt tokens taken from a cache.
        prompt_tokens: Tokens of the prompt.
        first_token_seconds: From sending to the first token.
        total_seconds: From sending to the end.
        endpoints: Routers that a placement refusal names.
        retry_after_seconds: When a refusal asks to come back.
        tries: Times that it was sent.
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
