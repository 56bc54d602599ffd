"""A client's request from its head to the end of its body."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from hopstep.domain.byte_budget import ByteShare
from hopstep.domain.exchanges.request_body import RequestBody
from hopstep.ports.exchange_front import ClientAnswer, IncomingRequest, RequestHead

Serve = Callable[[RequestHead, RequestBody, ClientAnswer], Awaitable[None]]


class IncomingExchange(IncomingRequest):
    """Collects the body of a request, and has it served once it is complete."""

    def __init__(self, head: RequestHead, share: ByteShare, limit_bytes: int, serve: Serve) -> None:
        """Start without any part of the body.

        Args:
            head: Head of the request.
            share: Bytes that are held for the request.
            limit_bytes: Limit on the body, which stays the same until its end.
            serve: Serves a complete request.
        """
        self.share = share
        self._head = head
        self._body = RequestBody(limit_bytes, share)
        self._serve = serve
        share.body_pending = True

    def add(self, data: bytes) -> bool:
        """Add the next part of the body; see the port."""
        self._body.add(data)
        return not self._body.may_be_endless

    def give_up_body(self) -> None:
        """Note that the body doesn't end in time; see the port."""
        self._body.give_up()

    async def serve(self, answer: ClientAnswer) -> None:
        """Serve the request; see the port."""
        self.share.body_pending = False
        await self._serve(self._head, self._body, answer)
