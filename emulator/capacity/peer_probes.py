"""Measures the cost of members, shared entries and signed datagrams, and of an engine probe."""

from __future__ import annotations

import contextlib
import threading
import time

import httpx
import msgspec
import trio

from emulator.capacity.slopes import Slope, bytes_held, fit, seconds_per_call
from emulator.engine.config import EngineConfig
from emulator.engine.service import serve_engine
from hopstep.adapters.engine_http import HttpEngine
from hopstep.adapters.peer_codec import PeerCodec, encoded_size
from hopstep.adapters.peer_keys import PeerKeys
from hopstep.domain.engines import EngineFacts, LoadReport
from hopstep.domain.entry_table import EntryTable
from hopstep.domain.membership.table import MemberTable
from hopstep.domain.peer_message import (
    EngineEntry,
    Entry,
    EntryKind,
    Gossip,
    MemberRecord,
    MemberState,
    Ping,
)

ENTRY_COUNTS = (250, 500, 1_000, 2_000)
ENTRIES_PER_DATAGRAM = (0, 4, 8, 16)
PROBES = 400
FACTS_PATH = "/v1/facts"
WEIGHTS = {"model-00": "2026-11-01"}


class ProbeCost(msgspec.Struct, frozen=True):
    """Cost of one probe of an engine's facts.

    Attributes:
        seconds: Processor time at the router.
        sent_bytes: HTTP bytes of the request.
        received_bytes: HTTP bytes of the response.
    """

    seconds: float
    sent_bytes: int
    received_bytes: int


def member_memory() -> Slope:
    """Measure the memory of the member table by number of members."""
    return fit("members", "member", "byte", ENTRY_COUNTS, lambda n: bytes_held(lambda: _members(n)))


def entry_memory() -> Slope:
    """Measure the memory of shared entries by their number."""
    return fit(
        "shared entries", "entry", "byte", ENTRY_COUNTS, lambda n: bytes_held(lambda: _entries(n))
    )


def engine_entry_bytes() -> float:
    """Return the encoded bytes of one engine's shared facts."""
    return float(encoded_size(_engine_entry(0)))


def datagram_encoding() -> Slope:
    """Measure the time to encode and sign a datagram by the number of its entries."""
    codec = _codec("router-001")
    return fit(
        "datagram encoding",
        "entry",
        "second",
        ENTRIES_PER_DATAGRAM,
        lambda entries: seconds_per_call(lambda: codec.encode(_ping(entries))),
    )


def datagram_decoding() -> Slope:
    """Measure the time to verify and decode a datagram by the number of its entries."""
    return fit("datagram decoding", "entry", "second", ENTRIES_PER_DATAGRAM, _decoding_seconds)


def probe_cost() -> ProbeCost:
    """Measure one read of an engine's facts over HTTP, with the engine in another thread."""
    bound: list[str] = []
    ready = threading.Event()
    stop = threading.Event()
    server = threading.Thread(target=trio.run, args=(_serve, bound, ready, stop), daemon=True)
    server.start()
    ready.wait()
    try:
        return trio.run(_probe, bound[0].removeprefix("http://"))
    finally:
        stop.set()
        server.join()


async def _serve(bound: list[str], ready: threading.Event, stop: threading.Event) -> None:
    """Serve one engine until ``stop`` is set."""

    async def wait_stopped() -> None:
        await trio.to_thread.run_sync(stop.wait)

    async with trio.open_nursery() as nursery:
        bound += await nursery.start(
            serve_engine, EngineConfig(), WEIGHTS, "127.0.0.1:0", wait_stopped
        )
        ready.set()


async def _probe(address: str) -> ProbeCost:
    """Read the facts ``PROBES`` times over one persistent connection."""
    async with contextlib.aclosing(HttpEngine()) as engines:
        await engines.probe(address)
        started = time.thread_time()
        for _ in range(PROBES):
            await engines.probe(address)
        seconds = (time.thread_time() - started) / PROBES
    async with httpx.AsyncClient() as client:
        response = await client.get(f"http://{address}{FACTS_PATH}")
    request = response.request
    request_line_bytes = len(f"{request.method} {FACTS_PATH} HTTP/1.1\r\n\r\n")
    return ProbeCost(
        seconds,
        request_line_bytes + _header_bytes(request.headers),
        len("HTTP/1.1 200 \r\n\r\n") + _header_bytes(response.headers) + len(response.content),
    )


def _header_bytes(headers: httpx.Headers) -> int:
    """Return the size of headers in HTTP/1.1 encoding."""
    return sum(len(name) + len(value) + len(": \r\n") for name, value in headers.raw)


def _record(index: int) -> MemberRecord:
    return MemberRecord(
        name=f"router-{index:03}",
        incarnation=1_790_000_000_000 + index,
        version=3,
        state=MemberState.ALIVE,
        http_address=f"10.0.{index // 250}.{index % 250}:8080",
        peer_address=f"10.0.{index // 250}.{index % 250}:7946",
        zone=f"zone-{index % 20:02}",
        labels_digest=index % 20,
        configuration_revision=100,
    )


def _members(count: int) -> MemberTable:
    """Return a table of ``count`` members, decoded as from a datagram."""
    table = MemberTable()
    for index in range(count):
        table.merge_record(_record(index), 0.0)
    return table


def _engine_entry(index: int) -> Entry:
    facts = EngineFacts(f"{index:016x}", dict(WEIGHTS), load=LoadReport(3, 1, 900, 0.4, 0.5))
    address = f"10.1.{index // 250}.{index % 250}:8000"
    value = EngineEntry.from_facts(address, facts)
    return Entry(f"router-{index % 390:03}", 1, index, address, value, EntryKind.ENGINE_FACTS)


def _entries(count: int) -> EntryTable:
    """Return a table of ``count`` engines' shared facts."""
    table = EntryTable(0)
    for index in range(count):
        table.merge(_engine_entry(index))
    return table


def _ping(entries: int) -> Ping:
    gossip = Gossip(100, entries=tuple(_engine_entry(index) for index in range(entries)))
    return Ping(1, "router-002", gossip)


def _codec(name: str) -> PeerCodec:
    return PeerCodec("hopstep", name, 1, PeerKeys({"k": bytes(32)}))


def _decoding_seconds(entries: int) -> float:
    """Return the time to decode one datagram; each is new, as replays are rejected early."""
    sender, receiver = _codec("router-001"), _codec("router-002")
    ping = _ping(entries)
    round_trip_seconds = seconds_per_call(lambda: receiver.decode(sender.encode(ping)))
    return round_trip_seconds - seconds_per_call(lambda: sender.encode(ping))
