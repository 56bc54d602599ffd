"""HTTP server of the weight store."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import quart
import quart_trio
import trio

from emulator.http_responses import json_response, read_message
from emulator.weight_store.messages import LOADS_PATH, LoadGrant, LoadRequest
from emulator.weight_store.model import LoadRefusedError, WeightStoreModel
from hopstep.adapters.http_server import serve_http

_TOO_MANY_REQUESTS = 429


def create_weight_store_app(model: WeightStoreModel) -> quart_trio.QuartTrio:
    """Return the HTTP application of the store."""
    app = quart_trio.QuartTrio(__name__)

    @app.post(LOADS_PATH)
    async def begin_load() -> quart.Response:
        """Grant a load, or refuse it when the rate limit is reached."""
        await read_message(LoadRequest)
        try:
            return json_response(LoadGrant(model.begin_load(trio.current_time())))
        except LoadRefusedError:
            return json_response(None, _TOO_MANY_REQUESTS)

    return app


async def serve_weight_store(
    model: WeightStoreModel,
    address: str,
    wait_shutdown: Callable[[], Awaitable[None]],
    *,
    task_status: trio.TaskStatus[list[str]] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve the store until ``wait_shutdown`` returns.

    Args:
        model: Model of the store's durations and rate limit.
        address: ``ip:port`` to listen on; port 0 lets the operating system choose.
        wait_shutdown: Returns when the listener should close.
        task_status: Receives the bound addresses once the listener is open.
    """
    app = create_weight_store_app(model)
    await serve_http(app, address, None, wait_shutdown, task_status=task_status)
