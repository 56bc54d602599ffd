"""Generates prompts of a given length with shared prefixes."""

from __future__ import annotations

import base64
import hashlib

from hopstep.domain.blocks import TOKEN_BYTES

RANDOM_BYTES_PER_TOKEN = 3
"""Random bytes per token; their base64 text is one token."""


def make_text(name: str, tokens: int) -> str:
    """Return ``tokens`` tokens of text, determined by ``name``."""
    stream = hashlib.shake_128(name.encode()).digest(tokens * RANDOM_BYTES_PER_TOKEN)
    text = base64.b64encode(stream).decode()
    return text[: tokens * TOKEN_BYTES]


def make_prompt(prefix: str, prefix_tokens: int, tail: str, tail_tokens: int) -> str:
    """Return a prompt of a shared prefix and a tail.

    Args:
        prefix: Name of the prefix; equal names give equal text.
        prefix_tokens: Length of the prefix.
        tail: Name of the tail.
        tail_tokens: Length of the tail.
    """
    return make_text(prefix, prefix_tokens) + make_text(tail, tail_tokens)
