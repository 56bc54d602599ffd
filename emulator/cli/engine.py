"""``hopstep-emulator engine``: one emulated inference engine."""

from __future__ import annotations

import functools

import trio
from absl import flags

from emulator.cli.process import parse_pairs, serve_until_signal

_ADDRESS = flags.DEFINE_string("address", "127.0.0.1:0", "ip:port to listen on.")
_WEIGHTS = flags.DEFINE_list("weights", [], "Loaded weights, model=version, with commas.")
_WEIGHT_STORE = flags.DEFINE_string(
    "weight_store", "", "ip:port of the weight store; empty loads in the configured time."
)
_SEED = flags.DEFINE_integer("seed", 0, "Seed of the draws of lost cache events.")
_BLOCK_COUNT = flags.DEFINE_integer("block_count", 8_192, "Cache blocks of 16 tokens.")
_BATCH_SIZE = flags.DEFINE_integer("max_batch_size", 32, "Requests that run at once.")
_WAITING = flags.DEFINE_integer("max_waiting_requests", 64, "Length of the queue.")
_PREFILL = flags.DEFINE_float("prefill_tokens_per_second", 8_000.0, "Speed of prefill.")
_DECODE_BASE = flags.DEFINE_float("decode_base_seconds", 0.015, "Time of an empty decode step.")
_DECODE_PER_REQUEST = flags.DEFINE_float(
    "decode_seconds_per_request", 0.000_5, "Time that each request adds to a decode step."
)
_WEIGHT_LOAD = flags.DEFINE_float(
    "weight_load_seconds", 0.5, "Time of a weight load without a weight store."
)
_CERTIFICATE = flags.DEFINE_string(
    "certificate", "", "PEM file of the certificate chain; empty for plain HTTP."
)
_PRIVATE_KEY = flags.DEFINE_string("private_key", "", "PEM file of the certificate's key.")


def run() -> int:
    """Serve until SIGTERM or SIGINT."""
    from emulator.engine.config import EngineConfig
    from emulator.engine.service import serve_engine
    from hopstep.settings import TlsSettings

    config = EngineConfig(
        block_count=_BLOCK_COUNT.value,
        max_batch_size=_BATCH_SIZE.value,
        max_waiting_requests=_WAITING.value,
        prefill_tokens_per_second=_PREFILL.value,
        decode_base_seconds=_DECODE_BASE.value,
        decode_seconds_per_request=_DECODE_PER_REQUEST.value,
        weight_load_seconds=_WEIGHT_LOAD.value,
    )
    serve = functools.partial(
        serve_engine,
        config,
        parse_pairs(_WEIGHTS.value, "weights"),
        _ADDRESS.value,
        weight_store=_WEIGHT_STORE.value,
        seed=_SEED.value,
        tls=TlsSettings(_CERTIFICATE.value, _PRIVATE_KEY.value),
    )
    trio.run(serve_until_signal, serve)
    return 0
