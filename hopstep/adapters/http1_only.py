"""Restricts the HTTP server to HTTP/1.1 and ignores requests for a protocol upgrade.

RFC 9110, section 7.8: a server may ignore ``Upgrade``. The request is then handled normally.

Requests also get their target as it was sent: ASGI has path and query apart, so that an empty query
can't be told from none.
"""

from __future__ import annotations

import h11
import hypercorn.protocol
from hypercorn.protocol.h11 import H11Protocol

from hopstep.ports.exchange_front import TARGET_STATE

UPGRADE = b"upgrade"


class Http1OnlyProtocol(H11Protocol):
    """Hypercorn's HTTP/1.1 protocol without its upgrades to HTTP/2 and WebSocket."""

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
