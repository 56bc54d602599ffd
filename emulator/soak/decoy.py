"""An address to which only untrusted entries point: no request should arrive there."""

from __future__ import annotations

import quart
import quart_trio

from emulator.exchange_platform.instance_application import MISDIRECTED
from emulator.soak.history import History


def create_decoy(history: History) -> quart_trio.QuartTrio:
    """Return the application, which records requests."""
    app = quart_trio.QuartTrio(__name__)

    @app.route("/<path:path>", methods=["GET", "POST"])
    async def serve(path: str) -> quart.Response:
        """Record a request, and refuse it as an instance with another id does."""
        request_id = quart.request.headers.get("Attempt-Id", "")
        history.decoy_requests.append(f"/{path} {request_id}")
        return quart.Response(b"", status=MISDIRECTED, headers={"Instance-Id": "decoy"})

    return app
