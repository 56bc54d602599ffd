"""Measures the router's added time to first token, throughput and memory."""

from __future__ import annotations

import msgspec
import trio

from emulator.benchmarks.setting import LoadPlan, Setting, open_setting
from emulator.load.summary import LoadSummary

MEBIBYTE = 1024 * 1024
SHORT_OUTPUT_TOKENS = 4
LATENCY_OUTPUT_TOKENS = 1
LONG_OUTPUT_TOKENS = 400


class BenchmarkOptions(msgspec.Struct, frozen=True):
    """Size of the benchmark.

    Attributes:
        engines: Engines behind the router.
        load_processes: Load processes that run concurrently in the throughput measures.
        latency_requests: Requests per measurement of the time to first token.
        stream_requests: Streamed responses requested by each load process.
        stream_concurrency: Concurrent streams of each load process.
        short_requests: Short requests of all load processes together, for rate and memory.
    """

    engines: int = 6
    load_processes: int = 6
    latency_requests: int = 200
    stream_requests: int = 64
    stream_concurrency: int = 32
    short_requests: int = 6_000


class SpeedReport(msgspec.Struct, frozen=True):
    """Results of one run.

    Attributes:
        idle_direct_ms: Median and p99 of the time to first token of direct calls to an engine.
        idle_router_ms: The same through the router.
        half_load_direct_ms: The same for direct calls, with the router at half load.
        half_load_router_ms: The same through the router at half load.
        tokens_per_second: Streamed tokens per second through the router.
        requests_per_second: Short responses per second through the router.
        resident_start_bytes: Resident memory of the router before any request.
        resident_end_bytes: The same after ``requests_served`` requests.
        requests_served: Requests that the router served between both readings.
    """

    idle_direct_ms: tuple[float, float]
    idle_router_ms: tuple[float, float]
    half_load_direct_ms: tuple[float, float]
    half_load_router_ms: tuple[float, float]
    tokens_per_second: float
    requests_per_second: float
    resident_start_bytes: int
    resident_end_bytes: int
    requests_served: int

    def lines(self) -> list[str]:
        """Return the report's lines for a terminal."""
        return [
            _added_latency_line("idle", self.idle_direct_ms, self.idle_router_ms),
            _added_latency_line("half load", self.half_load_direct_ms, self.half_load_router_ms),
            f"streamed tokens a second through one router process: {self.tokens_per_second:.0f}",
            f"short answers a second through one router process: {self.requests_per_second:.0f}",
            f"resident memory of the router: {self.resident_start_bytes / MEBIBYTE:.1f} MiB at "
            f"start, {self.resident_end_bytes / MEBIBYTE:.1f} MiB after "
            f"{self.requests_served} requests",
        ]


async def measure_speed(options: BenchmarkOptions) -> SpeedReport:
    """Run all measurements on one fleet.

    Args:
        options: Size of the benchmark.
    """
    async with open_setting(options.engines) as setting:
        resident_start = setting.resident_bytes()
        idle_direct, idle_router = await _first_tokens(setting, options, seed=1)
        streams = await _streams(setting, options, options.stream_concurrency)
        half_direct, half_router = await _half_loaded(setting, options)
        shorts = await _short_requests(setting, options)
        return SpeedReport(
            idle_direct_ms=idle_direct,
            idle_router_ms=idle_router,
            half_load_direct_ms=half_direct,
            half_load_router_ms=half_router,
            tokens_per_second=sum(each.tokens_per_second for each in streams),
            requests_per_second=sum(each.requests_per_second for each in shorts),
            resident_start_bytes=resident_start,
            resident_end_bytes=setting.resident_bytes(),
            requests_served=sum(each.complete for each in (*streams, *shorts))
            + 2 * options.latency_requests,
        )


async def _first_tokens(
    setting: Setting, options: BenchmarkOptions, seed: int
) -> tuple[tuple[float, float], tuple[float, float]]:
    """Return the time to first token of direct calls and through the router, one at a time.

    Each mode first runs once unmeasured, so that prefixes are cached for both.
    """
    engine = setting.engines[0]
    figures: dict[str, tuple[float, float]] = {}
    for mode, address in (("direct", engine), ("router", setting.router)) * 2:
        plan = LoadPlan(options.latency_requests, 1, LATENCY_OUTPUT_TOKENS, seed, mode)
        summary = await setting.load(address, plan)
        figures[mode] = (summary.first_token_p50_ms, summary.first_token_p99_ms)
    return figures["direct"], figures["router"]


async def _half_loaded(
    setting: Setting, options: BenchmarkOptions
) -> tuple[tuple[float, float], tuple[float, float]]:
    """Return the times to first token while half of the streams run."""
    figures: list[tuple[tuple[float, float], tuple[float, float]]] = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_streams, setting, options, options.stream_concurrency // 2)
        figures.append(await _first_tokens(setting, options, seed=2))
        nursery.cancel_scope.cancel()
    return figures[0]


async def _streams(
    setting: Setting, options: BenchmarkOptions, concurrency: int
) -> list[LoadSummary]:
    """Stream long responses to every load process."""
    return await setting.loads(
        [
            LoadPlan(options.stream_requests, concurrency, LONG_OUTPUT_TOKENS, 100 + number)
            for number in range(options.load_processes)
        ]
    )


async def _short_requests(setting: Setting, options: BenchmarkOptions) -> list[LoadSummary]:
    """Send short requests from every load process."""
    each = options.short_requests // options.load_processes
    return await setting.loads(
        [
            LoadPlan(each, 8, SHORT_OUTPUT_TOKENS, 200 + number)
            for number in range(options.load_processes)
        ]
    )


def _added_latency_line(when: str, direct: tuple[float, float], router: tuple[float, float]) -> str:
    """Return the report line of the router's added time to first token."""
    return (
        f"added time to first token, {when}: median {router[0] - direct[0]:.1f} ms "
        f"({router[0]:.1f} over {direct[0]:.1f}), p99 {router[1] - direct[1]:.1f} ms "
        f"({router[1]:.1f} over {direct[1]:.1f})"
    )
