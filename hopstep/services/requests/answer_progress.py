"""Progress of an answer over all attempts: the tokens that its caller has received."""

from __future__ import annotations

from hopstep.domain.blocks import count_tokens
from hopstep.domain.inference import AnswerFinish, AnswerPart, AnswerUsage, InferenceRequest
from hopstep.ports.engine import FinishReason, TokenFrame
from hopstep.services.requests.answer_stream import AnswerStream

_FINISHES = {FinishReason.STOP: AnswerFinish.STOP, FinishReason.LENGTH: AnswerFinish.LENGTH}


class AnswerProgress:
    """Delivered tokens of one answer, and its token usage.

    Args:
        request: The request.
        stream: Takes the parts of the answer.
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
        """Tokens delivered, for an attempt that continues after them."""
        return tuple(self._tokens)

    def note_first_frame(self, frame: TokenFrame) -> int:
        """Record the cached tokens of the first answering attempt; return those of this frame."""
        cached = frame.usage.cached_tokens if frame.usage else 0
        if self._cached_tokens is None:
            self._cached_tokens = cached
        return cached

    async def deliver(self, engine: str, frame: TokenFrame, tokens: tuple[str, ...]) -> None:
        """Pass new tokens and the finish to the caller; a cancelled stream has no finish."""
        finish = _FINISHES.get(frame.finish_reason) if frame.finish_reason else None
        if not tokens and finish is None:
            return
        sequence = self.delivered_tokens
        self._tokens.extend(tokens)
        usage = self._usage() if finish is not None else None
        await self._stream.put(AnswerPart(sequence, tokens, engine, finish, usage))

    def finish_if_complete(self, engine: str) -> bool:
        """Finish an answer if all its tokens were delivered and only its last frame was lost."""
        if self.delivered_tokens < self._request.max_tokens:
            return False
        usage = self._usage()
        self._stream.put_now(
            AnswerPart(self.delivered_tokens, (), engine, AnswerFinish.LENGTH, usage)
        )
        return True

    def _usage(self) -> AnswerUsage:
        """Return the token counts of the complete answer."""
        prompt_tokens = count_tokens(self._request.prompt)
        cached = min(self._cached_tokens or 0, prompt_tokens)
        return AnswerUsage(prompt_tokens, cached, self.delivered_tokens)
