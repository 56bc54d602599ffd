"""What engines say of themselves: facts, load and cache events, as decisions use them."""

from __future__ import annotations

import enum

import msgspec


class EngineRole(enum.StrEnum):
    """What an engine is used for."""

    SERVING = "serving"
    STANDBY = "standby"


class LoadReport(msgspec.Struct, frozen=True):
    """Load as the engine published it, which may lag.

    Attributes:
        running: Requests in the batch.
        waiting: Requests in the engine's queue.
        waiting_prefill_tokens: Prompt tokens still to be prefilled.
        free_block_ratio: Share of cache blocks that are free or evictable.
        age_seconds: How old the report was when it was sent.
    """

    running: int = 0
    waiting: int = 0
    waiting_prefill_tokens: int = 0
    free_block_ratio: float = 1.0
    age_seconds: float = 0.0


class EngineFacts(msgspec.Struct, frozen=True):
    """What an engine says of itself.

    Attributes:
        incarnation: New on every start.
        weights: Loaded weights version by model.
        role: Current role.
        leaving: True when it must get no new work.
        load: Latest published load.
        event_sequence: Number of the latest cache event.
        fence: Highest fence of an order that it took.
    """

    incarnation: str
    weights: dict[str, str]
    role: EngineRole = EngineRole.SERVING
    leaving: bool = False
    load: LoadReport = LoadReport()
    event_sequence: int = 0
    fence: int = 0


class CacheEventKind(enum.StrEnum):
    """What happened to blocks."""

    STORED = "stored"
    EVICTED = "evicted"


class CacheEvent(msgspec.Struct, frozen=True):
    """Blocks that were stored or evicted.

    Attributes:
        sequence: Number within the incarnation; a gap means lost events.
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
