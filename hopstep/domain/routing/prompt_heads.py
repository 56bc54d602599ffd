"""Prefix heads of prompts: a sample of their block keys, the same at every router.

A block key is a head when ``prefix_stride_blocks`` divides it. Keys are hashes, so on average
one key in ``prefix_stride_blocks`` is a head, independent of its depth. Cache events name keys
without their depth, and every router still picks the same heads from them.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from hopstep.domain.blocks import BLOCK_TOKENS, block_keys, cache_salt, count_tokens
from hopstep.domain.inference import InferenceRequest

HashPrompt = Callable[[str, str], list[int]]
"""Returns the keys of a prompt's whole blocks under a salt."""

MAX_REMEMBERED_PROMPTS = 128
"""Prompts whose heads are cached, since a queued request is ranked repeatedly."""


class Prompt(msgspec.Struct, frozen=True):
    """Length and prefix heads of a prompt.

    Attributes:
        tokens: Its length in tokens.
        heads: Its prefix heads, shallowest first.
        depths: Prompt tokens up to the end of each head's block.
    """

    tokens: int
    heads: tuple[int, ...]
    depths: tuple[int, ...]

    def tokens_of(self, held_heads: int) -> int:
        """Return the prompt tokens up to the end of the last of the leading heads held."""
        return self.depths[held_heads - 1] if held_heads else 0


class PromptHasher:
    """Samples the heads of requests' prompts, and caches the latest results."""

    def __init__(self, hash_prompt: HashPrompt = block_keys) -> None:
        """Start with an empty cache.

        Args:
            hash_prompt: Hashes a prompt; experiments pass one that caches the keys.
        """
        self._hash_prompt = hash_prompt
        self._cached: dict[tuple[str, str, int], Prompt] = {}

    def prompt(self, request: InferenceRequest, stride: int) -> Prompt:
        """Return the length and heads of a request's prompt.

        Args:
            request: The request.
            stride: Number of blocks for each head, on average.
        """
        salt = cache_salt(request.tenant.name, request.model.weights_version)
        key = (request.request_id, salt, stride)
        prompt = self._cached.get(key)
        if prompt is None:
            prompt = self._sample(request, salt, stride)
            if len(self._cached) >= MAX_REMEMBERED_PROMPTS:
                del self._cached[next(iter(self._cached))]
            self._cached[key] = prompt
        return prompt

    def _sample(self, request: InferenceRequest, salt: str, stride: int) -> Prompt:
        """Hash a prompt and pick its heads."""
        keys = self._hash_prompt(request.prompt, salt)
        positions = [position for position, key in enumerate(keys) if not key % stride]
        return Prompt(
            tokens=count_tokens(request.prompt),
            heads=tuple(keys[position] for position in positions),
            depths=tuple((position + 1) * BLOCK_TOKENS for position in positions),
        )
