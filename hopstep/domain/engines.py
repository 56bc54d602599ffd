"""What engines report about themselves: facts, load and cache events, as decisions use them."""

from __future__ import annotations

import enum

import msgspec


class EngineRole(enum.StrEnum):
    """Role of an engine."""

    SERVING = "serving"
    STANDBY = "standby"


class LoadReport(msgspec.Struct, frozen=True):
    """Load as published by the engine, possibly with a delay.

    Attributes:
        running: Requests in the batch.
        waiting: Requests in the engine's queue.
        waiting_prefill_tokens: Prompt tokens that wait for their prefill.
        free_block_ratio: Share of cache blocks that are free or evictable.
        age_seconds: Age of the report when it was sent.
    """

    running: int = 0
    waiting: int = 0
    waiting_prefill_tokens: int = 0
    free_block_ratio: float = 1.0
    age_seconds: float = 0.0


class EngineFacts(msgspec.Struct, frozen=True):
    """What an engine reports about itself.

    Attributes:
        incarnation: Id of this run; new on every start.
        weights: Loaded weights version by model.
        role: Current role.
        leaving: Whether it is shutting down and must get no new work.
        load: Latest published load.
        event_sequence: Number of the latest cache event.
        fence: Highest fence of the orders that it accepted.
    """

    incarnation: str
    weights: dict[str, str]
    role: EngineRole = EngineRole.SERVING
    leaving: bool = False
    load: LoadReport = LoadReport()
    event_sequence: int = 0
    fence: int = 0


class CacheEventKind(enum.StrEnum):
    """Kind of a cache event."""

    STORED = "stored"
    EVICTED = "evicted"


class CacheEvent(msgspec.Struct, frozen=True):
    """Blocks that were stored or evicted.

    Attributes:
        sequence: Number within the incarnation; a gap shows lost events.
        kind: Stored or evicted.
        block_keys: Chained, salted keys (``hopstep.domain.blocks``).
    """

    sequence: int
    kind: CacheEventKind
    block_keys: tuple[int, ...]


class CacheEventBatch(msgspec.Struct, frozen=True):
    """Events of one incarnation after a given sequence number."""

    incarnation: str
    events: tuple[CacheEvent, ...]
