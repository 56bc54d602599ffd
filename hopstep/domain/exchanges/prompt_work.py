"""Work of an engine for one prompt, in prompt tokens.

Load pattern: many short prompts at the same engines as a few long ones. An engine prefills prompts
in pieces, one between two decoding steps, so each prompt takes a step however short it is. Counted
by tokens alone, an engine with a hundred short prompts seems to be free long before it is.
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
