"""Peers' calls over HTTP, passed on to the membership's handler."""

from __future__ import annotations

from quart import Blueprint, Response

from hopstep.adapters.http_api.context import PeerHandler
from hopstep.adapters.http_api.generation import read_body

CBOR = "application/cbor"


def peer_blueprint(handle: PeerHandler) -> Blueprint:
    """Return the routes of peers' calls.

    Args:
        handle: Verifies, decodes and answers a call; raises ``PeerMessageError``.
    """
    blueprint = Blueprint("peer", __name__)

    @blueprint.post("/peer/v1/<name>")
    async def call(name: str) -> Response:
        """Answer one call."""
        return Response(await handle(name, await read_body()), content_type=CBOR)

    return blueprint
