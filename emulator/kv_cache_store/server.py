"""HTTP server of a KV cache store."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import quart
import quart_trio
import trio

from emulator.http_responses import json_response, read_message
from emulator.kv_cache_store.messages import LOOKUP_PATH, WRITE_PATH, BlockList, LookupAnswer
from emulator.kv_cache_store.model import KvCacheStoreModel
from hopstep.adapters.http_server import serve_http

DEFAULT_CAPACITY_BLOCKS = 262_144


def create_kv_cache_store_app(model: KvCacheStoreModel) -> quart_trio.QuartTrio:
    """Return the HTTP application of a store."""
    app = quart_trio.QuartTrio(__name__)

    @app.post(LOOKUP_PATH)
    async def lookup() -> quart.Response:
        """Return how many leading blocks of a chain are held."""
        message = await read_message(BlockList)
        return json_response(LookupAnswer(model.held_prefix(message.block_keys)))

    @app.post(WRITE_PATH)
    async def write() -> quart.Response:
        """Store blocks."""
        message = await read_message(BlockList)
        model.write(message.block_keys)
        return json_response(None)

    return app


async def serve_kv_cache_store(
    address: str,
    wait_shutdown: Callable[[], Awaitable[None]],
    *,
    capacity_blocks: int = DEFAULT_CAPACITY_BLOCKS,
    task_status: trio.TaskStatus[list[str]] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve a store until ``wait_shutdown`` returns.

    Args:
        address: ``ip:port`` to listen on; port 0 lets the operating system choose.
        wait_shutdown: Returns when the listener should close.
        capacity_blocks: Capacity of the store in blocks.
        task_status: Receives the bound addresses once the listener is open.
    """
    app = create_kv_cache_store_app(KvCacheStoreModel(capacity_blocks))
    await serve_http(app, address, None, wait_shutdown, task_status=task_status)
