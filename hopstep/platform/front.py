"""ASGI application that passes clients' HTTP requests to the service, and its answers back."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import trio

from hopstep.domain.byte_budget import ByteShare
from hopstep.domain.exchanges.request import Headers
from hopstep.domain.exchanges.request_body import MAX_BODY_SECONDS
from hopstep.exceptions import ErrorCode, Execution, ServiceError
from hopstep.platform import names
from hopstep.platform.request_heads import read_head
from hopstep.ports.exchange_front import (
    CONNECTION_STATE,
    ClientAnswer,
    ClientConnection,
    ConnectionEnd,
    ExchangeHandler,
    IncomingRequest,
)

Scope = dict[str, Any]
Receive = Callable[[], Awaitable[Any]]
Send = Callable[[Any], Awaitable[None]]

UNKNOWN_STATUS = 502
TIMEOUT_STATUS = 504
REFUSED_STATUS = 503

STATUS_BY_CODE = {
    ErrorCode.MALFORMED_REQUEST: 400,
    ErrorCode.INVALID_KEY: 401,
    ErrorCode.NOT_FOUND: 404,
    ErrorCode.BODY_TOO_LARGE: 413,
    ErrorCode.RATE_LIMITED: 429,
}
"""Statuses of refusals whose cause is the request itself."""

CLOSED_CLIENT_SECONDS = 0.02
"""Wait before a request is served whose client has closed its sending side by then: the server
finds out within this time whether the client is still there, unless it is far away."""

RETRY_AFTER_STATUSES = frozenset({429, REFUSED_STATUS})
"""Statuses of refusals that carry ``Retry-After``."""


WITHOUT_CHUNKS = frozenset({"1.0"})
"""HTTP versions in which a body without a length ends with the connection: closing that ends the
response as complete, so that an incomplete one has to be reset."""

INTERNAL_ERROR = ServiceError(
    ErrorCode.INTERNAL, "a fault in this node", execution=Execution.UNKNOWN, retry_after_seconds=0.0
)
"""Answer to a request that failed with an unexpected exception in this node."""


class ExchangeFront:
    """ASGI application for clients."""

    def __init__(self, service: ExchangeHandler, is_stopping: Callable[[], bool]) -> None:
        """Pass requests to a service.

        Args:
            service: Serves requests.
            is_stopping: Returns whether clients should close their connections.
        """
        self._service = service
        self._is_stopping = is_stopping

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        connection = scope.get("state", {}).get(CONNECTION_STATE)
        began_at = connection.request_began_at if connection is not None else trio.current_time()
        head = read_head(scope, began_at)
        async with self._service.begin(head, connection) as request:
            if not await _read_body(receive, request):
                return
            answer = AsgiAnswer(send, self._is_stopping, request.share, connection)
            try:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(_cancel_on_disconnect, receive, nursery.cancel_scope, answer)
                    if connection is not None and connection.has_client_closed():
                        await trio.sleep(CLOSED_CLIENT_SECONDS)
                    await _serve(request, answer)
                    nursery.cancel_scope.cancel()
            finally:
                is_unframed = answer.has_no_length and scope["http_version"] in WITHOUT_CHUNKS
                if is_unframed and not answer.ended and connection is not None:
                    connection.disconnect()


async def _serve(request: IncomingRequest, answer: AsgiAnswer) -> None:
    """Serve one request; answer with the error if that fails before an answer has started."""
    try:
        await request.serve(answer)
    except ServiceError as error:
        await answer.refuse(error)
    except Exception:
        if answer.started:
            raise
        await answer.refuse(INTERNAL_ERROR)
        raise


class AsgiAnswer(ClientAnswer):
    """An HTTP response to a client.

    Attributes:
        started: Whether the head was sent.
        ended: Whether the response was ended as complete.
        has_no_length: Whether a head without a length was sent.
    """

    def __init__(
        self,
        send: Send,
        is_stopping: Callable[[], bool],
        share: ByteShare,
        connection: ClientConnection | None = None,
    ) -> None:
        """Answer one request.

        Args:
            send: ASGI callable of the server.
            is_stopping: Returns whether the client should close its connection.
            share: Bytes that are held for the request; refusals repeat its id.
            connection: Connection of the client; None when it isn't tracked.
        """
        self.share = share
        self._connection = connection
        self._send = send
        self._is_stopping = is_stopping
        self.started = False
        self.ended = False
        self.has_no_length = False

    @property
    def connection_end(self) -> ConnectionEnd:
        """Who ended the client's connection; see the port."""
        return self._connection.end if self._connection is not None else ConnectionEnd.OPEN

    async def start(self, status: int, headers: Headers, length: int | None) -> None:
        """Send the head; see the port."""
        self.started = True
        self.has_no_length = length is None
        fields = list(headers)
        if length is not None:
            fields.append((b"content-length", str(length).encode()))
        if self._is_stopping():
            fields.append((b"connection", b"close"))
        await self._send({"type": "http.response.start", "status": status, "headers": fields})

    async def send(self, data: bytes) -> None:
        """Send a part of the body; see the port."""
        await self._send({"type": "http.response.body", "body": data, "more_body": True})

    async def finish(self) -> None:
        """End the answer; see the port."""
        self.ended = True
        await self._send({"type": "http.response.body", "body": b"", "more_body": False})

    async def refuse(self, error: ServiceError) -> None:
        """Answer with an error of this node."""
        status = _status(error)
        fields: list[tuple[bytes, bytes]] = []
        if self.share.request_id:
            fields.append((names.REQUEST_ID, self.share.request_id.encode(names.HEADER_ENCODING)))
        if status in RETRY_AFTER_STATUSES:
            wait = f"{error.retry_after_seconds:.3f}".encode()
            fields.append((names.RETRY_AFTER, wait))
        body = _refusal_text(error).encode()
        fields.append((b"content-type", b"text/plain"))
        await self.start(status, tuple(fields), len(body))
        await self.send(body)
        await self.finish()


def _refusal_text(error: ServiceError) -> str:
    """Return the code of an error, and the header that is to blame if there is one."""
    return f"{error.code.value}: {error.field}" if error.field else error.code.value


def _status(error: ServiceError) -> int:
    """Return the HTTP status for an error of this node."""
    status = STATUS_BY_CODE.get(error.code)
    if status is not None:
        return status
    if error.execution is Execution.NOT_RUN:
        return REFUSED_STATUS
    return TIMEOUT_STATUS if error.code is ErrorCode.DEADLINE_EXCEEDED else UNKNOWN_STATUS


async def _read_body(receive: Receive, request: IncomingRequest) -> bool:
    """Read a request's body as far as it is wanted; return False when the client disconnected."""
    with trio.move_on_after(MAX_BODY_SECONDS):
        while True:
            message = await receive()
            if message["type"] != "http.request":
                return False
            wants_more = request.add(message.get("body", b""))
            if not (wants_more and message.get("more_body", False)):
                return True
    request.give_up_body()
    return True


async def _cancel_on_disconnect(
    receive: Receive, scope: trio.CancelScope, answer: AsgiAnswer
) -> None:
    """Cancel a request when its client disconnects.

    The server also reports a disconnect after a complete response, while it still closes the
    connection or prepares it for the next request; neither may be cancelled.
    """
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            if not answer.ended:
                scope.cancel()
            return
