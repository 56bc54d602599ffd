"""Chained, salted block keys of a prompt.

A prompt is split into tokens and the tokens into blocks of ``BLOCK_TOKENS``. The key of a block
depends on the salt and on every token before it, so equal keys mean equal prefixes under the
same salt. The salt contains the tenant and the weights version, so entries of another tenant or of
other weights never match.
"""

from __future__ import annotations

import hashlib

BLOCK_TOKENS = 16
"""Tokens in a block; only complete blocks are cached."""

TOKEN_BYTES = 4
"""UTF-8 bytes in a token of the fixed-width tokenizer that hopstep and its emulator share."""

KEY_BYTES = 8
"""Bytes of a block key."""


def cache_salt(tenant: str, weights_version: str) -> str:
    """Return the salt of a tenant's block keys under one weights version.

    Args:
        tenant: Tenant name.
        weights_version: Version of the weights that compute the blocks.

    Returns:
        32 hexadecimal digits, which don't reveal the tenant to the engine.
    """
    text = f"{len(tenant)}:{tenant}:{weights_version}"
    return hashlib.blake2b(text.encode(), digest_size=16).hexdigest()


def count_tokens(text: str) -> int:
    """Return the number of tokens in ``text``; a partial last token counts."""
    return -(-len(text.encode()) // TOKEN_BYTES)


def block_keys(text: str, salt: str) -> list[int]:
    """Return the keys of the complete blocks of ``text``, first block first.

    Args:
        text: Rendered prompt.
        salt: Result of ``cache_salt``.

    Returns:
        64-bit unsigned integers, one for each complete block.
    """
    data = text.encode()
    block_bytes = BLOCK_TOKENS * TOKEN_BYTES
    chain = hashlib.blake2b(salt.encode(), digest_size=KEY_BYTES)
    keys: list[int] = []
    for start in range(0, len(data) - block_bytes + 1, block_bytes):
        chain.update(data[start : start + block_bytes])
        keys.append(int.from_bytes(chain.digest(), "big"))
    return keys
