"""One attempt inside an emulated engine."""

from __future__ import annotations

import enum
from collections.abc import Sequence

import msgspec

from emulator.engine.answers import (
    answer_tokens,
    continuation_digest,
    natural_answer_length,
    prompt_digest,
)
from hopstep.domain.blocks import block_keys, count_tokens
from hopstep.ports.engine import FinishReason, GenerateRequest


class AttemptState(enum.Enum):
    """State of an attempt between its arrival and its end."""

    WAITING = "waiting"
    IMPORTING = "importing"
    PREFILLING = "prefilling"
    DECODING = "decoding"
    FINISHED = "finished"
    CANCELLED = "cancelled"
    REFUSED = "refused"
    LOST = "lost"


ENDED_STATES = frozenset(
    (AttemptState.FINISHED, AttemptState.CANCELLED, AttemptState.REFUSED, AttemptState.LOST)
)


class PreparedPrompt(msgspec.Struct, frozen=True):
    """Hashed form of a prompt; experiments compute it once for many engines.

    Attributes:
        block_keys: Salted keys of the full blocks, continued tokens included.
        token_count: Length in tokens, continued tokens included.
        digest: Digest from which the answer is derived.
    """

    block_keys: Sequence[int]
    token_count: int
    digest: str


def prepare_prompt(request: GenerateRequest) -> PreparedPrompt:
    """Hash the prompt of a request."""
    text = request.prompt + "".join(request.continued_text)
    digest = prompt_digest(request.prompt)
    return PreparedPrompt(
        block_keys=block_keys(text, request.cache_salt),
        token_count=max(1, count_tokens(text)),
        digest=continuation_digest(digest, request.continued_text),
    )


class Attempt(msgspec.Struct, eq=False):
    """State of one attempt; changed only by the model.

    Attributes:
        nonce: Its unique name.
        model: Model name.
        priority: Priority; lower numbers are scheduled first.
        order: Sequence number of its arrival.
        prompt: Prepared prompt.
        first_sequence: Index of its first token in the complete answer.
        token_limit: Tokens that it generates if it isn't cancelled.
        finish_reason: Why it ends if it isn't cancelled.
        kv_cache_store: Address of the store to write computed blocks to; empty for none.
        importable_blocks: Length of the prompt's prefix, in blocks, that the store holds.
        arrived_at: Time of arrival, in seconds.
        state: Present state.
        cached_tokens: Prompt tokens taken from the engine's cache.
        imported_tokens: Prompt tokens taken from the KV cache store.
        prefill_tokens_left: Prompt tokens still to be computed or imported.
        held_blocks: Blocks of its prompt that it holds in the cache.
        reserved_blocks: Blocks reserved for it that aren't filled yet.
        first_step: Step of the engine that generated its first token.
        generated: Number of generated tokens, set at its end.
        first_token_at: Time of its first token, in seconds; infinite before.
        ended_at: Time of its end, in seconds; infinite before.
    """

    nonce: str
    model: str
    priority: int
    order: int
    prompt: PreparedPrompt
    first_sequence: int
    token_limit: int
    finish_reason: FinishReason
    kv_cache_store: str
    importable_blocks: int
    arrived_at: float
    state: AttemptState = AttemptState.WAITING
    cached_tokens: int = 0
    imported_tokens: int = 0
    prefill_tokens_left: int = 0
    held_blocks: int = 0
    reserved_blocks: int = 0
    first_step: int = 0
    generated: int = 0
    first_token_at: float = float("inf")
    ended_at: float = float("inf")

    @property
    def ended(self) -> bool:
        """Whether it has reached a final state."""
        return self.state in ENDED_STATES

    def tokens(self, start: int, stop: int) -> tuple[str, ...]:
        """Return its generated tokens ``start`` to ``stop``, counted from its first token."""
        first = self.first_sequence
        return answer_tokens(self.prompt.digest, first + start, first + stop)


def new_attempt(
    request: GenerateRequest,
    prompt: PreparedPrompt,
    order: int,
    now: float,
    importable_blocks: int,
) -> Attempt:
    """Return a waiting attempt for an accepted request."""
    first_sequence = len(request.continued_text)
    natural_tokens_left = max(0, natural_answer_length(prompt.digest) - first_sequence)
    stops_by_itself = natural_tokens_left <= request.max_tokens
    return Attempt(
        nonce=request.nonce,
        model=request.model,
        priority=request.priority,
        order=order,
        prompt=prompt,
        first_sequence=first_sequence,
        token_limit=min(request.max_tokens, natural_tokens_left),
        finish_reason=FinishReason.STOP if stops_by_itself else FinishReason.LENGTH,
        kv_cache_store=request.kv_cache_store,
        importable_blocks=importable_blocks,
        arrived_at=now,
        prefill_tokens_left=prompt.token_count,
    )
