"""What an emulated engine leaves for others: runs for oracles, blocks for stores."""

from __future__ import annotations

import msgspec


class RunRecord(msgspec.Struct, frozen=True):
    """One execution: an attempt whose prompt began to be computed.

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
    """Salted keys of computed blocks, on their way to the KV cache store at ``store``."""

    store: str
    block_keys: tuple[int, ...]
