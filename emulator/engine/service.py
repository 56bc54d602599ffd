"""Service of one emulated engine over HTTP, with its background tasks."""

from __future__ import annotations

import contextlib
import functools
import secrets
from collections.abc import Awaitable, Callable

import trio

from emulator.engine.config import EngineConfig
from emulator.engine.host import EngineHost
from emulator.engine.model import EngineModel
from emulator.engine.server import create_engine_app
from emulator.kv_cache_store.client import KvCacheStoreClient
from emulator.weight_store.client import WeightStoreClient
from hopstep.adapters.http_server import serve_http
from hopstep.adapters.tls import load_tls
from hopstep.adapters.watched_files import follow_files
from hopstep.settings import TlsSettings

LOAD_POLL_SECONDS = 0.02
_UNIQUE_BYTES = 4
PLAIN_HTTP = TlsSettings()


async def serve_engine(
    config: EngineConfig,
    weights: dict[str, str],
    address: str,
    wait_shutdown: Callable[[], Awaitable[None]],
    *,
    weight_store: str = "",
    seed: int = 0,
    tls: TlsSettings = PLAIN_HTTP,
    task_status: trio.TaskStatus[list[str]] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve one engine until ``wait_shutdown`` returns.

    Args:
        config: Sizes and speeds.
        weights: Initial weights version by model.
        address: ``ip:port`` to listen on; port 0 lets the operating system choose.
        wait_shutdown: Returns when the listener should close.
        weight_store: Address of the weight store; empty to load in the configured time.
        seed: Seed of the draws of lost events.
        tls: Certificate and key of the listener.
        task_status: Started with the bound addresses once the listener is open.

    Raises:
        PortError: When the certificate or the key can't be used.
    """
    contexts = load_tls(tls)
    model = EngineModel(
        config,
        weights,
        # A process that restarts at the same address is another incarnation.
        name=f"engine-{secrets.token_hex(_UNIQUE_BYTES)}",
        seed=seed,
        load_time=(lambda _now: float("inf")) if weight_store else None,
    )
    host = EngineHost(model)
    async with contextlib.aclosing(KvCacheStoreClient()) as stores, trio.open_nursery() as nursery:
        nursery.start_soon(_write_exports, host, stores)
        nursery.start_soon(follow_files, contexts.watched)
        if weight_store:
            nursery.start_soon(_load_weights, host, weight_store)
        app = create_engine_app(host, stores)
        await serve_http(app, address, contexts.listener, wait_shutdown, task_status=task_status)
        nursery.cancel_scope.cancel()


async def _write_exports(host: EngineHost, stores: KvCacheStoreClient) -> None:
    """Write computed blocks to their KV cache stores."""
    while True:
        for export in await host.wait_for_exports():
            await stores.write(export.store, export.block_keys)


async def _load_weights(host: EngineHost, address: str) -> None:
    """Request each load that begins from the weight store, one after the other."""
    async with contextlib.aclosing(WeightStoreClient(address)) as weight_store:
        while True:
            if not host.model.weights.busy:
                await host.wait_for_call()
            host.model.advance(trio.current_time())
            for model, version in host.model.weights.loads_without_end().items():
                seconds = await weight_store.begin_load(model, version)
                ready_at = trio.current_time() + seconds
                set_end = functools.partial(
                    host.model.weights.set_ready_time, model, version, ready_at
                )
                await host.call(lambda _now, set_end=set_end: set_end())  # type: ignore[misc]
            await trio.sleep(LOAD_POLL_SECONDS)
