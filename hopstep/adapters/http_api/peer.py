"""Route for peers' calls over HTTP, which are passed to the given handler."""

from __future__ import annotations

from quart import Blueprint, Response

from hopstep.adapters.http_api.call_ids import repeat_call_id
from hopstep.adapters.http_api.context import PeerHandler
from hopstep.adapters.http_api.generation import read_body

CBOR = "application/cbor"


def peer_blueprint(handle: PeerHandler) -> Blueprint:
    """Return the route for peers' calls.

    Args:
        handle: Verifies, decodes and answers a call; raises ``PeerMessageError``.
    """
    blueprint = Blueprint("peer", __name__)
    blueprint.after_request(repeat_call_id)

    @blueprint.post("/peer/v1/<name>")
    async def call(name: str) -> Response:
        """Answer one call."""
        return Response(await handle(name, await read_body()), content_type=CBOR)

    return blueprint
