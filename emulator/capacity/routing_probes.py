"""Measures routing: prompt hashing, decisions, the prefix index, facts and ownership."""

from __future__ import annotations

import random

import msgspec

from emulator.capacity import samples
from emulator.capacity.slopes import Slope, bytes_held, fit, seconds_per_call
from hopstep.domain.blocks import block_keys
from hopstep.domain.configuration.document import BackEnd
from hopstep.domain.engines import (
    CacheEvent,
    CacheEventBatch,
    CacheEventKind,
    EngineFacts,
    LoadReport,
)
from hopstep.domain.rendezvous import Rendezvous
from hopstep.domain.routing.prefix_index import PrefixIndex
from hopstep.domain.routing.routing_table import RoutingTable

PROMPT_BLOCKS = 450
"""Blocks of a long shared prompt: 7,200 tokens."""

ENGINE_COUNTS = (9, 26, 100, 500)
HEAD_COUNTS = (8_192, 16_384, 32_768, 65_536)
BLOCK_COUNTS = (50, 150, 450, 900)
EVENT_KEYS = (32, 128, 512)
MEMBER_COUNTS = (24, 97, 195, 390)
ENGINES_PER_NODE = 26
OWNED_COUNTS = (1_000, 2_000, 4_000, 8_000)
OWNERS_PER_ENGINE = 2


def prompt_hashing() -> Slope:
    """Measure the time to hash a prompt by number of blocks."""
    return fit(
        "prompt hashing",
        "block",
        "second",
        BLOCK_COUNTS,
        lambda blocks: seconds_per_call(lambda: block_keys(samples.request(blocks).prompt, "salt")),
    )


def decision() -> Slope:
    """Measure the time of one routing decision by number of admissible engines, with hashing."""
    return fit("routing decision", "engine", "second", ENGINE_COUNTS, _decision_seconds)


def prefix_index_memory() -> Slope:
    """Measure the memory of the prefix index by number of heads, each held by one of 26 engines."""
    return fit(
        "prefix picture",
        "head",
        "byte",
        HEAD_COUNTS,
        lambda heads: bytes_held(lambda: _prefix_index(heads)),
    )


def event_application() -> Slope:
    """Measure the time to apply a batch of cache events by number of keys."""
    return fit("cache events taken", "key", "second", EVENT_KEYS, _event_seconds)


def event_bytes() -> Slope:
    """Measure the encoded bytes of a batch of cache events by number of keys."""
    return fit(
        "cache events sent",
        "key",
        "byte",
        EVENT_KEYS,
        lambda keys: float(len(msgspec.json.encode(_batch(keys)))),
    )


def facts_memory() -> Slope:
    """Measure the memory of a router's engine views by number of engines."""
    return fit(
        "engine views",
        "engine",
        "byte",
        ENGINE_COUNTS,
        lambda engines: bytes_held(lambda: _table(_engines(engines))),
    )


def facts_bytes() -> float:
    """Return the bytes of one probe response, HTTP headers left out."""
    return float(len(msgspec.json.encode(_facts(0))))


def ownership() -> Slope:
    """Measure the time to compute one engine's owners, uncached, by number of members."""
    return fit("ownership, first time", "member", "second", MEMBER_COUNTS, _ownership_seconds)


def ownership_change() -> Slope:
    """Measure the time to recompute owners after losing one of 390 members, by engines."""
    return fit(
        "ownership, a member lost", "engine", "second", OWNED_COUNTS, _ownership_change_seconds
    )


def _engines(count: int) -> tuple[BackEnd, ...]:
    name = samples.model().name
    return tuple(
        msgspec.structs.replace(samples.engine(index), models=(name,)) for index in range(count)
    )


def _facts(index: int) -> EngineFacts:
    weights = {samples.model().name: samples.model().weights_version}
    return EngineFacts(f"incarnation-{index}", weights, load=LoadReport(3, 1, 900, 0.4, 0.5))


def _table(engines: tuple[BackEnd, ...]) -> RoutingTable:
    """Return a routing table that has every engine's facts."""
    table = RoutingTable(random.Random(1))
    for index, back_end in enumerate(engines):
        table.update_facts(back_end.address, _facts(index), 0.0)
    return table


def _decision_seconds(engine_count: int) -> float:
    engines = _engines(engine_count)
    table = _table(engines)
    request = samples.request(PROMPT_BLOCKS)
    table.record_dispatch("nonce", table.choose(request, engines, frozenset(), 0.0), 0.0)
    return seconds_per_call(lambda: table.choose(request, engines, frozenset(), 0.0))


def _prefix_index(heads: int) -> PrefixIndex:
    """Return a prefix index with ``heads`` heads."""
    generator = random.Random(2)
    prefix_index = PrefixIndex(heads, stride=1)
    for index in range(ENGINES_PER_NODE):
        prefix_index.begin_incarnation(f"engine-{index}", "1")
    while len(prefix_index) < heads:
        prompt = [generator.getrandbits(64) for _ in range(32)]
        prefix_index.learn(
            f"engine-{generator.randrange(ENGINES_PER_NODE)}", "1", prompt, len(prompt)
        )
    return prefix_index


def _batch(keys: int) -> CacheEventBatch:
    generator = random.Random(3)
    block_keys = tuple(generator.getrandbits(64) for _ in range(keys))
    return CacheEventBatch("incarnation-0", (CacheEvent(1, CacheEventKind.STORED, block_keys),))


def _event_seconds(keys: int) -> float:
    engines = _engines(1)
    table = _table(engines)
    batch = _batch(keys)
    return seconds_per_call(lambda: table.record_events(engines[0].address, batch))


def _ownership_seconds(members: int) -> float:
    """Return the time for one key, each one uncached."""
    rendezvous = Rendezvous.unweighted(f"router-{index}" for index in range(members))
    counter = iter(range(1 << 62))
    return seconds_per_call(lambda: rendezvous.owners(f"engine-{next(counter)}", OWNERS_PER_ENGINE))


def _ownership_change_seconds(engines: int) -> float:
    """Return the time to remove one member and recompute every engine's owners."""
    names = [f"router-{index}" for index in range(MEMBER_COUNTS[-1])]
    keys = [f"engine-{index}" for index in range(engines)]
    before = Rendezvous.unweighted(names)
    for key in keys:
        before.owners(key, OWNERS_PER_ENGINE)
    remaining = dict.fromkeys(names[1:], 1.0)

    def change() -> None:
        after = before.updated(remaining)
        for key in keys:
            after.owners(key, OWNERS_PER_ENGINE)

    return seconds_per_call(change)
