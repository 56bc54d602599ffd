"""A server that speaks HTTP/1.1 and nothing else, whatever protocol a client asks to go over to.

RFC 9110, section 7.8: a server may ignore ``Upgrade``. The request is then an ordinary one.
"""

from __future__ import annotations

import h11
import hypercorn.protocol
from hypercorn.protocol.h11 import H11Protocol

UPGRADE = b"upgrade"


class Http1OnlyProtocol(H11Protocol):
    """Hypercorn's HTTP/1.1 protocol without its ways to HTTP/2 and WebSocket."""

    async def _check_protocol(self, event: h11.Request) -> None:
        """Stay with HTTP/1.1."""

    async def _create_stream(self, request: h11.Request) -> None:
        """Begin a request as if it hadn't asked for another protocol."""
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
    """Have all servers of this process speak HTTP/1.1 only.

    The server makes its protocols itself and has no setting for this.
    """
    hypercorn.protocol.H11Protocol = Http1OnlyProtocol  # type: ignore[attr-defined]
