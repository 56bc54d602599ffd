"""``hopstep-emulator load``: bounded traffic to routers, or to an engine directly."""

from __future__ import annotations

import contextlib
import sys

import trio
from absl import flags

_TARGETS = flags.DEFINE_list("targets", [], "Routers or engines, ip:port on loopback.")
_MODE = flags.DEFINE_enum("mode", "router", ["router", "direct"], "What the targets are.")
_REQUESTS = flags.DEFINE_integer("requests", 100, "Requests to send.", lower_bound=1)
_CONCURRENCY = flags.DEFINE_integer("concurrency", 4, "Concurrent requests.", lower_bound=1)
_MAX_SECONDS = flags.DEFINE_float("max_seconds", 60.0, "Longest duration of the run.")
_TENANT = flags.DEFINE_string("tenant", "", "Tenant's name; salts direct calls.")
_KEY = flags.DEFINE_string("key", "", "Tenant's bearer key.")
_CLASS = flags.DEFINE_string("class", "", "Request class; empty for the tenant's own.")
_MODEL = flags.DEFINE_string("model", "", "Model.")
_PREFIX_TOKENS = flags.DEFINE_integer(
    "prefix_tokens", 512, "Prompt tokens that all requests share."
)
_TAIL_TOKENS = flags.DEFINE_integer("tail_tokens", 32, "Prompt tokens unique to each request.")
_OUTPUT_TOKENS = flags.DEFINE_integer("output_tokens", 32, "Tokens of each response.")
_SEED = flags.DEFINE_integer("seed", 0, "Seed of the prompts.")
_FORMAT = flags.DEFINE_enum("format", "text", ["text", "json"], "Output format.")


def run() -> int:
    """Send the load; return 1 unless every response is complete and correct."""
    return trio.run(_run)


async def _run() -> int:
    """Send the load, print its summary and return the exit code."""
    import msgspec

    from emulator.load.direct_client import DirectClient
    from emulator.load.messages import LoadRequest
    from emulator.load.prompts import make_prompt
    from emulator.load.router_client import RouterClient
    from emulator.load.run import all_complete, run_closed_loop
    from emulator.load.summary import summarize

    if not _TARGETS.value:
        raise ValueError("--targets: expected at least one address")
    requests = [
        LoadRequest(
            tenant=_TENANT.value,
            key=_KEY.value,
            request_class=_CLASS.value,
            model=_MODEL.value,
            prompt=make_prompt(
                f"shared-{_SEED.value}",
                _PREFIX_TOKENS.value,
                f"request-{_SEED.value}-{number}",
                _TAIL_TOKENS.value,
            ),
            max_tokens=_OUTPUT_TOKENS.value,
            chat=False,
        )
        for number in range(_REQUESTS.value)
    ]
    client = DirectClient() if _MODE.value == "direct" else RouterClient()
    started_at = trio.current_time()
    async with contextlib.aclosing(client):
        results = await run_closed_loop(
            client, _TARGETS.value, requests, _CONCURRENCY.value, _MAX_SECONDS.value
        )
    summary = summarize(results, trio.current_time() - started_at)
    if _FORMAT.value == "json":
        sys.stdout.write(msgspec.json.encode(summary).decode() + "\n")
    else:
        print("\n".join(summary.lines()))
    return 0 if all_complete(results) and len(results) == len(requests) else 1
