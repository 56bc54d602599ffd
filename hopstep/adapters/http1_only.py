"""Restricts the HTTP server to HTTP/1.1 and ignores requests for a protocol upgrade.

RFC 9110, section 7.8: a server may ignore ``Upgrade``. The request is then handled normally.

Requests also get their target as it was sent: ASGI has path and query apart, so that an empty query
can't be told from none. The limit on a head is that of the moment in which its first bytes arrive.
"""

from __future__ import annotations

import h11
import hypercorn.protocol
from hypercorn.events import Event, RawData
from hypercorn.protocol.h11 import H11Protocol

from hopstep.ports.exchange_front import TARGET_STATE

UPGRADE = b"upgrade"


class Http1OnlyProtocol(H11Protocol):
    """Hypercorn's HTTP/1.1 protocol without its upgrades to HTTP/2 and WebSocket."""

    _head_limit_bytes = 0

    async def handle(self, event: Event) -> None:
        """Process what happens on the connection."""
        if isinstance(event, RawData):
            self._apply_head_limit()
        await super().handle(event)

    def _apply_head_limit(self) -> None:
        """Apply a changed limit to the head whose first bytes arrive now."""
        limit_bytes = self.config.h11_max_incomplete_size
        if limit_bytes == self._head_limit_bytes or not self._is_between_requests():
            return
        self._head_limit_bytes = limit_bytes
        self.connection = h11.Connection(h11.SERVER, max_incomplete_event_size=limit_bytes)

    def _is_between_requests(self) -> bool:
        """Return whether nothing of the next request has arrived, and the last one has ended."""
        states = (self.connection.our_state, self.connection.their_state)
        return states == (h11.IDLE, h11.IDLE) and not self.connection.trailing_data[0]

    async def _check_protocol(self, event: h11.Request) -> None:
        """Skip the check for an upgrade."""

    async def _create_stream(self, request: h11.Request) -> None:
        """Begin a request without its ``Upgrade`` header, and pass on its target."""
        self.connection_state[TARGET_STATE] = bytes(request.target)
        headers = [(name, value) for name, value in request.headers if name != UPGRADE]
        if len(headers) != len(request.headers):
            request = h11.Request(
                method=request.method,
                headers=headers,
                target=request.target,
                http_version=request.http_version,
            )
        await super()._create_stream(request)


def speak_http1_only() -> None:
    """Restrict all servers of this process to HTTP/1.1.

    The server creates its protocol objects itself and has no setting for this.
    """
    hypercorn.protocol.H11Protocol = Http1OnlyProtocol  # type: ignore[attr-defined]
