"""Deterministic answers of the emulated engine, so that an oracle can check every token.

The text of a token depends only on the prompt and on the token's index. So an answer that is
continued on another engine must equal the answer of a single engine. A continuation of tokens
that don't belong to the prompt gives other text, which the oracle detects.
"""

from __future__ import annotations

import base64
import hashlib

from hopstep.domain.blocks import TOKEN_BYTES

DIGEST_BYTES = 16
SHORTEST_NATURAL_ANSWER_TOKENS = 256
NATURAL_ANSWER_SPREAD_TOKENS = 3_840
_RANDOM_BYTES_PER_TOKEN = 3


def prompt_digest(prompt: str) -> str:
    """Return the hex digest that identifies ``prompt`` in run records."""
    return hashlib.blake2b(prompt.encode(), digest_size=DIGEST_BYTES).hexdigest()


def natural_answer_length(digest: str) -> int:
    """Return the number of tokens after which the model stops by itself."""
    return SHORTEST_NATURAL_ANSWER_TOKENS + int(digest[:8], 16) % NATURAL_ANSWER_SPREAD_TOKENS


def answer_tokens(digest: str, start: int, stop: int) -> tuple[str, ...]:
    """Return tokens ``start`` to ``stop`` of the answer to the prompt with ``digest``."""
    if stop <= start:
        return ()
    stream = hashlib.shake_128(digest.encode()).digest(stop * _RANDOM_BYTES_PER_TOKEN)
    text = base64.urlsafe_b64encode(stream[start * _RANDOM_BYTES_PER_TOKEN :]).decode()
    return tuple(text[at : at + TOKEN_BYTES] for at in range(0, len(text), TOKEN_BYTES))


def continuation_digest(digest: str, continued_text: tuple[str, ...]) -> str:
    """Return the digest from which generation continues after ``continued_text``."""
    if continued_text == answer_tokens(digest, 0, len(continued_text)):
        return digest
    return prompt_digest(digest + "".join(continued_text))


def expected_tokens(
    prompt: str, max_tokens: int, continued_text: tuple[str, ...] = ()
) -> tuple[str, ...]:
    """Return the tokens that an engine generates for ``prompt``.

    Args:
        prompt: Rendered prompt text.
        max_tokens: Limit of generated tokens; continued tokens don't count.
        continued_text: Tokens that an earlier attempt delivered; not part of the result.
    """
    digest = continuation_digest(prompt_digest(prompt), continued_text)
    start = len(continued_text)
    stop = min(start + max_tokens, natural_answer_length(digest))
    return answer_tokens(digest, start, stop)
