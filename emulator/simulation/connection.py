"""The connection of one caller to one router."""

from __future__ import annotations

import enum
from typing import Any

import msgspec
import trio

from emulator.simulation.history import Call
from hopstep.adapters.http_api.errors import ErrorBody, ErrorDetail
from hopstep.domain.inference import AnswerPart


class ConnectionEnd(enum.StrEnum):
    """Why a connection has ended."""

    CLOSED = "closed"
    LOST = "lost"
    REFUSED = "refused"


class Connection:
    """Carries one request and its answer.

    Attributes:
        number: Number of the sending.
        call: The call.
        request_id: Id that the router gave the request.
        scope: Cancelled when the caller disconnects.
        end: Why it has ended; None while it is open.
        delayed: Whether a pause of the router delayed it.
    """

    def __init__(self, number: int, call: Call) -> None:
        """Open the connection."""
        self.number = number
        self.call = call
        self.request_id = ""
        self.scope = trio.CancelScope()
        self.end: ConnectionEnd | None = None
        self.delayed = False
        self._sender, self._receiver = trio.open_memory_channel[AnswerPart | ErrorDetail](0)

    async def send_part(self, part: AnswerPart) -> None:
        """Send a part of the answer; waits for a slow reader."""
        await self._send(part)

    async def send_error(self, body: bytes) -> None:
        """Send an error body."""
        await self._send(msgspec.json.decode(body, type=ErrorBody).error)

    async def send_refusal(self, message: Any) -> None:
        """Send the body of an ASGI message that refuses the request by its headers."""
        if message["type"] == "http.response.body":
            await self.send_error(message["body"])

    async def receive(self) -> AnswerPart | ErrorDetail | None:
        """Return the next part or error; None after the end."""
        try:
            return await self._receiver.receive()
        except trio.EndOfChannel:
            return None

    def disconnect(self) -> None:
        """Close the connection on the caller's side."""
        self.close(ConnectionEnd.CLOSED)
        self.scope.cancel()

    def close(self, end: ConnectionEnd) -> None:
        """End the connection; later calls change nothing."""
        if self.end is None:
            self.end = end
        self._sender.close()

    async def _send(self, item: AnswerPart | ErrorDetail) -> None:
        try:
            await self._sender.send(item)
        except (trio.ClosedResourceError, trio.BrokenResourceError):
            await trio.lowlevel.checkpoint()
