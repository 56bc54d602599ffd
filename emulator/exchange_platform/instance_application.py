"""The HTTP application of an instance: its paths, and the notices in its responses."""

from __future__ import annotations

from typing import TYPE_CHECKING

import quart
import quart_trio
import trio

from emulator.exchange_platform.instance_requests import current_request_name
from emulator.http_responses import json_response

if TYPE_CHECKING:
    from emulator.exchange_platform.http_instance import HttpInstance

MISDIRECTED = 421
FIRST_EPOCH = 1
MILLISECONDS = 1_000.0


def create_app(instance: HttpInstance) -> quart_trio.QuartTrio:
    """Return the HTTP application of an instance."""
    app = quart_trio.QuartTrio(__name__)

    @app.after_request
    async def add_notices(response: quart.Response) -> quart.Response:
        """Add the instance's notices to a response and notify the listener."""
        request_id = current_request_name()
        if instance.notices.leaving:
            response.headers["Server-Leaving"] = "1"
        if instance.notices.limit is not None:
            response.headers["Server-Limit"] = f"{instance.notices.limit:g}"
        if request_id:
            instance.report_notices(request_id, asks_backoff="Retry-After" in response.headers)
        return response

    @app.get("/report")
    async def report() -> quart.Response:
        """Return the instance's report, unless another instance is expected here."""
        instance.report_control_request()
        own = instance.traits.instance_id
        if quart.request.headers.get("Expect-Instance", own) != own:
            return quart.Response(b"", status=MISDIRECTED, headers={"Instance-Id": own})
        return json_response(instance.report())

    @app.get("/kv-events")
    async def cache_events() -> quart.Response:
        """Return no events after the wait, as these instances keep no segments."""
        await trio.sleep(float(quart.request.headers.get("Wait-Ms", "0")) / MILLISECONDS)
        position = int(quart.request.args.get("since", "0"))
        return json_response(
            {
                "epoch": FIRST_EPOCH,
                "nextPageToken": position,
                "lost": False,
                "events": [],
                "born": instance.traits.born_ms,
            }
        )

    @app.post("/order")
    async def order() -> quart.Response:
        """Execute an order."""
        instance.report_control_request()
        return await instance.order()

    @app.route("/<path:path>", methods=["GET", "POST"])
    async def serve(path: str) -> quart.Response:
        """Run a request."""
        return await instance.serve()

    return app
