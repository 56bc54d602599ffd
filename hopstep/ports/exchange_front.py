"""Port between clients' HTTP and the service that serves routed exchanges."""

from __future__ import annotations

import abc

import msgspec

from hopstep.domain.exchanges.request import Headers, Prompt


class RequestHead(msgspec.Struct, frozen=True):
    """A request as it was read, before anything is decided.

    Attributes:
        request_id: Unique for each attempt of a client; empty when it is missing.
        method: HTTP method.
        host: Host that it was sent to.
        path: Path as it was sent.
        target: Raw path and query.
        headers: Headers that are passed on.
        key: API key; empty for none.
        patience_seconds: How long the client waits; None when it doesn't say.
        prompt: What it says of its prompt.
        resume_after: Last event that the client has.
        received_at: When its head was read.
        usage_tokens: Tokens of its prompt and longest answer; None when it doesn't say.
    """

    request_id: str
    method: bytes
    host: str
    path: str
    target: bytes
    headers: Headers
    key: str
    patience_seconds: float | None
    prompt: Prompt | None
    resume_after: str
    received_at: float
    usage_tokens: int | None = None


class ClientAnswer(abc.ABC):
    """The answer as the client gets it."""

    @abc.abstractmethod
    async def start(self, status: int, headers: Headers, length: int | None) -> None:
        """Send the head; ``length`` is None when the body ends with ``finish``."""

    @abc.abstractmethod
    async def send(self, data: bytes) -> None:
        """Send a part of the body."""

    @abc.abstractmethod
    async def finish(self) -> None:
        """End the answer as whole; without this call it ends as cut off."""


class ExchangeHandler(abc.ABC):
    """Serves requests."""

    @abc.abstractmethod
    def max_body_bytes(self) -> int:
        """Return the longest body that is read into memory."""

    @abc.abstractmethod
    async def serve(self, head: RequestHead, body: bytes, answer: ClientAnswer) -> None:
        """Serve one request.

        Raises:
            ServiceError: When nothing of an answer was sent.
        """
