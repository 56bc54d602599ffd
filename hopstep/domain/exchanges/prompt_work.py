"""Work of an engine for one prompt, in prompt tokens.

An engine prefills prompts in pieces, one between two decoding steps, so each prompt takes a step
however short it is. Counted by tokens alone, an engine with many short prompts seems to be free
long before it is.
"""

from __future__ import annotations

STEP_TOKENS = 300
"""Prompt tokens that an engine could prefill in the time of one decoding step of a full batch."""


def prompt_work(uncached_tokens: int) -> int:
    """Return the tokens that could be prefilled in the time that an engine takes for a prompt.

    Args:
        uncached_tokens: Prompt tokens that the engine has to prefill.
    """
    return uncached_tokens + STEP_TOKENS
