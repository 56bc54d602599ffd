"""How much of an answer its caller has, over all attempts."""

from __future__ import annotations

from hopstep.domain.blocks import count_tokens
from hopstep.domain.inference import AnswerFinish, AnswerPart, AnswerUsage, InferenceRequest
from hopstep.ports.engine import FinishReason, TokenFrame
from hopstep.services.requests.answer_stream import AnswerStream

_FINISHES = {FinishReason.STOP: AnswerFinish.STOP, FinishReason.LENGTH: AnswerFinish.LENGTH}


class AnswerProgress:
    """Tokens of one answer that were delivered, and its usage.

    Args:
        request: The request.
        stream: Takes the parts.
    """

    def __init__(self, request: InferenceRequest, stream: AnswerStream) -> None:
        self._request = request
        self._stream = stream
        self._tokens: list[str] = []
        self._cached_tokens: int | None = None

    @property
    def delivered_tokens(self) -> int:
        """Number of tokens delivered."""
        return len(self._tokens)

    @property
    def tokens(self) -> tuple[str, ...]:
        """Tokens delivered, for an attempt that goes on after them."""
        return tuple(self._tokens)

    def note_first_frame(self, frame: TokenFrame) -> int:
        """Take the cached tokens of the first attempt that answers; return the frame's own."""
        cached = frame.usage.cached_tokens if frame.usage else 0
        if self._cached_tokens is None:
            self._cached_tokens = cached
        return cached

    async def deliver(self, engine: str, frame: TokenFrame, tokens: tuple[str, ...]) -> None:
        """Hand new tokens to the caller, with the finish of the answer; a cancel is none."""
        finish = _FINISHES.get(frame.finish_reason) if frame.finish_reason else None
        if not tokens and finish is None:
            return
        sequence = self.delivered_tokens
        self._tokens.extend(tokens)
        usage = self._usage() if finish is not None else None
        await self._stream.put(AnswerPart(sequence, tokens, engine, finish, usage))

    def finish_if_whole(self, engine: str) -> bool:
        """End an answer whose every token was delivered though its last frame was lost."""
        if self.delivered_tokens < self._request.max_tokens:
            return False
        usage = self._usage()
        self._stream.put_now(
            AnswerPart(self.delivered_tokens, (), engine, AnswerFinish.LENGTH, usage)
        )
        return True

    def _usage(self) -> AnswerUsage:
        """Return the token counts of the whole answer."""
        prompt_tokens = count_tokens(self._request.prompt)
        cached = min(self._cached_tokens or 0, prompt_tokens)
        return AnswerUsage(prompt_tokens, cached, self.delivered_tokens)
