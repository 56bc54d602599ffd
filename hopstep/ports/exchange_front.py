"""Port between the HTTP server for clients and the service that handles their exchanges."""

from __future__ import annotations

import abc
import enum
from contextlib import AbstractAsyncContextManager

import msgspec

from hopstep.domain.byte_budget import UNLIMITED_SHARE, ByteShare
from hopstep.domain.exchanges.request import Headers, Prompt
from hopstep.exceptions import ValidationError

CONNECTION_STATE = "client_connection"
"""Entry of a request's ASGI ``state`` with its ``ClientConnection``; missing if not tracked."""


TARGET_STATE = "request_target"
"""Entry of a request's ASGI ``state`` with its path and query exactly as they were sent."""


class RequestHead(msgspec.Struct, frozen=True):
    """A client's request without its body, as it was read.

    Attributes:
        request_id: Unique for each attempt of a client; empty when missing.
        method: HTTP method.
        host: Value of the ``Host`` header.
        path: Path as it was sent.
        target: Raw path and query.
        headers: Headers that are forwarded.
        key: API key; empty for none.
        client_timeout_seconds: Timeout of the client, from the start; None when it names none.
        prompt: Description of its prompt; None when it names no model.
        resume_after: Id of the last event that the client has; empty for none.
        resumes: Id of the request that began the stream that the client resumes; empty for none.
        received_at: Clock time in seconds at which its first byte was read.
        usage_tokens: Tokens of its prompt and longest answer; None when it names none.
        error: Names the header that can't be meant, for which it is refused; None for none.
    """

    request_id: str
    method: bytes
    host: str
    path: str
    target: bytes
    headers: Headers
    key: str
    client_timeout_seconds: float | None
    prompt: Prompt | None
    resume_after: str
    received_at: float
    usage_tokens: int | None = None
    resumes: str = ""
    error: ValidationError | None = None


class ConnectionEnd(enum.StrEnum):
    """Who ended the connection of a client."""

    OPEN = ""
    """Nobody yet."""

    CLIENT = "client"
    """The client closed it, or its sending side alone: reading doesn't tell which."""

    RESET = "reset"
    """It was reset, by the client or on the way."""

    NODE = "node"
    """This node closed it."""


class ClientConnection(abc.ABC):
    """The connection of a client, as the HTTP server uses it.

    Attributes:
        client: ``ip:port`` of the client.
        end: Who ended the connection first.
        last_progress_at: When a byte was last read from the client or accepted for it, or the
            current write began; steady clock, seconds.
        is_writing: Whether a write waits for the client.
        request_began_at: When the first byte of the request under way was read; same clock.
    """

    client: str
    end: ConnectionEnd
    last_progress_at: float
    is_writing: bool
    request_began_at: float

    @abc.abstractmethod
    def has_client_closed(self) -> bool:
        """Return whether the client has closed its sending side at least, read or not yet."""

    @abc.abstractmethod
    def note_left(self) -> None:
        """Note that the client has left, though that isn't read yet."""

    @property
    @abc.abstractmethod
    def is_closed(self) -> bool:
        """Whether the connection has ended, or either side has closed its sending side."""

    @abc.abstractmethod
    def has_unread_bytes(self) -> bool:
        """Return whether bytes of the client wait to be read."""

    @abc.abstractmethod
    def keep_open(self) -> None:
        """Ignore the server's next close, unless it has closed its sending side before."""

    @abc.abstractmethod
    def is_reset(self) -> bool:
        """Return whether the connection was reset, noticed by a read or write or not yet."""

    @abc.abstractmethod
    def disconnect(self) -> None:
        """Reset the connection; the client learns nothing about its request."""


class ClientAnswer(abc.ABC):
    """The response to a client.

    Attributes:
        share: Bytes that are held for the request.
    """

    share: ByteShare = UNLIMITED_SHARE

    @property
    def connection_end(self) -> ConnectionEnd:
        """Who ended the client's connection; open where connections aren't tracked."""
        return ConnectionEnd.OPEN

    @abc.abstractmethod
    async def start(self, status: int, headers: Headers, length: int | None) -> None:
        """Send the head; ``length`` is None when the body ends with ``finish``."""

    @abc.abstractmethod
    async def send(self, data: bytes) -> None:
        """Send a chunk of the body."""

    @abc.abstractmethod
    async def finish(self) -> None:
        """End the response as complete; without this call the client sees it cut off."""


class IncomingRequest(abc.ABC):
    """A client's request whose head has been read, and whose body arrives in parts.

    Attributes:
        share: Bytes that are held for the request.
    """

    share: ByteShare

    @abc.abstractmethod
    def add(self, data: bytes) -> bool:
        """Add the next part of the body; return whether more of it is to be read.

        Without that the request is served at once: it is refused.
        """

    @abc.abstractmethod
    def give_up_body(self) -> None:
        """Note that the body doesn't end in time; the request is refused when it is served."""

    @abc.abstractmethod
    async def serve(self, answer: ClientAnswer) -> None:
        """Serve the request, whose body has ended or is read no further.

        Raises:
            ServiceError: When the request failed before any part of a response was sent.
        """


class ExchangeHandler(abc.ABC):
    """Handles clients' requests."""

    @abc.abstractmethod
    def begin(
        self, head: RequestHead, connection: ClientConnection | None
    ) -> AbstractAsyncContextManager[IncomingRequest]:
        """Return a context for a request whose head has been read, until its response has ended.

        Args:
            head: Head of the request.
            connection: Connection of the client; None when it isn't tracked.
        """
