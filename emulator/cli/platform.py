"""``hopstep-emulator platform``: one of the emulated platform services."""

from __future__ import annotations

import functools
from collections.abc import Awaitable, Callable

import trio
from absl import flags

from emulator.cli.process import Serve, serve_until_signal

_SERVICE = flags.DEFINE_enum(
    "service",
    "store",
    ["store", "weight_store", "kv_cache_store"],
    "store: the key-value service and the machine list; weight_store; kv_cache_store.",
)
_ADDRESS = flags.DEFINE_string("address", "127.0.0.1:0", "ip:port to listen on.")
_MACHINES = flags.DEFINE_list("machines", [], "Live machines, ip:port, with commas (store).")
_CAPACITY = flags.DEFINE_integer(
    "capacity_blocks", 262_144, "Blocks that are kept (kv_cache_store)."
)
_LOAD_SECONDS = flags.DEFINE_float(
    "load_seconds", 0.5, "Time of a weight load alone (weight_store)."
)
_CONCURRENT_LOADS = flags.DEFINE_integer(
    "concurrent_loads", 3, "Loads at once beyond which each takes longer (weight_store)."
)


def run() -> int:
    """Serve until SIGTERM or SIGINT."""
    services = {
        "store": _store,
        "weight_store": _weight_store,
        "kv_cache_store": _kv_cache_store,
    }
    trio.run(serve_until_signal, services[_SERVICE.value]())
    return 0


def _store() -> Serve:
    """Return the server of the key-value service and the machine list."""
    from emulator.platform.server import serve_platform
    from hopstep.ports.machine_list import Machine, MachineState

    machines = tuple(Machine(address, MachineState.LIVE) for address in _MACHINES.value)

    async def serve(
        wait_shutdown: Callable[[], Awaitable[None]], *, task_status: trio.TaskStatus[list[str]]
    ) -> None:
        await serve_platform(
            _ADDRESS.value, machines, shutdown_trigger=wait_shutdown, task_status=task_status
        )

    return serve


def _weight_store() -> Serve:
    """Return the server of the weight store."""
    from emulator.weight_store.model import WeightStoreModel
    from emulator.weight_store.server import serve_weight_store

    model = WeightStoreModel(_LOAD_SECONDS.value, _CONCURRENT_LOADS.value)
    return functools.partial(serve_weight_store, model, _ADDRESS.value)


def _kv_cache_store() -> Serve:
    """Return the server of the KV cache store."""
    from emulator.kv_cache_store.server import serve_kv_cache_store

    return functools.partial(serve_kv_cache_store, _ADDRESS.value, capacity_blocks=_CAPACITY.value)
