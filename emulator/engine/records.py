"""Output of an emulated engine: run records for oracles, blocks for KV cache stores."""

from __future__ import annotations

from collections import deque

import msgspec

from emulator.engine.scheduler import Notice, NoticeKind
from hopstep.domain.blocks import BLOCK_TOKENS


class RunRecord(msgspec.Struct, frozen=True):
    """One run: an attempt that was admitted to the batch.

    Attributes:
        nonce: The attempt.
        prompt_digest: ``emulator.engine.answers.prompt_digest`` of its prompt.
        started_at: Time, in seconds.
        incarnation: Incarnation that ran it.
    """

    nonce: str
    prompt_digest: str
    started_at: float
    incarnation: str


class BlockExport(msgspec.Struct, frozen=True):
    """Salted keys of computed blocks to write to the KV cache store at ``store``."""

    store: str
    block_keys: tuple[int, ...]


class ExecutionLog:
    """Runs of every incarnation, and blocks that wait to be exported."""

    def __init__(self, retained_runs: int) -> None:
        """Start empty; the oldest runs are dropped beyond ``retained_runs``."""
        self._runs: deque[RunRecord] = deque(maxlen=retained_runs)
        self._exports: list[BlockExport] = []

    def record_notice(self, notice: Notice, incarnation: str) -> None:
        """Record the run or the exports that a notice reports."""
        attempt = notice.attempt
        if notice.kind is NoticeKind.STARTED:
            digest = attempt.prompt.digest
            self._runs.append(RunRecord(attempt.nonce, digest, notice.time, incarnation))
        elif notice.kind is NoticeKind.PREFILLED and attempt.kv_cache_store:
            taken = (attempt.cached_tokens + attempt.imported_tokens) // BLOCK_TOKENS
            keys = tuple(attempt.prompt.block_keys[taken:])
            if keys:
                self._exports.append(BlockExport(attempt.kv_cache_store, keys))

    def runs(self) -> tuple[RunRecord, ...]:
        """Return the runs, oldest first."""
        return tuple(self._runs)

    @property
    def has_exports(self) -> bool:
        """Whether ``take_exports`` has something to return."""
        return bool(self._exports)

    def take_exports(self) -> list[BlockExport]:
        """Return and clear the blocks to write to KV cache stores."""
        exports, self._exports = self._exports, []
        return exports
