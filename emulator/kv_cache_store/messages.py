"""Message bodies of the KV cache store's HTTP API."""

from __future__ import annotations

import msgspec

LOOKUP_PATH = "/v1/blocks/lookup"
WRITE_PATH = "/v1/blocks/write"


class BlockList(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Salted keys of a chain of blocks, first block first."""

    block_keys: tuple[int, ...]


class LookupAnswer(msgspec.Struct, frozen=True):
    """Number of leading blocks of the chain that the store holds."""

    held: int
