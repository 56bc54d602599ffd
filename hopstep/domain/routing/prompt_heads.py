"""Prefix heads of prompts: a sample of their block keys, the same at every router.

A block key is a head when ``prefix_stride_blocks`` divides it. Keys are hashes, so that is one
key in so many on average, whatever the depth: a cache event names keys without their depth, and
still every router picks the same ones out of it.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from hopstep.domain.blocks import BLOCK_TOKENS, block_keys, cache_salt, count_tokens
from hopstep.domain.inference import InferenceRequest

HashPrompt = Callable[[str, str], list[int]]
"""Returns the keys of a prompt's whole blocks under a salt."""

MAX_REMEMBERED_PROMPTS = 128
"""Prompts whose heads are kept, since a queued request is looked at again and again."""


class Prompt(msgspec.Struct, frozen=True):
    """What routing must know of a prompt.

    Attributes:
        tokens: Its length.
        heads: Its prefix heads, shallowest first.
        depths: Prompt tokens up to the end of each head's block.
    """

    tokens: int
    heads: tuple[int, ...]
    depths: tuple[int, ...]

    def tokens_of(self, held_heads: int) -> int:
        """Return the prompt tokens that a number of leading heads stands for."""
        return self.depths[held_heads - 1] if held_heads else 0


class PromptHasher:
    """Samples the heads of requests' prompts, and remembers the latest ones."""

    def __init__(self, hash_prompt: HashPrompt = block_keys) -> None:
        """Start with nothing remembered.

        Args:
            hash_prompt: Hashes a prompt; experiments give one that remembers the keys.
        """
        self._hash_prompt = hash_prompt
        self._remembered: dict[tuple[str, str, int], Prompt] = {}

    def prompt(self, request: InferenceRequest, stride: int) -> Prompt:
        """Return what routing must know of a request's prompt.

        Args:
            request: The request.
            stride: Blocks for one head, on average.
        """
        salt = cache_salt(request.tenant.name, request.model.weights_version)
        key = (request.request_id, salt, stride)
        prompt = self._remembered.get(key)
        if prompt is None:
            prompt = self._sample(request, salt, stride)
            if len(self._remembered) >= MAX_REMEMBERED_PROMPTS:
                del self._remembered[next(iter(self._remembered))]
            self._remembered[key] = prompt
        return prompt

    def _sample(self, request: InferenceRequest, salt: str, stride: int) -> Prompt:
        """Hash a prompt and pick its heads."""
        keys = self._hash_prompt(request.prompt, salt)
        places = [place for place, key in enumerate(keys) if not key % stride]
        return Prompt(
            tokens=count_tokens(request.prompt),
            heads=tuple(keys[place] for place in places),
            depths=tuple((place + 1) * BLOCK_TOKENS for place in places),
        )
