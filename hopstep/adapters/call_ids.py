"""Ids of HTTP calls, by which a client tells the answer to a call from one to an earlier call.

A client sends a new id with each call, and a server repeats it with the answer. An answer that a
server sends twice may arrive after the next call on its connection was sent; its id shows that it
isn't the answer to that call. An answer without an id is accepted, as not every server repeats it.
"""

from __future__ import annotations

import secrets

import httpx

from hopstep.log_events.instances import ANSWER_TO_ANOTHER_CALL
from hopstep.logs import emit

CALL_ID = "call-id"
"""Header of a call and of its answer."""

ID_BYTES = 8


async def send_with_id(
    transport: httpx.AsyncBaseTransport, request: httpx.Request
) -> httpx.Response:
    """Send a request with an id and return its answer.

    Args:
        transport: Sends the request.
        request: The request, which has no id yet.

    Raises:
        httpx.RemoteProtocolError: When the answer is to another call; its connection is closed.
    """
    call_id = secrets.token_hex(ID_BYTES)
    request.headers[CALL_ID] = call_id
    response = await transport.handle_async_request(request)
    if response.headers.get(CALL_ID, call_id) == call_id:
        return response
    # An answer that is closed before it was read closes its connection.
    await response.aclose()
    emit(ANSWER_TO_ANOTHER_CALL, address=request.url.netloc.decode())
    raise httpx.RemoteProtocolError("the answer is to another call", request=request)


class IdentifiedTransport(httpx.AsyncBaseTransport):
    """A transport that sends each request with an id."""

    def __init__(self, transport: httpx.AsyncBaseTransport) -> None:
        """Send by a transport.

        Args:
            transport: The transport, which is closed with this one.
        """
        self._transport = transport

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        """Send one request."""
        return await send_with_id(self._transport, request)

    async def aclose(self) -> None:
        """Close all connections."""
        await self._transport.aclose()
