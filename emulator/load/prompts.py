"""Prompts of a given length that share beginnings."""

from __future__ import annotations

import base64
import hashlib

from hopstep.domain.blocks import TOKEN_BYTES

RANDOM_BYTES_PER_TOKEN = 3
"""Random bytes whose base64 text is one token."""


def make_text(name: str, tokens: int) -> str:
    """Return ``tokens`` tokens of text that depend on ``name`` alone."""
    stream = hashlib.shake_128(name.encode()).digest(tokens * RANDOM_BYTES_PER_TOKEN)
    text = base64.b64encode(stream).decode()
    return text[: tokens * TOKEN_BYTES]


def make_prompt(prefix: str, prefix_tokens: int, tail: str, tail_tokens: int) -> str:
    """Return a prompt of a shared beginning and a tail of its own.

    Args:
        prefix: Name of the shared beginning.
        prefix_tokens: Its length.
        tail: Name of the tail.
        tail_tokens: Its length.
    """
    return make_text(prefix, prefix_tokens) + make_text(tail, tail_tokens)
